#include <criterion/criterion.h>

#include <map>
#include <optional>
#include <random>
#include <vector>

#include "coordination/rollout_aggregator.h"
#include "coordination/rollout_controller.h"
#include "coordination/rollout_participant.h"
#include "coordination/version_comparison.h"

using namespace fulmarpoint;

namespace {

const RolloutRequest kRollout{"move-1", "v1", "v2", 0};

TimePoint At(int milliseconds) { return TimePoint(std::chrono::milliseconds(milliseconds)); }

template <typename T, typename Actions>
std::vector<T> Only(const Actions& actions) {
  std::vector<T> result;
  for (const auto& action : actions) {
    if (const T* wanted = std::get_if<T>(&action)) result.push_back(*wanted);
  }
  return result;
}

/// A controller with a table service whose next write can be lost, or applied with its answer lost.
class ControllerBench {
 public:
  enum class Store { kUp, kDown, kAnswerLost };

  explicit ControllerBench(std::uint64_t token = 1) : controller(Make(token)) {}

  static RolloutController Make(std::uint64_t token) {
    return RolloutController({"controller", token}, "assistant", kRollout, token, At(600'000),
                             RolloutController::Settings{});
  }

  void Send(const RolloutController::Event& event) {
    std::vector<RolloutController::Action> actions;
    controller.Handle(event, now, actions);
    for (const RolloutController::Action& action : actions) Perform(action);
  }

  void Tick(int milliseconds) {
    now += std::chrono::milliseconds(milliseconds);
    Send(RolloutController::Tick{});
  }

  /// Reports `requests` good requests of each version; returns the directive.
  RolloutDirective Report(std::uint32_t requests, std::uint32_t new_errors = 0) {
    RolloutReport report{kRollout.id, {"daemon", 1}, ++sequence, 4, requests, {}, {}};
    report.strata.push_back(
        {1, 1, {requests, 0, requests, 0}, {requests, new_errors, requests, 0}});
    directives.clear();
    Send(RolloutController::ReportReceived{report});
    cr_assert_eq(directives.size(), 1u);
    return directives.back();
  }

  RolloutController controller;
  TimePoint now = At(1000);
  Store store = Store::kUp;
  std::optional<RolloutRow> row;
  std::uint64_t row_version = 0;
  std::uint64_t sequence = 0;
  std::vector<RolloutDirective> directives;
  std::vector<RolloutRow> ends;
  std::vector<BadVersionNotice> notices;
  std::vector<std::string> risks;

 private:
  void Perform(const RolloutController::Action& action) {
    if (std::holds_alternative<RolloutController::ReadRow>(action)) {
      if (store == Store::kDown) return Send(RolloutController::RowReadFailed{});
      return Send(RolloutController::RowRead{row_version, row});
    }
    if (const auto* write = std::get_if<RolloutController::WriteRow>(&action)) return Write(*write);
    if (const auto* send = std::get_if<RolloutController::SendDirective>(&action)) {
      directives.push_back(send->directive);
    }
    if (const auto* end = std::get_if<RolloutController::ReportEnd>(&action)) {
      ends.push_back(end->row);
    }
    if (const auto* notice = std::get_if<RolloutController::PublishGossip>(&action)) {
      notices.push_back(notice->notice);
    }
    if (const auto* risk = std::get_if<RolloutController::ReportAtRisk>(&action)) {
      risks.push_back(risk->reason);
    }
  }

  void Write(const RolloutController::WriteRow& write) {
    if (store == Store::kDown) return Send(RolloutController::RowWriteUnknown{});
    if (write.expected_version != row_version) {
      return Send(RolloutController::RowRead{row_version, row});
    }
    row = write.row;
    ++row_version;
    if (store == Store::kAnswerLost) {
      store = Store::kUp;
      return Send(RolloutController::RowWriteUnknown{});
    }
    Send(RolloutController::RowWritten{row_version});
  }
};

void RunToDone(ControllerBench& bench) {
  bench.Send(RolloutController::CapacityChanged{4, 1'000'000});
  bench.Tick(0);
  bench.Tick(250);
  for (int step = 0; step < 10'000 && bench.controller.Phase() != RolloutPhase::kDone; ++step) {
    bench.Report(50);
    bench.Tick(1000);
  }
}

RolloutDirective Answer(const RolloutParticipant::SendReport& report, RolloutPhase phase) {
  RolloutDirective directive;
  directive.rollout = kRollout.id;
  directive.sequence = report.report.sequence;
  directive.controller_token = 1;
  directive.phase = phase;
  directive.share_ppm = 1'000'000;
  directive.permits = report.report.permits_wanted;
  return directive;
}

RolloutParticipant::SendReport TickParticipant(RolloutParticipant& participant, TimePoint now) {
  std::vector<RolloutParticipant::Action> actions;
  participant.Handle(RolloutParticipant::Tick{}, now, actions);
  const std::vector<RolloutParticipant::SendReport> reports =
      Only<RolloutParticipant::SendReport>(actions);
  cr_assert_eq(reports.size(), 1u);
  return reports.front();
}

void Receive(RolloutParticipant& participant, const RolloutDirective& directive, TimePoint now) {
  std::vector<RolloutParticipant::Action> actions;
  participant.Handle(RolloutParticipant::DirectiveReceived{directive}, now, actions);
}

}  // namespace

// Guards against rolling back good versions: 200 comparisons of two equal versions, 20,000 requests
// each; the stated false-alarm rate is 1%, so 10 alarms are improbable (p < 1e-4).
Test(rollout, equal_versions_raise_few_alarms) {
  int alarms = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 random(seed);
    VersionComparison comparison{VersionComparison::Settings{}};
    std::bernoulli_distribution error(0.01);
    std::bernoulli_distribution slow(0.1);
    for (int i = 0; i < 20'000; ++i) {
      StratumCounts stratum;
      stratum.old_version = {1, error(random) ? 1u : 0u, 1, slow(random) ? 1u : 0u};
      stratum.new_version = {1, error(random) ? 1u : 0u, 1, slow(random) ? 1u : 0u};
      comparison.Add({stratum}, {}, 1, At(i * 20));
    }
    alarms += comparison.Result() == ComparisonResult::kBad ? 1 : 0;
  }
  cr_log_info("false alarms with seeds 1..200: %d", alarms);
  cr_assert_lt(alarms, 10);
}

// Guards against a regression that hides behind much good evidence.
Test(rollout, late_regression_is_found_after_good_evidence) {
  VersionComparison comparison{VersionComparison::Settings{}};
  for (int i = 0; i < 5000; ++i) {
    comparison.Add({{1, 1, {1, 0, 1, 0}, {1, 0, 1, 0}}}, {}, 1, At(i * 10));
  }
  cr_assert_eq(comparison.Result(), ComparisonResult::kGood);
  int failures = 0;
  while (comparison.Result() != ComparisonResult::kBad && failures < 100) {
    comparison.Add({{1, 1, {1, 0, 1, 0}, {1, 1, 0, 0}}}, {}, 1, At(50'000 + failures * 10));
    ++failures;
  }
  cr_assert_leq(failures, 10);
}

// Guards against charging the loss of a failure domain to the new version.
Test(rollout, loss_of_a_failure_domain_is_not_the_versions_fault) {
  VersionComparison comparison{VersionComparison::Settings{}};
  for (int i = 0; i < 3000; ++i) {
    const bool lost = i > 1500;
    comparison.Add({{1, 1, {10, lost ? 9u : 0u, 1, 0}, {1, lost && i % 10 != 0 ? 1u : 0u, 1, 0}},
                    {1, 2, {10, 0, 10, 0}, {1, 0, 1, 0}}},
                   {}, 4, At(i * 100));
  }
  cr_assert_neq(comparison.Result(), ComparisonResult::kBad, "%s", comparison.Reason().c_str());
}

// Guards against a daemon that goes on with a directive from before it was paused or cut off.
Test(rollout, directive_expires_on_the_daemons_own_clock) {
  RolloutParticipant participant({"daemon", 1}, "assistant", kRollout);
  const RolloutParticipant::SendReport report = TickParticipant(participant, At(0));
  Receive(participant, Answer(report, RolloutPhase::kFull), At(100));
  cr_assert(participant.ChooseNewVersion(2, At(2499)));
  cr_assert_not(participant.ChooseNewVersion(2, At(2500)));
}

// Guards against a delayed answer, delivered after a pause, that would extend the validity.
Test(rollout, late_directive_is_ignored) {
  RolloutParticipant participant({"daemon", 1}, "assistant", kRollout);
  const RolloutParticipant::SendReport report = TickParticipant(participant, At(0));
  Receive(participant, Answer(report, RolloutPhase::kFull), At(2600));
  cr_assert_not(participant.ChooseNewVersion(2, At(2601)));
}

// Guards against a superseded controller that still answers.
Test(rollout, directive_of_an_older_controller_is_ignored) {
  RolloutParticipant participant({"daemon", 1}, "assistant", kRollout);
  RolloutDirective newer = Answer(TickParticipant(participant, At(0)), RolloutPhase::kCanary);
  newer.controller_token = 7;
  Receive(participant, newer, At(10));
  Receive(participant, Answer(TickParticipant(participant, At(1000)), RolloutPhase::kFull),
          At(1010));
  cr_assert_not(participant.ChooseNewVersion(2, At(1020)));
}

// Guards against a bad version that is used again after its notice, whatever the controller says.
Test(rollout, notice_is_final) {
  RolloutParticipant participant({"daemon", 1}, "assistant", kRollout);
  std::vector<RolloutParticipant::Action> actions;
  participant.Handle(
      RolloutParticipant::GossipReceived{{"move-1", "assistant", "v2", "errors", {}}}, At(0),
      actions);
  Receive(participant, Answer(TickParticipant(participant, At(0)), RolloutPhase::kFull), At(10));
  cr_assert_not(participant.ChooseNewVersion(2, At(20)));
}

// Guards against waiting for the controller: a daemon that sees the regression stops by itself.
Test(rollout, daemon_that_sees_the_regression_stops_at_once) {
  RolloutParticipant participant({"daemon", 1}, "assistant", kRollout);
  Receive(participant, Answer(TickParticipant(participant, At(0)), RolloutPhase::kFull), At(1));
  std::vector<RolloutParticipant::Action> actions;
  for (int i = 0; i < 20; ++i) {
    cr_assert(participant.ChooseNewVersion(1, At(2 + i)) == !participant.KnownBad());
    VersionOutcome outcome{true, "route", "engine-1", "domain", true, {}, {}};
    participant.Handle(RolloutParticipant::OutcomeSeen{outcome}, At(2 + i), actions);
  }
  cr_assert(participant.KnownBad());
  cr_assert_eq(Only<RolloutParticipant::PublishGossip>(actions).size(), 1u);
}

// Guards against a canary share above 5% of the fleet's requests, also with very few requests.
Test(rollout, permits_stay_below_five_percent) {
  ControllerBench bench;
  bench.Send(RolloutController::CapacityChanged{4, 1'000'000});
  bench.Tick(0);
  std::uint64_t requests = 0;
  std::uint64_t permits = 0;
  for (std::uint32_t batch = 0; batch < 200; ++batch) {
    RolloutReport report{kRollout.id, {"daemon", batch % 8}, batch + 1, 4, 3, {}, {}};
    bench.directives.clear();
    bench.Send(RolloutController::ReportReceived{report});
    requests += 3;
    permits += bench.directives.at(0).permits;
    cr_assert_leq(permits * 20, requests);
  }
  cr_assert_eq(permits, requests / 20);
}

// Guards against permits and evidence that a repeated message would multiply.
Test(rollout, repeated_report_is_ignored) {
  ControllerBench bench;
  bench.Tick(0);
  const RolloutReport report{kRollout.id, {"daemon", 1}, 1, 4, 40, {}, {}};
  bench.Send(RolloutController::ReportReceived{report});
  bench.Send(RolloutController::ReportReceived{report});
  cr_assert_eq(bench.directives.size(), 1u);
}

Test(rollout, good_version_is_done_before_the_deadline) {
  ControllerBench bench;
  RunToDone(bench);
  cr_assert_eq(bench.controller.Phase(), RolloutPhase::kDone);
  cr_assert_lt(bench.now.time_since_epoch().count(), At(600'000).time_since_epoch().count());
  cr_assert_eq(bench.ends.size(), 1u);
  cr_assert_eq(bench.row->phase, RolloutPhase::kDone);
}

// Guards against a second end, or none, when the answer of the write of the end is lost.
Test(rollout, end_is_reported_once_when_its_answer_is_lost) {
  ControllerBench bench;
  bench.Tick(0);
  bench.Send(RolloutController::CapacityChanged{4, 1'000'000});
  bench.store = ControllerBench::Store::kAnswerLost;
  bench.Send(RolloutController::GossipReceived{{"move-1", "assistant", "v2", "errors", {}}});
  bench.Tick(250);
  bench.Tick(250);
  cr_assert_eq(bench.ends.size(), 1u);
  cr_assert_eq(bench.row->phase, RolloutPhase::kRolledBack);
  cr_assert_eq(bench.row_version, 2u);
}

// Guards against traffic for a bad version during an outage of the table service.
Test(rollout, rollback_takes_effect_while_the_store_is_down) {
  ControllerBench bench;
  bench.Send(RolloutController::CapacityChanged{4, 1'000'000});
  bench.Tick(0);
  bench.store = ControllerBench::Store::kDown;
  bench.Send(RolloutController::GossipReceived{{"move-1", "assistant", "v2", "errors", {}}});
  cr_assert_eq(bench.Report(10).phase, RolloutPhase::kRolledBack);
  cr_assert(bench.ends.empty());
  for (int i = 0; i < 20; ++i) bench.Tick(250);
  bench.store = ControllerBench::Store::kUp;
  for (int i = 0; i < 4; ++i) bench.Tick(250);
  cr_assert_eq(bench.ends.size(), 1u);
  cr_assert_eq(bench.row->phase, RolloutPhase::kRolledBack);
}

// Guards against a successor that resumes traffic to a version that was rolled back.
Test(rollout, successor_keeps_the_rollback) {
  ControllerBench bench;
  bench.Tick(0);
  bench.Send(RolloutController::GossipReceived{{"move-1", "assistant", "v2", "errors", {}}});
  bench.controller = ControllerBench::Make(2);
  bench.Tick(250);
  bench.Tick(250);
  bench.sequence = 100;
  cr_assert_eq(bench.Report(10).phase, RolloutPhase::kRolledBack);
  cr_assert_eq(bench.ends.size(), 1u);
}

// Guards against a paused controller that writes after its successor.
Test(rollout, superseded_controller_stops) {
  ControllerBench bench;
  bench.Tick(0);
  bench.row->controller_token = 9;
  ++bench.row_version;
  bench.Send(RolloutController::GossipReceived{{"move-1", "assistant", "v2", "errors", {}}});
  cr_assert_not(bench.controller.Active());
  cr_assert(bench.ends.empty());
  cr_assert_eq(bench.row->controller_token, 9u);
}

// Guards against a regression after the end that nobody acts on.
Test(rollout, regression_after_done_is_recorded_beside_the_end) {
  ControllerBench bench;
  RunToDone(bench);
  cr_assert_eq(bench.Report(50, 50).phase, RolloutPhase::kRolledBack);
  cr_assert_eq(bench.row->phase, RolloutPhase::kDone);
  cr_assert(bench.row->regressed_after_done);
  cr_assert_eq(bench.ends.size(), 1u);
}

// Guards against silence when the deadline can't be met, and against an unproven version that
// takes all traffic at the deadline.
Test(rollout, too_little_traffic_is_said_early_and_rolled_back_at_the_deadline) {
  ControllerBench bench;
  bench.Send(RolloutController::CapacityChanged{4, 1'000'000});
  for (int i = 0; i < 60; ++i) bench.Tick(1000);
  cr_assert_eq(bench.risks.size(), 1u);
  while (bench.now < At(602'000)) bench.Tick(1000);
  cr_assert_eq(bench.ends.size(), 1u);
  cr_assert_eq(bench.ends.front().phase, RolloutPhase::kRolledBack);
}

Test(rollout, share_is_limited_by_loaded_endpoints) {
  ControllerBench bench;
  bench.Send(RolloutController::CapacityChanged{1, 60'000});
  bench.Tick(0);
  for (int i = 0; i < 100; ++i) {
    bench.Report(50);
    bench.Tick(1000);
    cr_assert_leq(bench.controller.SharePpm(), 60'000u);
  }
  cr_assert_eq(bench.risks.size(), 1u);
}

// Guards against an alarm for a burst of load that is over at the next report.
Test(rollout, short_lack_of_capacity_puts_no_deadline_at_risk) {
  ControllerBench bench;
  bench.Tick(0);
  for (int i = 0; i < 100; ++i) {
    bench.Send(RolloutController::CapacityChanged{4, i % 5 == 0 ? 800'000u : 1'000'000u});
    bench.Report(50);
    bench.Tick(1000);
  }
  cr_assert(bench.risks.empty(), "%s", bench.risks.front().c_str());
}

// Guards against a group of daemons that receives more permits than the controller gave.
Test(rollout, aggregator_passes_on_only_the_permits_it_got) {
  RolloutAggregator aggregator({"aggregator", 1}, kRollout.id);
  std::vector<RolloutAggregator::Action> actions;
  const auto report = [&](std::uint64_t daemon, std::uint64_t sequence, TimePoint now) {
    aggregator.Handle(
        RolloutAggregator::ReportReceived{{kRollout.id, {"d", daemon}, sequence, 2, 10, {}, {}}},
        now, actions);
  };
  report(1, 1, At(0));
  report(2, 1, At(0));
  aggregator.Handle(RolloutAggregator::Tick{}, At(10), actions);
  const std::vector<RolloutAggregator::SendReport> merged =
      Only<RolloutAggregator::SendReport>(actions);
  cr_assert_eq(merged.size(), 1u);
  cr_assert_eq(merged[0].report.requests, 20u);
  cr_assert_eq(merged[0].report.permits_wanted, 4u);
  RolloutDirective directive;
  directive.rollout = kRollout.id;
  directive.sequence = merged[0].report.sequence;
  directive.permits = 3;
  aggregator.Handle(RolloutAggregator::DirectiveReceived{directive}, At(20), actions);
  aggregator.Handle(RolloutAggregator::DirectiveReceived{directive}, At(21), actions);
  actions.clear();
  report(1, 2, At(500));
  report(2, 2, At(500));
  report(2, 2, At(500));
  const std::vector<RolloutAggregator::SendDirective> sent =
      Only<RolloutAggregator::SendDirective>(actions);
  cr_assert_eq(sent.size(), 2u);
  cr_assert_eq(sent[0].directive.permits + sent[1].directive.permits, 3u);
  cr_assert_eq(sent[0].directive.age_us, 490'000);
}
