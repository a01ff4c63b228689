#include <criterion/criterion.h>

#include <cstdint>
#include <optional>
#include <vector>

#include "coordination/lease.h"
#include "coordination/rollout_participant.h"
#include "protocol/store_messages.h"

using namespace fulmarpoint;

namespace {

const RolloutRequest kRollout{"move-1", "v1", "v2", 0};

template <typename Wanted, typename Actions>
std::optional<Wanted> LastOfType(const Actions& actions) {
  std::optional<Wanted> last;
  for (const auto& action : actions) {
    if (const Wanted* wanted = std::get_if<Wanted>(&action)) last = *wanted;
  }
  return last;
}

/// A candidate for a lease whose row does not exist yet.
struct Candidate {
  std::vector<Lease::Action> Handle(const Lease::Event& event) {
    std::vector<Lease::Action> actions;
    lease.Handle(event, now, actions);
    return actions;
  }

  /// Reads the missing row in `epoch` and returns the write that is to acquire the lease.
  Lease::WriteRow StartAcquiring(std::uint64_t epoch) {
    Handle(Lease::CandidateChanged{true});
    Handle(Lease::Start{});
    const std::optional<Lease::ReadRow> read =
        LastOfType<Lease::ReadRow>(Handle(Lease::TimerFired{}));
    cr_assert(read.has_value());
    const std::optional<Lease::WriteRow> write =
        LastOfType<Lease::WriteRow>(Handle(Lease::RowRead{read->token, true, std::nullopt, epoch}));
    cr_assert(write.has_value());
    return *write;
  }

  /// Acquires the lease with a write that the store puts at `position`; returns the fencing token.
  std::uint64_t Acquire(StorePosition position) {
    const Lease::WriteRow write = StartAcquiring(position.epoch);
    const std::optional<Lease::Acquired> acquired = LastOfType<Lease::Acquired>(Handle(
        Lease::WriteDone{write.token, TableOutcome::kDone, position.version, position.epoch}));
    cr_assert(acquired.has_value());
    cr_assert_eq(acquired->fencing_token, lease.FencingToken());
    return acquired->fencing_token;
  }

  /// Reads `row` until its lease has ended, and acquires the lease with the next row version;
  /// returns the fencing token.
  std::uint64_t TakeOver(const TableRow& row, std::uint64_t epoch) {
    Handle(Lease::CandidateChanged{true});
    Handle(Lease::Start{});
    const TimePoint limit = now + std::chrono::minutes(1);
    for (; now < limit; now += std::chrono::milliseconds(100)) {
      const std::optional<Lease::ReadRow> read =
          LastOfType<Lease::ReadRow>(Handle(Lease::TimerFired{}));
      if (!read) continue;
      const std::optional<Lease::WriteRow> write =
          LastOfType<Lease::WriteRow>(Handle(Lease::RowRead{read->token, true, row, epoch}));
      if (!write) continue;
      Handle(Lease::WriteDone{write->token, TableOutcome::kDone, row.version + 1, epoch});
      return lease.FencingToken();
    }
    cr_assert(false, "the lease was never acquired");
    return 0;
  }

  /// Waits until the next renewal is due and returns its actions.
  std::vector<Lease::Action> WaitForRenewal() {
    now += Lease::Options().renew_interval;
    return Handle(Lease::TimerFired{});
  }

  Lease lease{"rollout/move-1", {"daemon", 1}, Lease::Options(), 1};
  TimePoint now{std::chrono::seconds(1)};
};

/// Lets `participant` report, and answers as the controller with the fencing token `token`.
void Direct(RolloutParticipant& participant, std::uint64_t token, RolloutPhase phase,
            TimePoint now) {
  std::vector<RolloutParticipant::Action> actions;
  participant.Handle(RolloutParticipant::Tick{}, now, actions);
  const std::optional<RolloutParticipant::SendReport> sent =
      LastOfType<RolloutParticipant::SendReport>(actions);
  cr_assert(sent.has_value());
  RolloutDirective directive;
  directive.rollout = kRollout.id;
  directive.sequence = sent->report.sequence;
  directive.controller_token = token;
  directive.phase = phase;
  participant.Handle(RolloutParticipant::DirectiveReceived{directive}, now, actions);
}

}  // namespace

// The table service of the product has no epochs.
Test(lease, without_epochs_the_token_is_the_row_version) {
  cr_assert_eq(Candidate().Acquire({0, 500}), 500u);
}

Test(lease, tokens_are_ordered_by_version_within_an_epoch) {
  cr_assert_lt(Candidate().Acquire({3, 20}), Candidate().Acquire({3, 500}));
}

// Guards against daemons that ignore the controller that is elected after the store was restored
// from a copy, so that a bad version is not rolled back.
Test(lease, a_holder_after_a_restore_is_obeyed) {
  const std::uint64_t before = Candidate().Acquire({1, 500});
  const std::uint64_t after = Candidate().Acquire({2, 20});
  RolloutParticipant participant({"daemon", 1}, "orders", kRollout);
  const TimePoint now{std::chrono::seconds(10)};
  Direct(participant, before, RolloutPhase::kCanary, now);
  Direct(participant, after, RolloutPhase::kRolledBack, now + RolloutParticipant::kReportInterval);
  cr_assert(participant.KnownBad(), "token %llu after %llu", static_cast<unsigned long long>(after),
            static_cast<unsigned long long>(before));
}

// Guards against a holder that believes that its renewal proves that nobody else has acquired the
// lease, although the condition of the renewal fits again by chance.
Test(lease, a_renewal_in_a_later_epoch_proves_nothing) {
  Candidate holder;
  holder.Acquire({1, 500});
  const std::optional<Lease::WriteRow> renewal =
      LastOfType<Lease::WriteRow>(holder.WaitForRenewal());
  cr_assert(renewal.has_value());
  const std::vector<Lease::Action> actions =
      holder.Handle(Lease::WriteDone{renewal->token, TableOutcome::kDone, 501, 2});
  cr_assert(LastOfType<Lease::Lost>(actions).has_value());
  cr_assert_not(holder.lease.MaySend(holder.now));
}

Test(lease, a_write_with_a_condition_of_an_earlier_epoch_acquires_nothing) {
  Candidate candidate;
  const Lease::WriteRow write = candidate.StartAcquiring(1);
  const std::vector<Lease::Action> actions =
      candidate.Handle(Lease::WriteDone{write.token, TableOutcome::kDone, 2, 2});
  cr_assert_not(LastOfType<Lease::Acquired>(actions).has_value());
  cr_assert(LastOfType<Lease::ReadRow>(candidate.Handle(Lease::TimerFired{})).has_value());
}

Test(lease, a_holder_stops_once_a_later_epoch_is_known) {
  Candidate holder;
  holder.Acquire({1, 500});
  cr_assert_not(LastOfType<Lease::Lost>(holder.Handle(Lease::EpochSeen{1})).has_value());
  cr_assert(LastOfType<Lease::Lost>(holder.Handle(Lease::EpochSeen{2})).has_value());
  const std::vector<Lease::Action> actions = holder.WaitForRenewal();
  cr_assert_not(LastOfType<Lease::WriteRow>(actions).has_value(), "the condition is outdated");
  cr_assert(LastOfType<Lease::ReadRow>(actions).has_value());
}

// Guards against two holders that act at the same time: one was paused just before its send, after
// all of its checks but the last, and has handled no event since.
Test(lease, a_holder_that_was_paused_before_its_send_may_not_send) {
  Candidate holder;
  const std::uint64_t token = holder.Acquire({1, 500});
  cr_assert(holder.lease.MaySend(holder.now));
  Candidate successor;
  const std::uint64_t later_token = successor.TakeOver({"rollout/move-1", 500, "daemon/1 1"}, 1);
  cr_assert(successor.lease.MaySend(successor.now));
  cr_assert(holder.lease.IsHeld(), "it has not noticed the pause");
  cr_assert_not(holder.lease.MaySend(successor.now));
  cr_assert_gt(later_token, token, "a late call of the paused holder is refused");
}

// Guards against a renewal that was answered before a pause and is handled after it, as if the
// lease began with its answer.
Test(lease, an_answer_that_is_handled_after_a_pause_does_not_permit_a_send) {
  Candidate holder;
  holder.Acquire({1, 500});
  const std::optional<Lease::WriteRow> renewal =
      LastOfType<Lease::WriteRow>(holder.WaitForRenewal());
  cr_assert(renewal.has_value());
  holder.now += Lease::Options().lease_time;
  holder.Handle(Lease::WriteDone{renewal->token, TableOutcome::kDone, 501, 1});
  cr_assert_not(holder.lease.MaySend(holder.now));
}
