#include <criterion/criterion.h>

#include "coordination/crash_suspects.h"

using namespace fulmarpoint;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

const TimePoint kStart = TimePoint(seconds(1000));
constexpr Fingerprint kCrasher = 1;
constexpr Fingerprint kInnocent = 2;
constexpr Fingerprint kOther = 3;

/// One daemon whose notices are kept for delivery to others.
struct Daemon {
  CrashSuspects suspects;
  std::vector<CrashSuspectsAction> actions;
  std::vector<SuspectGossip> outbox;
  std::uint64_t next_run = 0;

  void Handle(const CrashSuspectsEvent& event, TimePoint now) {
    suspects.Handle(event, now, actions);
    for (const CrashSuspectsAction& action : actions) {
      if (const auto* publish = std::get_if<PublishSuspectGossip>(&action)) {
        outbox.push_back(publish->message);
      }
    }
    actions.clear();
  }
  std::uint64_t Start(Fingerprint fingerprint, const EndpointId& endpoint, TimePoint now) {
    Handle(AttemptStarted{++next_run, fingerprint, endpoint, 1}, now);
    return next_run;
  }
  /// All of `runs` lose their connection because the endpoint crashes.
  void Crash(const EndpointId& endpoint, const std::vector<std::uint64_t>& runs, TimePoint now) {
    for (std::uint64_t run : runs) Handle(AttemptEnded{run, AttemptEnd::kLost}, now);
    Handle(EndpointProcessLost{endpoint, 1}, now + milliseconds(5));
  }
  void DeliverTo(Daemon& peer, TimePoint now) {
    for (const SuspectGossip& message : outbox) peer.Handle(SuspectGossipReceived{message}, now);
    outbox.clear();
  }
  void Settle(TimePoint now) { Handle(SuspectTimerFired{}, now); }
  SuspicionState State(Fingerprint fingerprint) const { return suspects.State(fingerprint); }
  bool MayRun(Fingerprint fingerprint, const EndpointId& endpoint, TimePoint now) const {
    return suspects.MayRunAt(fingerprint, endpoint, true, Duration{}, now);
  }
};

}  // namespace

// Guards against a request that takes down one endpoint after another while it is repeated.
Test(crash_suspects, second_crash_blocks_only_the_request_that_was_there_both_times) {
  Daemon daemon;
  TimePoint now = kStart;
  const std::vector<std::uint64_t> first = {daemon.Start(kCrasher, "e1", now),
                                            daemon.Start(kInnocent, "e1", now)};
  daemon.Crash("e1", first, now);
  cr_assert_eq(daemon.State(kInnocent), SuspicionState::kIsolated);
  now += seconds(1);
  cr_assert(daemon.MayRun(kCrasher, "e2", now));
  const std::uint64_t second = daemon.Start(kCrasher, "e2", now);
  const std::uint64_t bystander = daemon.Start(kOther, "e2", now);
  cr_assert_not(daemon.MayRun(kInnocent, "e2", now), "two suspects on one endpoint");
  cr_assert(daemon.MayRun(kInnocent, "e3", now));
  daemon.Crash("e2", {second, bystander}, now);
  cr_assert_eq(daemon.State(kCrasher), SuspicionState::kHeld);
  cr_assert_not(daemon.MayRun(kCrasher, "e3", now));
  now += seconds(2);
  daemon.Settle(now);
  cr_assert_eq(daemon.State(kCrasher), SuspicionState::kQuarantined);
  cr_assert_eq(daemon.State(kInnocent), SuspicionState::kFree, "its crash is explained");
  cr_assert_eq(daemon.State(kOther), SuspicionState::kFree, "its crash is explained");
}

// Guards against a blocked fingerprint being free at a daemon that its caller turns to.
Test(crash_suspects, crashes_seen_by_different_daemons_count_together) {
  Daemon first;
  Daemon second;
  Daemon third;
  TimePoint now = kStart;
  first.Crash("e1", {first.Start(kCrasher, "e1", now)}, now);
  second.Crash("e2", {second.Start(kCrasher, "e2", now)}, now);
  first.DeliverTo(third, now);
  // Repeated and reordered notices change nothing.
  const std::vector<SuspectGossip> repeated = second.outbox;
  second.DeliverTo(third, now);
  for (const SuspectGossip& message : repeated) third.Handle(SuspectGossipReceived{message}, now);
  cr_assert_eq(third.State(kCrasher), SuspicionState::kHeld);
  third.Settle(now + seconds(2));
  cr_assert_eq(third.State(kCrasher), SuspicionState::kQuarantined);
}

// Guards against blaming one of two requests that cannot be told apart, and against letting them
// run for ever: the third run is strictly separate.
Test(crash_suspects, ambiguous_pair_is_told_apart_by_a_third_run) {
  Daemon daemon;
  TimePoint now = kStart;
  for (const char* endpoint : {"e1", "e2"}) {
    daemon.Crash(endpoint,
                 {daemon.Start(kCrasher, endpoint, now), daemon.Start(kInnocent, endpoint, now)},
                 now);
  }
  now += seconds(2);
  daemon.Settle(now);
  cr_assert_eq(daemon.State(kCrasher), SuspicionState::kIsolated);
  cr_assert_eq(daemon.State(kInnocent), SuspicionState::kIsolated);
  const std::uint64_t run = daemon.Start(kCrasher, "e3", now);
  cr_assert_not(daemon.MayRun(kInnocent, "e3", now));
  daemon.Crash("e3", {run}, now);
  daemon.Settle(now + seconds(2));
  cr_assert_eq(daemon.State(kCrasher), SuspicionState::kQuarantined);
  cr_assert_eq(daemon.State(kInnocent), SuspicionState::kFree);
}

// Guards against suspicion that lasts although the request has shown that it is harmless.
Test(crash_suspects, completed_run_clears_everywhere) {
  Daemon daemon;
  Daemon peer;
  daemon.Crash("e1", {daemon.Start(kInnocent, "e1", kStart)}, kStart);
  std::vector<SuspectGossip> early = daemon.outbox;
  daemon.DeliverTo(peer, kStart);
  const std::uint64_t run = daemon.Start(kInnocent, "e2", kStart);
  daemon.Handle(AttemptEnded{run, AttemptEnd::kCompleted}, kStart + seconds(5));
  daemon.DeliverTo(peer, kStart + seconds(5));
  for (const SuspectGossip& message : early) peer.Handle(SuspectGossipReceived{message}, kStart);
  cr_assert_eq(daemon.State(kInnocent), SuspicionState::kFree);
  cr_assert_eq(peer.State(kInnocent), SuspicionState::kFree,
               "an older notice must not bring the suspicion back");
}

// Guards against blocking requests whose connections broke while the endpoint lived, for example
// in a partition.
Test(crash_suspects, lost_connections_without_a_crash_never_block) {
  Daemon daemon;
  TimePoint now = kStart;
  for (const char* endpoint : {"e1", "e2", "e3", "e4"}) {
    const std::uint64_t run = daemon.Start(kInnocent, endpoint, now);
    daemon.Handle(AttemptEnded{run, AttemptEnd::kLost}, now);
    now += seconds(3);
    daemon.Settle(now);
  }
  cr_assert_eq(daemon.State(kInnocent), SuspicionState::kIsolated);
  for (const char* endpoint : {"e1", "e2", "e3", "e4"}) {
    daemon.Handle(EndpointProcessAlive{endpoint, 1}, now);
  }
  cr_assert_eq(daemon.State(kInnocent), SuspicionState::kFree);
}

// Guards against two daemons that test one suspect each on the same endpoint.
Test(crash_suspects, placement_by_a_peer_excludes_the_endpoint) {
  Daemon first;
  Daemon second;
  first.Crash("e1", {first.Start(kCrasher, "e1", kStart)}, kStart);
  second.Crash("e1", {second.Start(kInnocent, "e1", kStart)}, kStart);
  const std::uint64_t run = first.Start(kCrasher, "e2", kStart);
  first.DeliverTo(second, kStart);
  cr_assert_not(second.MayRun(kInnocent, "e2", kStart));
  cr_assert_not(second.MayRun(kCrasher, "e3", kStart), "the same request runs at a peer");
  cr_assert_not(second.suspects.MayRunAt(kInnocent, "e3", false, Duration{}, kStart));
  cr_assert(second.suspects.MayRunAt(kInnocent, "e3", false, seconds(1), kStart));
  first.Handle(AttemptEnded{run, AttemptEnd::kCancelled}, kStart);
  first.DeliverTo(second, kStart);
  cr_assert(second.MayRun(kInnocent, "e2", kStart));
}

// Guards against a daemon that missed the notices while it was partitioned.
Test(crash_suspects, returned_peer_learns_blocked_fingerprints) {
  Daemon daemon;
  Daemon returned;
  for (const char* endpoint : {"e1", "e2"}) {
    daemon.Crash(endpoint, {daemon.Start(kCrasher, endpoint, kStart)}, kStart);
  }
  daemon.Settle(kStart + seconds(2));
  daemon.outbox.clear();
  daemon.Handle(SuspectPeerReturned{}, kStart + seconds(3));
  daemon.DeliverTo(returned, kStart + seconds(3));
  cr_assert_eq(returned.State(kCrasher), SuspicionState::kQuarantined);
}

// Guards against memory that grows with the number of crashes.
Test(crash_suspects, table_is_bounded_and_forgets) {
  Daemon daemon;
  for (int crash = 0; crash < 100; ++crash) {
    const EndpointId endpoint = "e" + std::to_string(crash);
    std::vector<std::uint64_t> runs;
    for (int run = 0; run < 64; ++run) {
      runs.push_back(
          daemon.Start(static_cast<Fingerprint>(crash * 64 + run + 10), endpoint, kStart));
    }
    daemon.Crash(endpoint, runs, kStart);
  }
  daemon.Settle(kStart + seconds(1));
  cr_assert_leq(daemon.suspects.Size(), 4096u);
  for (const SuspectGossip& message : daemon.outbox) {
    const std::string body = EncodeSuspectGossip(message);
    cr_assert_leq(body.size(), kMaxSuspectGossipBytes, "a notice fits a gossip update");
    const Parsed<SuspectGossip> decoded = DecodeSuspectGossip(body);
    cr_assert(decoded.Ok() && decoded.Value().updates.size() == message.updates.size());
    cr_assert_not(DecodeSuspectGossip(body.substr(0, body.size() - 1)).Ok());
  }
  daemon.Settle(kStart + minutes(11));
  cr_assert_eq(daemon.suspects.Size(), 0u);
}

// Guards against a suspect that runs again in the moment between the settling time and the
// decision. Found by fulmarpoint-measure crash_suspects, seed 1: 3 endpoints lost instead of 2.
Test(crash_suspects, held_until_the_decision_is_made) {
  Daemon daemon;
  for (const char* endpoint : {"e1", "e2"}) {
    daemon.Crash(endpoint, {daemon.Start(kCrasher, endpoint, kStart)}, kStart);
  }
  cr_assert_not(daemon.MayRun(kCrasher, "e3", kStart + milliseconds(1500)));
  daemon.Settle(kStart + milliseconds(1600));
  cr_assert_eq(daemon.State(kCrasher), SuspicionState::kQuarantined);
}

// Guards against a crashing request that is free because its crashes were blamed on another, before
// its own notices had arrived. Found by fulmarpoint-measure crash_suspects, seed 1, slow gossip: 20
// endpoints lost.
Test(crash_suspects, third_crash_corrects_an_earlier_decision) {
  Daemon first;
  Daemon second;
  for (const char* endpoint : {"e1", "e2"}) {
    first.Crash(endpoint, {first.Start(kInnocent, endpoint, kStart)}, kStart);
    second.Crash(endpoint, {second.Start(kCrasher, endpoint, kStart)}, kStart);
  }
  first.outbox.clear();
  first.Settle(kStart + seconds(2));
  cr_assert_eq(first.State(kInnocent), SuspicionState::kQuarantined);
  first.DeliverTo(second, kStart + seconds(2));
  const TimePoint later = kStart + seconds(3);
  cr_assert_eq(second.State(kCrasher), SuspicionState::kFree);
  second.Crash("e3", {second.Start(kCrasher, "e3", later)}, later);
  cr_assert_eq(second.State(kCrasher), SuspicionState::kQuarantined);
  cr_assert_eq(second.State(kInnocent), SuspicionState::kFree, "the other explains its crashes");
  second.DeliverTo(first, later);
  cr_assert_eq(first.State(kCrasher), SuspicionState::kQuarantined);
  cr_assert_eq(first.State(kInnocent), SuspicionState::kFree);
}

// Guards against a request whose crash is known only to a daemon on the other side of a partition.
Test(crash_suspects, event_id_of_the_caller_connects_crash_and_request) {
  Daemon daemon;
  daemon.Handle(PriorAttemptReported{kCrasher, "e1", 1}, kStart);
  daemon.Handle(PriorAttemptReported{kInnocent, "e9", 1}, kStart);
  cr_assert_eq(daemon.State(kCrasher), SuspicionState::kIsolated);
  daemon.Handle(EndpointProcessLost{"e1", 1}, kStart);
  daemon.Handle(EndpointProcessAlive{"e9", 1}, kStart);
  cr_assert_eq(daemon.State(kInnocent), SuspicionState::kFree, "its endpoint did not crash");
  daemon.Crash("e2", {daemon.Start(kCrasher, "e2", kStart)}, kStart);
  daemon.Settle(kStart + seconds(2));
  cr_assert_eq(daemon.State(kCrasher), SuspicionState::kQuarantined);
}

// Guards against losing the connection if the event id does not name the incarnation, whether the
// crash was seen before the caller came back or after.
Test(crash_suspects, claim_without_incarnation_means_the_latest_crash) {
  Daemon daemon;
  daemon.Handle(EndpointProcessLost{"e1", 1}, kStart);
  daemon.Handle(PriorAttemptReported{kCrasher, "e1", 0}, kStart + seconds(1));
  cr_assert_eq(daemon.State(kCrasher), SuspicionState::kIsolated);
  daemon.Handle(PriorAttemptReported{kInnocent, "e2", 0}, kStart);
  cr_assert_eq(daemon.State(kInnocent), SuspicionState::kFree, "its endpoint lives");
  daemon.Handle(EndpointProcessLost{"e2", 1}, kStart + seconds(1));
  cr_assert_eq(daemon.State(kInnocent), SuspicionState::kIsolated);
  daemon.Handle(PriorAttemptReported{kOther, "e3", 0}, kStart);
  daemon.Handle(EndpointProcessLost{"e3", 1}, kStart + seconds(6));
  cr_assert_eq(daemon.State(kOther), SuspicionState::kFree, "a later crash is not its own");
}
