#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "coordination/route_latencies.h"
#include "coordination/version_comparison.h"
#include "protocol/catalogue.h"
#include "protocol/rollout_messages.h"
#include "protocol/rollout_row.h"
#include "utils/time.h"

namespace fulmarpoint {

/// Controls one rollout on the daemon that holds the rollout's lease: grants shares of the requests
/// to the new version, evaluates the reports of all daemons, and writes the phases to the table
/// service.
///
/// A rollback takes effect at once and is written afterwards. Every other phase takes effect only
/// after it is written, so that the row never lags behind the traffic when another controller takes
/// over. All writes compare the row's version, so that exactly one of the two ends, done and rolled
/// back, is written. Not thread-safe.
class RolloutController {
 public:
  struct Settings {
    /// Share of the fleet's requests that the new version may get in the canary phase.
    double canary_share = 0.05;
    Duration min_step = std::chrono::seconds(5);
    /// How long the new version is monitored for regressions after `kDone`.
    Duration watch = std::chrono::minutes(10);
    VersionComparison::Settings comparison;
    /// Share of the requests between start and deadline that a bad version may get before it is
    /// detected. If set, the steps of the ramp are short enough to stay below this share, and the
    /// rollout is done after the step at half of the traffic, when the old version's endpoints
    /// stop.
    std::optional<double> exposure_limit;
    /// Requests that the canary may get in addition to its share, for services with little traffic.
    std::uint64_t canary_slack = 0;
    /// The first controller writes its deadline to the row, and its successors keep it. Set if the
    /// deadline counts from the time at which the first controller read the rollout.
    bool keep_first_deadline = false;
  };

  /// The current row; `version` is 0 if there is none.
  struct RowRead {
    std::uint64_t version = 0;
    std::optional<RolloutRow> row;

    /// Parses a stored row. Null or a malformed value counts as no row.
    static RowRead Of(std::uint64_t version, const std::string* value);
  };
  struct RowWritten {
    std::uint64_t version = 0;
  };
  /// The write got no answer, so it may have been applied.
  struct RowWriteUnknown {};
  struct RowReadFailed {};
  struct ReportReceived {
    RolloutReport report;
  };
  struct GossipReceived {
    BadVersionNotice notice;
  };
  /// Capacity of the endpoints that have the new version loaded.
  struct CapacityChanged {
    int new_version_endpoints = 0;
    /// Largest share of the current load that those endpoints can serve, in parts per million.
    std::uint32_t max_share_ppm = 0;

    /// `slots` are those of the endpoints with the new version; `load` is the number of requests at
    /// all endpoints.
    static CapacityChanged Of(int endpoints, double slots, double load);
  };
  struct OperatorAbort {
    std::string reason;
  };
  struct LeaseLost {};
  struct Tick {};
  using Event = std::variant<RowRead, RowWritten, RowWriteUnknown, RowReadFailed, ReportReceived,
                             GossipReceived, CapacityChanged, OperatorAbort, LeaseLost, Tick>;

  struct ReadRow {};
  struct WriteRow {
    RolloutRow row;
    /// Version that the row must have; 0 if it must not exist.
    std::uint64_t expected_version = 0;
  };
  struct SendDirective {
    InstanceId to;
    RolloutDirective directive;
  };
  struct PublishGossip {
    BadVersionNotice notice;
  };
  /// The rollout ended. Emitted once, by the controller that wrote the end.
  struct ReportEnd {
    RolloutRow row;
  };
  /// The rollout will probably miss its deadline. Emitted at most once.
  struct ReportAtRisk {
    std::string reason;
  };
  using Action =
      std::variant<ReadRow, WriteRow, SendDirective, PublishGossip, ReportEnd, ReportAtRisk>;

  /// `token` is the fencing token of the lease. `deadline` is the operator's deadline on the
  /// monotonic clock. The first `Tick` begins with reading the row.
  RolloutController(InstanceId self, ServiceName service, RolloutRequest rollout,
                    std::uint64_t token, TimePoint deadline, const Settings& settings);

  void Handle(const Event& event, TimePoint now, std::vector<Action>& actions);

  RolloutPhase Phase() const { return m_row.phase; }
  /// Returns the share of the requests that the new version may get, in parts per million.
  std::uint32_t SharePpm() const;
  /// Returns false once the lease was lost or another controller has taken over.
  bool Active() const { return m_active; }
  /// Returns whether nothing is left to do: the rollback is written, or the new version was
  /// monitored for long enough.
  bool Finished(TimePoint now) const;
  const RolloutRow& Row() const { return m_row; }

 private:
  enum class Storage { kUnread, kReading, kIdle, kWriting };

  void OnRowRead(const RowRead& read, TimePoint now, std::vector<Action>& actions);
  void OnRowWritten(std::uint64_t version, TimePoint now, std::vector<Action>& actions);
  void OnReport(const RolloutReport& report, TimePoint now, std::vector<Action>& actions);
  void OnBadVersion(const BadVersionNotice& notice, TimePoint now, std::vector<Action>& actions);
  void OnTick(TimePoint now, std::vector<Action>& actions);
  void CheckEvidence(TimePoint now, std::vector<Action>& actions);
  void RollBack(const std::string& reason, bool version_is_bad, TimePoint now,
                std::vector<Action>& actions);
  void Advance(TimePoint now, std::vector<Action>& actions);
  void AdvanceRamp(TimePoint now, std::vector<Action>& actions);
  void AdvanceWithExposureLimit(TimePoint now, std::vector<Action>& actions);
  void StartStep(std::size_t step, TimePoint now);
  Duration RampTime() const;
  Duration ExposureLimitedStepTime(TimePoint now) const;
  void CheckDeadline(TimePoint now, std::vector<Action>& actions);
  /// Returns why the deadline will probably be missed; empty if it will not.
  std::string DeadlineRisk(TimePoint now) const;
  Duration StepTime(TimePoint now) const;
  void Write(RolloutPhase phase, const std::string& reason, std::vector<Action>& actions);
  void SendWrite(std::vector<Action>& actions);
  void ApplyRow(const RolloutRow& row, TimePoint now);
  RolloutDirective MakeDirective(const RolloutReport& report);
  std::string DescribeEvidence() const;

  InstanceId m_self;
  ServiceName m_service;
  RolloutRequest m_rollout;
  std::uint64_t m_token;
  TimePoint m_deadline;
  Settings m_settings;
  VersionComparison m_comparison;
  /// Latencies of the old version, from the samples of all daemons.
  RouteLatencies m_latencies;

  bool m_active = true;
  Storage m_storage = Storage::kUnread;
  /// No directives are sent before the row was read once.
  bool m_row_was_read = false;
  RolloutRow m_row;
  std::uint64_t m_row_version = 0;
  /// Row that is to be written or is being written.
  std::optional<RolloutRow> m_pending_row;
  bool m_rolled_back = false;

  std::size_t m_step = 0;
  TimePoint m_step_since{};
  /// Number of requests of the new version that had been compared when the step began.
  std::uint64_t m_step_requests = 0;
  std::optional<TimePoint> m_started;
  std::optional<TimePoint> m_done_since;
  int m_new_version_endpoints = 0;
  std::uint32_t m_max_share_ppm = 0;
  /// Since when the endpoints with the new version have been too few for the whole load.
  std::optional<TimePoint> m_capacity_shortage_since;
  bool m_at_risk_reported = false;

  std::uint64_t m_fleet_requests = 0;
  std::uint64_t m_permits_granted = 0;
  std::map<InstanceId, std::uint64_t> m_last_sequence;
};

}  // namespace fulmarpoint
