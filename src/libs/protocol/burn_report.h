#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/identifiers.h"
#include "protocol/parse_error.h"
#include "utils/enum_names.h"

namespace fulmarpoint {

/// Windows over which objectives are evaluated.
enum class BurnWindow { kFiveMinutes, kOneHour, kOneDay };

inline constexpr std::array<EnumName<BurnWindow>, 3> kBurnWindowNames = {{
    {BurnWindow::kFiveMinutes, "5m"},
    {BurnWindow::kOneHour, "1h"},
    {BurnWindow::kOneDay, "1d"},
}};

/// Objectives that a request can miss.
enum class Objective { kSuccess, kFirstToken, kTokenInterval, kResume, kCall };

inline constexpr std::array<EnumName<Objective>, 5> kObjectiveNames = {{
    {Objective::kSuccess, "success"},
    {Objective::kFirstToken, "first_token"},
    {Objective::kTokenInterval, "token_interval"},
    {Objective::kResume, "resume"},
    {Objective::kCall, "call"},
}};

/// Requests and those that missed an objective, in one window.
struct BurnCount {
  std::uint64_t requests = 0;
  std::uint64_t missed = 0;
};

/// What spent error budget: one combination of missed objective, result, version, endpoint and
/// failure domain. `requests` is an upper bound if causes were displaced from the fixed table.
struct BurnCause {
  Objective objective = Objective::kSuccess;
  std::string result;
  VersionName version;
  EndpointId endpoint;
  std::string failure_domain;
  std::uint64_t requests = 0;

  bool SameCause(const BurnCause& other) const;
};

/// Burn of one organisation on one service.
struct BurnRow {
  /// "(other)" for organisations that have no place in the fixed table.
  OrganisationId organisation;
  ServiceName service;
  /// Objective in parts per million of the requests.
  int target_ppm = 0;
  std::array<BurnCount, 3> windows{};
  std::vector<BurnCause> causes;
};

/// What the fleet did on its own, for example a rollback or an endpoint that was left out.
struct FleetAction {
  std::string what;
  std::uint64_t count = 0;
};

struct BurnReport {
  std::vector<std::string> daemons;
  /// Daemons whose counts are missing.
  std::vector<std::string> missing;
  std::vector<BurnRow> rows;
  std::vector<FleetAction> actions;
};

/// Returns how fast the error budget is spent in the window: 1 spends it exactly, 0 not at all.
double BurnRate(const BurnRow& row, BurnWindow window);
/// Returns the part of the day's error budget that is left; negative once it is overspent.
double BudgetLeft(const BurnRow& row);
/// Adds `from` to `into`. Causes beyond the largest ones of a row are dropped.
void MergeBurn(const BurnReport& from, BurnReport& into);

std::string ToJson(const BurnReport& report);
Parsed<BurnReport> ParseBurnReport(std::string_view text);
/// Returns a self-contained HTML page with a plot of the burn rates.
std::string ToHtml(const BurnReport& report);

}  // namespace fulmarpoint
