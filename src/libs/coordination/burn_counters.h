#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "protocol/burn_report.h"
#include "protocol/catalogue.h"
#include "protocol/result_code.h"
#include "utils/time.h"

namespace fulmarpoint {

/// The measurements of a finished request that service objectives refer to. A duration of zero was
/// not measured.
struct FinishedRequest {
  OrganisationId organisation;
  ServiceName service;
  ServiceKind kind = ServiceKind::kModel;
  ResultCode code = ResultCode::kOk;
  VersionName version;
  EndpointId endpoint;
  std::string failure_domain;
  Duration first_token{};
  Duration token_interval{};
  Duration longest_resume{};
  Duration call{};
};

/// Counts requests that met or missed the objectives of their service, per organisation and
/// service. The memory does not grow with the number of organisations: there is a fixed number of
/// rows, and one row "(other)" per service for organisations without a row. A row without requests
/// for a day is reused. Not thread-safe.
class BurnCounters {
 public:
  static constexpr std::size_t kMaxRows = 1024;
  static constexpr std::size_t kMaxActions = 64;

  /// Counts a request. Errors that the caller caused are ignored.
  void Add(const FinishedRequest& request, const ServiceObjectives& objectives, TimePoint now);
  /// Counts an automatic action of the fleet, such as a rollback. Descriptions beyond `kMaxActions`
  /// different ones are ignored.
  void AddAction(const std::string& what);
  BurnReport Report(const std::string& daemon, TimePoint now) const;
  /// Returns an estimate of the memory in use, in bytes.
  std::size_t StateBytes() const;

 private:
  /// Ring buffer of time slots of equal length that cover one window.
  struct Ring {
    static constexpr std::int64_t kSlots = 12;
    struct Slot {
      std::int64_t period = -1;
      std::uint32_t requests = 0;
      std::uint32_t missed = 0;
    };
    std::array<Slot, kSlots> slots;
  };
  struct Row {
    int target_ppm = 0;
    TimePoint last_used{};
    std::array<Ring, 3> rings;
    std::vector<BurnCause> causes;
  };
  using Key = std::pair<ServiceName, OrganisationId>;

  Row& FindRow(const FinishedRequest& request, TimePoint now);
  bool RemoveUnusedRow(TimePoint now);
  static void AddCause(const FinishedRequest& request, Objective objective, Row& row);

  std::map<Key, Row> m_rows;
  std::vector<FleetAction> m_actions;
  TimePoint m_next_search{};
};

}  // namespace fulmarpoint
