#include "coordination/rollout_controller.h"

#include <algorithm>
#include <array>
#include <utility>

#include "utils/overloaded.h"

namespace fulmarpoint {

namespace {

constexpr std::uint32_t kAll = 1'000'000;
constexpr std::array<std::uint32_t, 4> kRampSharesPpm = {100'000, 250'000, 500'000, kAll};
/// Part of the time to the deadline that is kept for the end of the ramp.
constexpr double kReserve = 0.1;
/// Steps use this part of the time that is left, so that several of them can be repeated.
constexpr double kStepPart = 0.5;
/// With a limit on exposure: the part of it that each step of the ramp may use, the part of the
/// time to the deadline that the canary takes, because some regressions show late, and the requests
/// of the new version without which no step ends.
constexpr double kExposurePerStep = 0.2;
constexpr double kCanaryTime = 0.5;
/// Part of the time to the deadline that is kept for the write of a rollback.
constexpr double kUndecidedReserve = 0.04;
constexpr std::uint64_t kFewestCanaryRequests = 10;
constexpr std::uint64_t kFewestStepRequests = 5;
/// Daemons learn of a step and its evidence arrives within the longer time; near the deadline steps
/// may be as short as the other.
constexpr Duration kUsualShortestStep = std::chrono::seconds(2);
constexpr Duration kShortestLimitedStep = std::chrono::milliseconds(1200);
constexpr std::size_t kLimitedSteps = 3;
constexpr std::size_t kMaxSenders = 1024;
/// Load reports swing with every burst; only a lasting lack of capacity puts a deadline at risk.
constexpr Duration kCapacityShortTime = std::chrono::seconds(10);

}  // namespace

RolloutController::RowRead RolloutController::RowRead::Of(std::uint64_t version,
                                                          const std::string* value) {
  RowRead read;
  read.version = version;
  if (value == nullptr) return read;
  const Parsed<RolloutRow> parsed = ParseRolloutRow(*value);
  if (parsed) read.row = parsed.Value();
  return read;
}

RolloutController::CapacityChanged RolloutController::CapacityChanged::Of(int endpoints,
                                                                          double slots,
                                                                          double load) {
  const double share = load > 0 ? slots / load : (slots > 0 ? 1.0 : 0.0);
  CapacityChanged capacity;
  capacity.new_version_endpoints = endpoints;
  capacity.max_share_ppm = static_cast<std::uint32_t>(std::min(1.0, share) * kAll);
  return capacity;
}

RolloutController::RolloutController(InstanceId self, ServiceName service, RolloutRequest rollout,
                                     std::uint64_t token, TimePoint deadline,
                                     const Settings& settings)
    : m_self(std::move(self)),
      m_service(std::move(service)),
      m_rollout(std::move(rollout)),
      m_token(token),
      m_deadline(deadline),
      m_settings(settings),
      m_comparison(settings.comparison) {}

void RolloutController::Handle(const Event& event, TimePoint now, std::vector<Action>& actions) {
  if (!m_active) return;
  std::visit(
      Overloaded{[&](const RowRead& read) { OnRowRead(read, now, actions); },
                 [&](const RowWritten& written) { OnRowWritten(written.version, now, actions); },
                 [&](const RowWriteUnknown&) {
                   m_storage = Storage::kReading;
                   actions.emplace_back(ReadRow{});
                 },
                 [&](const RowReadFailed&) { m_storage = Storage::kUnread; },
                 [&](const ReportReceived& received) { OnReport(received.report, now, actions); },
                 [&](const GossipReceived& received) { OnNotice(received.notice, now, actions); },
                 [&](const CapacityChanged& capacity) {
                   m_new_version_endpoints = capacity.new_version_endpoints;
                   m_max_share_ppm = capacity.max_share_ppm;
                   if (m_max_share_ppm >= kAll) m_capacity_short_since.reset();
                   if (m_max_share_ppm < kAll && !m_capacity_short_since) {
                     m_capacity_short_since = now;
                   }
                 },
                 [&](const OperatorAbort& abort) {
                   if (!IsEnd(m_row.phase))
                     RollBack("operator: " + abort.reason, false, now, actions);
                 },
                 [&](const LeaseLost&) { m_active = false; },
                 [&](const Tick&) { OnTick(now, actions); }},
      event);
}

std::uint32_t RolloutController::SharePpm() const {
  if (m_rolled_back) return 0;
  switch (m_row.phase) {
    case RolloutPhase::kCanary:
      return static_cast<std::uint32_t>(m_settings.canary_share * kAll);
    case RolloutPhase::kRamp:
      return std::min(kRampSharesPpm[m_step], m_max_share_ppm);
    case RolloutPhase::kFull:
    case RolloutPhase::kDone:
      return kAll;
    case RolloutPhase::kRolledBack:
      return 0;
  }
  return 0;
}

bool RolloutController::Finished(TimePoint now) const {
  if (m_storage != Storage::kIdle || m_target) return false;
  if (m_row.phase == RolloutPhase::kRolledBack || m_row.regressed_after_done) return true;
  return m_row.phase == RolloutPhase::kDone && m_done_since &&
         now - *m_done_since >= m_settings.watch;
}

void RolloutController::OnRowRead(const RowRead& read, TimePoint now,
                                  std::vector<Action>& actions) {
  m_storage = Storage::kIdle;
  m_loaded = true;
  if (read.row && read.row->controller_token > m_token) {
    m_active = false;
    return;
  }
  const bool own_write = m_target && read.row && *read.row == *m_target;
  if (own_write) {
    OnRowWritten(read.version, now, actions);
    return;
  }
  m_row_version = read.version;
  if (read.row) Enter(*read.row, now);
  if (!read.row && !m_target) Write(RolloutPhase::kCanary, "started", actions);
  if (m_target && IsEnd(m_row.phase) && !m_target->regressed_after_done) m_target.reset();
  if (m_rolled_back && m_row.phase == RolloutPhase::kDone && !m_row.regressed_after_done) {
    RollBack(m_row.reason, true, now, actions);
    return;
  }
  if (m_target) SendWrite(actions);
}

void RolloutController::OnRowWritten(std::uint64_t version, TimePoint now,
                                     std::vector<Action>& actions) {
  if (!m_target) return;
  m_storage = Storage::kIdle;
  m_row_version = version;
  const RolloutRow written = *std::exchange(m_target, std::nullopt);
  const bool ended = IsEnd(written.phase) && !IsEnd(m_row.phase);
  Enter(written, now);
  if (ended) actions.emplace_back(ReportEnd{written});
  if (m_rolled_back && m_row.phase != RolloutPhase::kRolledBack && !m_row.regressed_after_done) {
    RollBack("regression while a phase was written", true, now, actions);
  }
}

void RolloutController::Enter(const RolloutRow& row, TimePoint now) {
  const bool changed = row.phase != m_row.phase;
  m_row = row;
  if (row.deadline != 0) {
    m_deadline += std::chrono::milliseconds(row.deadline - m_rollout.deadline);
    m_rollout.deadline = row.deadline;
  }
  if (row.phase == RolloutPhase::kRolledBack || row.regressed_after_done) m_rolled_back = true;
  if (row.phase == RolloutPhase::kDone && !m_done_since) m_done_since = now;
  if (!changed) return;
  StartStep(0, now);
  m_comparison.RestartAcceptance();
}

void RolloutController::OnReport(const RolloutReport& report, TimePoint now,
                                 std::vector<Action>& actions) {
  if (report.rollout != m_rollout.id || !m_loaded) return;
  const bool known_sender = m_last_sequence.contains(report.sender);
  if (!known_sender && m_last_sequence.size() >= kMaxSenders) {
    m_last_sequence.erase(m_last_sequence.begin());
  }
  std::uint64_t& last = m_last_sequence[report.sender];
  if (report.sequence <= last) return;
  last = report.sequence;
  if (m_row.phase == RolloutPhase::kCanary) m_fleet_requests += report.requests;
  for (const RouteLatency& sample : report.old_latencies) m_latencies.Add(sample);
  m_comparison.Add(report.strata, report.endpoints, m_new_version_endpoints, now);
  CheckEvidence(now, actions);
  actions.emplace_back(SendDirective{report.sender, MakeDirective(report)});
}

RolloutDirective RolloutController::MakeDirective(const RolloutReport& report) {
  RolloutDirective directive;
  directive.rollout = m_rollout.id;
  directive.sequence = report.sequence;
  directive.controller_token = m_token;
  directive.phase = m_rolled_back ? RolloutPhase::kRolledBack : m_row.phase;
  directive.share_ppm = SharePpm();
  directive.excluded_endpoints.assign(m_comparison.ExcludedEndpoints().begin(),
                                      m_comparison.ExcludedEndpoints().end());
  directive.latency_limits = m_latencies.Limits();
  if (directive.phase != RolloutPhase::kCanary || m_row_version == 0) return directive;
  const std::uint64_t allowed =
      m_settings.canary_slack +
      static_cast<std::uint64_t>(m_settings.canary_share * static_cast<double>(m_fleet_requests));
  const std::uint64_t free = allowed > m_permits_granted ? allowed - m_permits_granted : 0;
  directive.permits =
      static_cast<std::uint32_t>(std::min<std::uint64_t>(free, report.permits_wanted));
  m_permits_granted += directive.permits;
  return directive;
}

void RolloutController::OnNotice(const BadVersionNotice& notice, TimePoint now,
                                 std::vector<Action>& actions) {
  if (notice.rollout != m_rollout.id || m_rolled_back) return;
  RollBack(ToString(notice.origin) + ": " + notice.reason, true, now, actions);
}

void RolloutController::CheckEvidence(TimePoint now, std::vector<Action>& actions) {
  if (m_rolled_back || m_comparison.Result() != ComparisonResult::kBad) return;
  RollBack(m_comparison.Reason(), true, now, actions);
}

void RolloutController::RollBack(const std::string& reason, bool version_is_bad, TimePoint now,
                                 std::vector<Action>& actions) {
  const bool first = !std::exchange(m_rolled_back, true);
  if (first && version_is_bad) {
    actions.emplace_back(PublishGossip{{m_rollout.id, m_service, m_rollout.to, reason, m_self}});
  }
  if (m_row.phase == RolloutPhase::kRolledBack || m_row.regressed_after_done) return;
  m_step_since = now;
  if (m_storage == Storage::kWriting || m_storage == Storage::kReading) return;
  if (m_row.phase != RolloutPhase::kDone) {
    Write(RolloutPhase::kRolledBack, reason, actions);
    return;
  }
  m_target = m_row;
  m_target->regressed_after_done = true;
  m_target->reason = reason;
  m_target->controller_token = m_token;
  SendWrite(actions);
}

void RolloutController::OnTick(TimePoint now, std::vector<Action>& actions) {
  if (!m_started) m_started = now;
  if (m_storage == Storage::kUnread) {
    m_storage = Storage::kReading;
    actions.emplace_back(ReadRow{});
    return;
  }
  if (m_storage != Storage::kIdle) return;
  if (m_target) {
    SendWrite(actions);
    return;
  }
  if (m_rolled_back) {
    RollBack("regression", true, now, actions);
    return;
  }
  if (IsEnd(m_row.phase)) return;
  CheckDeadline(now, actions);
  if (!m_target) Advance(now, actions);
}

void RolloutController::CheckDeadline(TimePoint now, std::vector<Action>& actions) {
  if (now >= m_deadline) {
    RollBack("deadline passed: " + Evidence(), false, now, actions);
    return;
  }
  if (m_at_risk_reported) return;
  const std::string reason = PredictMissedDeadline(now);
  if (reason.empty()) return;
  m_at_risk_reported = true;
  actions.emplace_back(ReportAtRisk{reason});
}

std::string RolloutController::PredictMissedDeadline(TimePoint now) const {
  const Duration elapsed = now - *m_started;
  if (elapsed < std::chrono::seconds(10)) return "";
  if (m_new_version_endpoints == 0) return "no endpoint has the new version loaded";
  if (m_capacity_short_since && now - *m_capacity_short_since >= kCapacityShortTime) {
    return "the endpoints with the new version cannot hold all traffic";
  }
  Duration needed = m_settings.min_step * static_cast<int>(kRampSharesPpm.size() - m_step);
  if (m_row.phase == RolloutPhase::kCanary) {
    const double rate = m_settings.canary_share * static_cast<double>(m_fleet_requests) /
                        static_cast<double>(elapsed.count());
    if (rate <= 0) return "no traffic to judge the new version by";
    const double wait = static_cast<double>(m_comparison.RequestsUntilAccepted()) / rate;
    needed += Duration(static_cast<Duration::rep>(wait));
  }
  if (now + needed <= m_deadline) return "";
  return "too little traffic to judge the new version before the deadline";
}

void RolloutController::Advance(TimePoint now, std::vector<Action>& actions) {
  if (m_settings.exposure_limit) {
    AdvanceLimited(now, actions);
    return;
  }
  const bool good = m_comparison.Result() == ComparisonResult::kGood;
  switch (m_row.phase) {
    case RolloutPhase::kCanary:
      if (good && m_max_share_ppm > 0)
        Write(RolloutPhase::kRamp, "accepted: " + Evidence(), actions);
      return;
    case RolloutPhase::kRamp:
      AdvanceRamp(now, actions);
      return;
    case RolloutPhase::kFull:
      if (now - m_step_since < StepTime(now)) return;
      Write(RolloutPhase::kDone, Evidence(), actions);
      return;
    case RolloutPhase::kDone:
    case RolloutPhase::kRolledBack:
      return;
  }
}

/// Steps end on time unless something speaks against the version: waiting for more evidence at a
/// high share would expose more requests. In doubt the ramp begins anew, and what is undecided near
/// the deadline is rolled back, so that the end is written in time.
void RolloutController::AdvanceLimited(TimePoint now, std::vector<Action>& actions) {
  if (m_deadline - now <= (m_deadline - *m_started) * kUndecidedReserve) {
    RollBack("undecided: " + Evidence(), false, now, actions);
    return;
  }
  if (m_comparison.IsDoubtful()) {
    if (m_step > 0) StartStep(0, now);
    return;
  }
  const bool is_canary = m_row.phase == RolloutPhase::kCanary;
  const bool has_evidence =
      m_comparison.NewRequests() >=
      m_step_requests + (is_canary ? kFewestCanaryRequests : kFewestStepRequests);
  if (!has_evidence) return;
  if (is_canary) {
    const bool is_over = m_deadline - now <= RampTime();
    if (is_over && m_max_share_ppm >= kRampSharesPpm[0]) {
      Write(RolloutPhase::kRamp, "accepted: " + Evidence(), actions);
    }
    return;
  }
  if (m_row.phase != RolloutPhase::kRamp || now - m_step_since < LimitedStepTime(now)) return;
  if (m_step + 1 == kLimitedSteps) {
    Write(RolloutPhase::kDone, "ramp completed: " + Evidence(), actions);
    return;
  }
  if (m_max_share_ppm < kRampSharesPpm[m_step + 1]) return;
  StartStep(m_step + 1, now);
}

void RolloutController::StartStep(std::size_t step, TimePoint now) {
  m_step = step;
  m_step_since = now;
  m_step_requests = m_comparison.NewRequests();
}

/// Returns the part of the time before the deadline that is kept for the ramp. A controller that
/// has replaced another has less time in all and may have to begin at once.
Duration RolloutController::RampTime() const {
  const double whole = static_cast<double>((m_deadline - *m_started).count());
  const Duration part(static_cast<Duration::rep>((1.0 - kCanaryTime) * whole));
  return std::max(part, kUsualShortestStep * static_cast<int>(kLimitedSteps + 1));
}

Duration RolloutController::LimitedStepTime(TimePoint now) const {
  const double exposed = kExposurePerStep * *m_settings.exposure_limit *
                         static_cast<double>((m_deadline - *m_started).count());
  const double share = static_cast<double>(kRampSharesPpm[m_step]) / kAll;
  const Duration planned =
      std::max(kUsualShortestStep, Duration(static_cast<Duration::rep>(exposed / share)));
  const double left = static_cast<double>((m_deadline - now).count()) * (1.0 - kReserve);
  const double equal_part = left / static_cast<double>(kLimitedSteps - m_step);
  return std::max(kShortestLimitedStep,
                  std::min(planned, Duration(static_cast<Duration::rep>(equal_part))));
}

void RolloutController::AdvanceRamp(TimePoint now, std::vector<Action>& actions) {
  if (m_max_share_ppm < kRampSharesPpm[m_step]) return;
  if (now - m_step_since < StepTime(now)) return;
  const Duration left = m_deadline - now;
  const int steps_left = static_cast<int>(kRampSharesPpm.size() - m_step);
  const bool urgent = left <= 2 * m_settings.min_step * steps_left;
  if (m_comparison.Result() != ComparisonResult::kGood && !urgent) return;
  if (m_step + 1 == kRampSharesPpm.size()) {
    Write(RolloutPhase::kFull, "ramp completed: " + Evidence(), actions);
    return;
  }
  ++m_step;
  m_step_since = now;
  m_comparison.RestartAcceptance();
}

Duration RolloutController::StepTime(TimePoint now) const {
  const double left = static_cast<double>((m_deadline - now).count()) * (1.0 - kReserve);
  const double steps = static_cast<double>(kRampSharesPpm.size() - m_step) + 1.0;
  const Duration planned(static_cast<Duration::rep>(kStepPart * left / steps));
  return std::max(m_settings.min_step, planned);
}

void RolloutController::Write(RolloutPhase phase, const std::string& reason,
                              std::vector<Action>& actions) {
  m_target =
      RolloutRow{m_rollout.id, m_service, m_rollout.from,
                 m_rollout.to, phase,     reason,
                 false,        m_token,   m_settings.keep_first_deadline ? m_rollout.deadline : 0};
  SendWrite(actions);
}

void RolloutController::SendWrite(std::vector<Action>& actions) {
  m_storage = Storage::kWriting;
  actions.emplace_back(WriteRow{*m_target, m_row_version});
}

std::string RolloutController::Evidence() const {
  return std::to_string(m_comparison.NewRequests()) + " requests of version " + m_rollout.to +
         " compared with " + (m_rollout.from.empty() ? "the others" : "version " + m_rollout.from);
}

}  // namespace fulmarpoint
