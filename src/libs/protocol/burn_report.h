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

/// Windows over which burn rates are computed.
enum class BurnWindow { kFiveMinutes, kOneHour, kOneDay };

inline constexpr std::array<EnumName<BurnWindow>, 3> kBurnWindowNames = {{
    {BurnWindow::kFiveMinutes, "5m"},
    {BurnWindow::kOneHour, "1h"},
    {BurnWindow::kOneDay, "1d"},
}};

/// Service-level objectives that a request can miss.
enum class Objective { kSuccess, kFirstToken, kTokenInterval, kResume, kCall };

inline constexpr std::array<EnumName<Objective>, 5> kObjectiveNames = {{
    {Objective::kSuccess, "success"},
    {Objective::kFirstToken, "first_token"},
    {Objective::kTokenInterval, "token_interval"},
    {Objective::kResume, "resume"},
    {Objective::kCall, "call"},
}};

/// Numbers of all requests and of those that missed an objective, in one window.
struct BurnCount {
  std::uint64_t requests = 0;
  std::uint64_t missed = 0;
};

/// A cause of error budget consumption: one combination of missed objective, result, version,
/// endpoint and failure domain.
struct BurnCause {
  Objective objective = Objective::kSuccess;
  std::string result;
  VersionName version;
  EndpointId endpoint;
  std::string failure_domain;
  /// An upper bound if the fixed-size table of causes was full and had to evict causes.
  std::uint64_t requests = 0;

  bool SameCause(const BurnCause& other) const;
};

/// Consumption of the error budget of one organisation on one service.
struct BurnRow {
  /// "(other)" for all organisations beyond the capacity of the fixed-size table.
  OrganisationId organisation;
  ServiceName service;
  /// Share of requests that must meet their objectives, in parts per million.
  int target_ppm = 0;
  std::array<BurnCount, 3> windows{};
  std::vector<BurnCause> causes;
};

/// An automatic action of the fleet, such as a rollback or the exclusion of an endpoint.
struct FleetAction {
  std::string what;
  std::uint64_t count = 0;
};

struct BurnReport {
  /// Daemons whose counts are included.
  std::vector<std::string> daemons;
  /// Daemons whose counts are missing.
  std::vector<std::string> missing;
  std::vector<BurnRow> rows;
  std::vector<FleetAction> actions;
};

/// Returns how fast the error budget is consumed in the window: 1 consumes exactly the budget, 0
/// nothing.
double BurnRate(const BurnRow& row, BurnWindow window);
/// Returns the remaining fraction of the error budget of the last day; negative if it is exceeded.
double BudgetLeft(const BurnRow& row);
/// Adds `from` to `into`. Keeps only the 8 most frequent causes of each row.
void MergeBurn(const BurnReport& from, BurnReport& into);

std::string ToJson(const BurnReport& report);
Parsed<BurnReport> ParseBurnReport(std::string_view text);
/// Returns a self-contained HTML page with a plot of the burn rates.
std::string ToHtml(const BurnReport& report);

}  // namespace fulmarpoint
