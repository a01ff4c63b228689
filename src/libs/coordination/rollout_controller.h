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

/// Runs one rollout on the daemon that holds the rollout's lease: hands out the share of the new
/// version, judges the merged evidence, and writes the phases to the table service.
///
/// A rollback takes effect at once and is written afterwards; every other phase takes effect after
/// its write, so that a successor never finds a row that lags behind the traffic. All writes
/// compare the row's version; of the two ends exactly one is written. Not thread-safe.
class RolloutController {
 public:
  struct Settings {
    /// Share of the fleet's requests that an unproven version may get.
    double canary_share = 0.05;
    Duration min_step = std::chrono::seconds(5);
    /// How long the new version is watched after `kDone`.
    Duration watch = std::chrono::minutes(10);
    VersionComparison::Settings comparison;
    /// Share of the requests between start and deadline that a version may get before it proves
    /// bad. If set, the steps of the ramp are as short as that takes, and the rollout is done after
    /// the step at half of the traffic: the old version's endpoints stop then.
    std::optional<double> exposure_limit;
    /// Requests that the canary may get besides its share, for services with little traffic.
    std::uint64_t canary_slack = 0;
    /// The deadline counts from the time at which the first controller saw the rollout. It is
    /// written to the row for its successors.
    bool keep_first_deadline = false;
  };

  /// The row's present state; `version` 0 if there is none.
  struct RowRead {
    std::uint64_t version = 0;
    std::optional<RolloutRow> row;

    /// Reads a stored row; a value that cannot be parsed, or null, counts as no row.
    static RowRead Of(std::uint64_t version, const std::string* value);
  };
  struct RowWritten {
    std::uint64_t version = 0;
  };
  /// The write's answer was lost, or the table service did not answer.
  struct RowWriteUnknown {};
  struct RowReadFailed {};
  struct ReportReceived {
    RolloutReport report;
  };
  struct GossipReceived {
    BadVersionNotice notice;
  };
  /// What the endpoints hold that have the new version loaded.
  struct CapacityChanged {
    int new_version_endpoints = 0;
    /// Largest share of the present load that those endpoints hold, in parts per million.
    std::uint32_t max_share_ppm = 0;

    /// `slots` of the endpoints that have the new version, `load` in requests of all.
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
  /// The rollout ended; sent once by the controller that wrote the end.
  struct ReportEnd {
    RolloutRow row;
  };
  /// The deadline is not expected to be met.
  struct ReportAtRisk {
    std::string reason;
  };
  using Action =
      std::variant<ReadRow, WriteRow, SendDirective, PublishGossip, ReportEnd, ReportAtRisk>;

  /// `token` is the fencing token of the lease; `deadline` the operator's deadline on the
  /// monotonic time line. Begins by reading the row on the first `Tick`.
  RolloutController(InstanceId self, ServiceName service, RolloutRequest rollout,
                    std::uint64_t token, TimePoint deadline, const Settings& settings);

  void Handle(const Event& event, TimePoint now, std::vector<Action>& actions);

  RolloutPhase Phase() const { return m_row.phase; }
  std::uint32_t SharePpm() const;
  bool Active() const { return m_active; }
  /// True once nothing is left to do: rolled back and written, or watched long enough.
  bool Finished(TimePoint now) const;
  const RolloutRow& Row() const { return m_row; }

 private:
  enum class Storage { kUnread, kReading, kIdle, kWriting };

  void OnRowRead(const RowRead& read, TimePoint now, std::vector<Action>& actions);
  void OnRowWritten(std::uint64_t version, TimePoint now, std::vector<Action>& actions);
  void OnReport(const RolloutReport& report, TimePoint now, std::vector<Action>& actions);
  void OnNotice(const BadVersionNotice& notice, TimePoint now, std::vector<Action>& actions);
  void OnTick(TimePoint now, std::vector<Action>& actions);
  void CheckEvidence(TimePoint now, std::vector<Action>& actions);
  void RollBack(const std::string& reason, bool version_is_bad, TimePoint now,
                std::vector<Action>& actions);
  void Advance(TimePoint now, std::vector<Action>& actions);
  void AdvanceRamp(TimePoint now, std::vector<Action>& actions);
  void AdvanceLimited(TimePoint now, std::vector<Action>& actions);
  void StartStep(std::size_t step, TimePoint now);
  Duration RampTime() const;
  Duration LimitedStepTime(TimePoint now) const;
  void CheckDeadline(TimePoint now, std::vector<Action>& actions);
  std::string PredictMissedDeadline(TimePoint now) const;
  Duration StepTime(TimePoint now) const;
  void Write(RolloutPhase phase, const std::string& reason, std::vector<Action>& actions);
  void SendWrite(std::vector<Action>& actions);
  void Enter(const RolloutRow& row, TimePoint now);
  RolloutDirective MakeDirective(const RolloutReport& report);
  std::string Evidence() const;

  InstanceId m_self;
  ServiceName m_service;
  RolloutRequest m_rollout;
  std::uint64_t m_token;
  TimePoint m_deadline;
  Settings m_settings;
  VersionComparison m_comparison;
  /// Of the old version, from the samples of all daemons.
  RouteLatencies m_latencies;

  bool m_active = true;
  Storage m_storage = Storage::kUnread;
  /// False until the row was read once; before that no directive is given.
  bool m_loaded = false;
  RolloutRow m_row;
  std::uint64_t m_row_version = 0;
  std::optional<RolloutRow> m_target;
  bool m_rolled_back = false;

  std::size_t m_step = 0;
  TimePoint m_step_since{};
  /// Requests of the new version that had been compared when the step began.
  std::uint64_t m_step_requests = 0;
  std::optional<TimePoint> m_started;
  std::optional<TimePoint> m_done_since;
  int m_new_version_endpoints = 0;
  std::uint32_t m_max_share_ppm = 0;
  /// Since when the loaded endpoints have held less than the whole load.
  std::optional<TimePoint> m_capacity_short_since;
  bool m_at_risk_reported = false;

  std::uint64_t m_fleet_requests = 0;
  std::uint64_t m_permits_granted = 0;
  std::map<InstanceId, std::uint64_t> m_last_sequence;
};

}  // namespace fulmarpoint
