#include <criterion/criterion.h>

#include "coordination/drain.h"

using namespace fulmarpoint;

namespace {

const TimePoint kStart{std::chrono::hours(1)};

/// Applies an event and returns whether an action of the given type resulted.
template <typename Action>
bool Causes(Drain& drain, const Drain::Event& event, TimePoint now) {
  std::vector<Drain::Action> actions;
  drain.Handle(event, now, actions);
  for (const Drain::Action& action : actions) {
    if (std::holds_alternative<Action>(action)) return true;
  }
  return false;
}

}  // namespace

// Guards against a daemon that refuses work while callers still hold lookup answers that name it.
Test(drain, serves_until_lookup_answers_have_expired) {
  Drain drain({});
  cr_assert(Causes<Drain::LeaveLookups>(drain, Drain::StopRequested{}, kStart));
  cr_assert_not(Causes<Drain::LeaveLookups>(drain, Drain::StopRequested{}, kStart));
  cr_assert_not(Causes<Drain::Exit>(drain, Drain::RequestsLeft{0}, kStart));
  const TimePoint early = kStart + std::chrono::milliseconds(11'999);
  cr_assert_not(Causes<Drain::RejectNewWork>(drain, Drain::TimerFired{}, early));
  const TimePoint expired = kStart + std::chrono::seconds(12);
  cr_assert(Causes<Drain::RejectNewWork>(drain, Drain::TimerFired{}, expired));
  cr_assert_eq(drain.Phase(), DrainPhase::kDone);
}

// Guards against an exit that interrupts a request (P8).
Test(drain, waits_for_requests_and_hands_off_after_the_limit) {
  Drain drain({});
  Causes<Drain::Exit>(drain, Drain::StopRequested{}, kStart);
  Causes<Drain::Exit>(drain, Drain::RequestsLeft{2}, kStart);
  const TimePoint finishing = kStart + std::chrono::seconds(12);
  cr_assert_not(Causes<Drain::Exit>(drain, Drain::TimerFired{}, finishing));
  const TimePoint limit = finishing + std::chrono::seconds(60);
  cr_assert(Causes<Drain::HandOffStreams>(drain, Drain::TimerFired{}, limit));
  cr_assert_not(Causes<Drain::Exit>(drain, Drain::RequestsLeft{1}, limit + std::chrono::hours(1)));
  cr_assert(Causes<Drain::Exit>(drain, Drain::RequestsLeft{0}, limit + std::chrono::hours(1)));
  cr_assert_not(Causes<Drain::Exit>(drain, Drain::RequestsLeft{0}, limit + std::chrono::hours(1)));
}
