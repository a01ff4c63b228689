#include <criterion/criterion.h>

#include <algorithm>

#include "verification/checker.h"
#include "verification/token_function.h"

using namespace fulmarpoint;

namespace {

TimePoint At(double seconds) {
  return TimePoint(Duration(static_cast<Duration::rep>(seconds * 1e6)));
}

RequestSent Generation(const std::string& request) {
  RequestSent sent;
  sent.request = request;
  sent.service = "assistant";
  sent.model = "draft";
  sent.prompt = "prompt of " + request;
  sent.seed = 7;
  return sent;
}

RequestSent Call(const std::string& request, int send = 0) {
  RequestSent sent;
  sent.request = request;
  sent.send = send;
  sent.kind = RequestKind::kCall;
  sent.service = "orders";
  sent.expected_answer = AnswerTo("POST", "/orders", request);
  return sent;
}

TokenReceived Token(const std::string& request, std::uint64_t position,
                    const std::string& version = "v1") {
  const RequestSent sent = Generation(request);
  return {request, position, TokenAt(sent.model, version, sent.prompt, sent.seed, position)};
}

RequestStarted Started(const std::string& request, const std::string& endpoint,
                       const std::string& version = "v1", WorkKind work = WorkKind::kNew) {
  return {request, endpoint, "assistant", version, work};
}

AnswerReceived Answer(const std::string& request) {
  return {request, 0, AnswerTo("POST", "/orders", request)};
}

RefusalReceived NotRun(const std::string& request, int send) {
  return {request, send, ResultCode::kOverloaded, Execution::kNotRun, "d1"};
}

std::size_t Count(const std::vector<Violation>& violations, Guarantee guarantee) {
  return static_cast<std::size_t>(
      std::count_if(violations.begin(), violations.end(),
                    [&](const Violation& v) { return v.guarantee == guarantee; }));
}

/// Fails unless `history` violates `guarantee` and no other.
void ExpectOnly(Guarantee guarantee, const History& history) {
  const std::vector<Violation> violations = CheckHistory(history);
  cr_assert_gt(Count(violations, guarantee), 0U, "%s was not reported",
               std::string(NameOf(kGuaranteeNames, guarantee)).c_str());
  for (const Violation& violation : violations) {
    cr_assert_eq(violation.guarantee, guarantee, "also reported: %s",
                 Describe(violation, history).c_str());
    cr_assert_not(violation.records.empty());
    for (const std::size_t record : violation.records) cr_assert_lt(record, history.size());
  }
}

void ExpectNone(const History& history) {
  for (const Violation& violation : CheckHistory(history)) {
    cr_assert_fail("%s", Describe(violation, history).c_str());
  }
}

/// Returns a generation that is resumed on another engine after its engine crashed.
History ResumedGeneration() {
  return {{At(0), Generation("a")},         {At(0.1), Started("a", "e1")},
          {At(0.2), Token("a", 0)},         {At(0.3), Token("a", 1)},
          {At(0.4), EndpointCrashed{"e1"}}, {At(1.2), Started("a", "e2", "v1", WorkKind::kResumed)},
          {At(1.6), Token("a", 2)},         {At(1.7), AnswerReceived{"a", 3, ""}}};
}

/// Returns `count` answered generations; those whose index is in `canary` run on version v2.
History Rollout(int count, const std::vector<int>& canary) {
  History history = {{At(0), RolloutStarted{"assistant", "v2"}}};
  for (int i = 0; i < count; ++i) {
    const std::string name = "r" + std::to_string(i);
    const bool on_canary = std::find(canary.begin(), canary.end(), i) != canary.end();
    history.push_back({At(i), Generation(name)});
    history.push_back({At(i), Started(name, "e1", on_canary ? "v2" : "v1")});
    history.push_back({At(i), AnswerReceived{name, 0, ""}});
  }
  return history;
}

}  // namespace

// Guards against a token function that yields equal tokens for different generations.
Test(checker, tokens_depend_on_all_arguments) {
  const std::string token = TokenAt("m", "v1", "p", 1, 0);
  cr_assert_eq(token, TokenAt("m", "v1", "p", 1, 0));
  cr_assert_neq(token, TokenAt("n", "v1", "p", 1, 0));
  cr_assert_neq(token, TokenAt("m", "v2", "p", 1, 0));
  cr_assert_neq(token, TokenAt("m", "v1", "q", 1, 0));
  cr_assert_neq(token, TokenAt("m", "v1", "p", 2, 0));
  cr_assert_neq(token, TokenAt("m", "v1", "p", 1, 1));
}

// Guards against false positives on a correct resumption.
Test(checker, resumed_generation_is_correct) { ExpectNone(ResumedGeneration()); }

// Guards against tokens lost in a resumption.
Test(checker, missing_token_breaks_p1) {
  History history = ResumedGeneration();
  history[6].event = Token("a", 3);
  std::get<AnswerReceived>(history[7].event).total = 4;
  ExpectOnly(Guarantee::kP1, history);
}

// Guards against a token that is delivered again after a resumption.
Test(checker, duplicate_token_breaks_p1) {
  History history = ResumedGeneration();
  history.insert(history.begin() + 6, {At(1.5), Token("a", 1)});
  ExpectOnly(Guarantee::kP1, history);
}

// Guards against a truncated stream: its positions are consecutive, only the total differs.
Test(checker, truncated_stream_breaks_p1) {
  History history = ResumedGeneration();
  std::get<AnswerReceived>(history[7].event).total = 5;
  ExpectOnly(Guarantee::kP1, history);
}

// Guards against a resumption on another version.
Test(checker, token_of_another_version_breaks_p2) {
  History history = ResumedGeneration();
  history[5].event = Started("a", "e2", "v2", WorkKind::kResumed);
  history[6].event = Token("a", 2, "v2");
  ExpectOnly(Guarantee::kP2, history);
}

// Guards against a canary share above 5 %, counted fleet-wide.
Test(checker, canary_share_is_bounded) {
  ExpectNone(Rollout(45, {19, 39}));
  ExpectOnly(Guarantee::kP3, Rollout(45, {19, 25}));
}

// Guards against new work on a version that was declared bad, and against false positives for
// generations that are resumed on their version.
Test(checker, bad_version_receives_nothing_after_the_limit) {
  History history = Rollout(20, {19});
  history.push_back({At(20), VersionProven{"assistant", "v2"}});
  history.push_back({At(21), VersionDeclaredBad{"assistant", "v2", "d1"}});
  history.push_back({At(30), Started("r19", "e2", "v2", WorkKind::kResumed)});
  ExpectNone(history);
  history.push_back({At(30), Started("r3", "e2", "v2")});
  ExpectOnly(Guarantee::kP3, history);
}

// Guards against answers that reach the wrong caller and requests without an outcome.
Test(checker, wrong_or_missing_answer_breaks_p4) {
  const History correct = {
      {At(0), Call("a")}, {At(0), Call("b")}, {At(1), Answer("b")}, {At(2), Answer("a")}};
  ExpectNone(correct);
  History wrong = correct;
  wrong[3].event = AnswerReceived{"a", 0, AnswerTo("POST", "/orders", "b")};
  ExpectOnly(Guarantee::kP4, wrong);
  History missing = correct;
  missing.pop_back();
  ExpectOnly(Guarantee::kP4, missing);
  missing.push_back({At(9), RequestAbandoned{"a"}});
  ExpectNone(missing);
}

// Guards against tokens of another caller's generation; such a token also breaks P2.
Test(checker, token_of_another_request_breaks_p4) {
  History history = ResumedGeneration();
  std::get<TokenReceived>(history[6].event).token = Token("b", 2).token;
  const std::vector<Violation> violations = CheckHistory(history);
  cr_assert_eq(Count(violations, Guarantee::kP4), 1U);
  cr_assert_eq(Count(violations, Guarantee::kP2), 1U);
}

// Guards against *not run* for a request that reaches an endpoint before or after the refusal. Work
// after a second send that is not refused is no violation.
Test(checker, false_not_run_breaks_p5) {
  const History refused = {{At(0), Call("a")}, {At(1), NotRun("a", 0)}};
  ExpectNone(refused);
  History late = refused;
  late.push_back({At(2), EffectApplied{"a", "e1"}});
  ExpectOnly(Guarantee::kP5, late);
  History before = refused;
  before.insert(before.begin() + 1, {At(0.5), RequestStarted{"a", "e1", "orders", "v1"}});
  ExpectOnly(Guarantee::kP5, before);
  History again = refused;
  again.push_back({At(2), Call("a", 1)});
  again.push_back({At(3), EffectApplied{"a", "e1"}});
  again.push_back({At(4), Answer("a")});
  ExpectNone(again);
}

// Guards against an order that runs twice because its reply was lost.
Test(checker, second_effect_breaks_p6) {
  History history = {{At(0), Call("a")},
                     {At(1), RequestStarted{"a", "e1", "orders", "v1"}},
                     {At(1), EffectApplied{"a", "e1"}},
                     {At(2), ConnectionLost{"a", "d1"}},
                     {At(3), Call("a", 1)},
                     {At(4), Answer("a")}};
  ExpectNone(history);
  history.insert(history.begin() + 5, {At(3.5), EffectApplied{"a", "e2"}});
  ExpectOnly(Guarantee::kP6, history);
  history[5].event = RequestStarted{"a", "e2", "orders", "v1"};
  ExpectOnly(Guarantee::kP6, history);
  for (HistoryRecord& record : history) {
    if (auto* sent = std::get_if<RequestSent>(&record.event)) sent->idempotent = true;
  }
  ExpectNone(history);
}

// Guards against new work at a leaving endpoint; reconnections to its streams are allowed.
Test(checker, work_at_leaving_endpoint_breaks_p7) {
  History history = ResumedGeneration();
  history.push_back({At(2), EndpointLeaving{"e2", LeavingSignal::kReport}});
  history.push_back({At(6.9), Started("a", "e2", "v1", WorkKind::kResumed)});
  history.push_back({At(7.1), Started("a", "e2", "v1", WorkKind::kReconnected)});
  ExpectNone(history);
  History live = history;
  live.push_back({At(8), EndpointLive{"e2"}});
  live.push_back({At(9), Started("a", "e2", "v1", WorkKind::kResumed)});
  ExpectNone(live);
  history.push_back({At(9), Started("a", "e2", "v1", WorkKind::kResumed)});
  ExpectOnly(Guarantee::kP7, history);
}

// Guards against a planned shutdown that interrupts a stream without a `move` event.
Test(checker, interruption_by_planned_shutdown_breaks_p8) {
  History history = ResumedGeneration();
  history.insert(history.begin() + 1, {At(0.05), DrainStarted{"d1"}});
  history.insert(history.begin() + 5, {At(0.35), ConnectionLost{"a", "d1", true}});
  ExpectNone(history);
  std::get<ConnectionLost>(history[5].event).moved = false;
  ExpectOnly(Guarantee::kP8, history);
  history[5].event = RefusalReceived{"a", 0, ResultCode::kDraining, Execution::kRun, "d1"};
  ExpectOnly(Guarantee::kP8, history);
}

// Guards against a daemon that applies a change late, and against false positives for fenced ones.
Test(checker, late_revision_breaks_p9) {
  const History history = {{At(0), DaemonStarted{"d1"}},
                           {At(1), RevisionInEffect{"d1", 1}},
                           {At(20), RevisionAccepted{2}},
                           {At(31), RevisionInEffect{"d1", 2}},
                           {At(40), RequestAdmitted{"a", "d1", 2}}};
  ExpectNone(history);
  History late = history;
  late[3].at = At(33);
  ExpectOnly(Guarantee::kP9, late);
  late.insert(late.begin() + 3, {At(25), DaemonFenced{"d1"}});
  ExpectNone(late);
  late.insert(late.begin() + 4, {At(32.5), RequestAdmitted{"b", "d1", 1}});
  ExpectOnly(Guarantee::kP9, late);
}

// Guards against reverted changes and against two changes with the same revision.
Test(checker, reverted_revision_breaks_p9) {
  const History history = {{At(0), DaemonStarted{"d1"}},
                           {At(1), RevisionAccepted{1}},
                           {At(2), RevisionInEffect{"d1", 1}}};
  ExpectNone(history);
  History reverted = history;
  reverted.push_back({At(3), RevisionInEffect{"d1", 0}});
  ExpectOnly(Guarantee::kP9, reverted);
  History twice = history;
  twice.push_back({At(3), RevisionAccepted{1}});
  ExpectOnly(Guarantee::kP9, twice);
}

// Guards against records of several observers that are not in chronological order.
Test(checker, records_of_several_observers_are_ordered) {
  History history = {{At(2), AnswerReceived{"a", 0, ""}}, {At(1), Generation("a")}};
  SortByTime(history);
  cr_assert(std::holds_alternative<RequestSent>(history[0].event));
}
