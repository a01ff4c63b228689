#include <criterion/criterion.h>

#include <map>

#include "coordination/caller_buffers.h"
#include "utils/random.h"

using namespace fulmarpoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint kStart = TimePoint(seconds(1000));

CallerBuffersSettings Settings() {
  CallerBuffersSettings settings;
  settings.stream_high_water = 1000;
  settings.stream_low_water = 200;
  settings.organisation_budget = 20000;
  settings.daemon_budget = 50000;
  return settings;
}

struct Fixture {
  CallerBuffers buffers{Settings()};
  TimePoint now = kStart;
  std::map<std::uint64_t, int> paused, continued, released, dropped, resumed;

  void Handle(const CallerBuffersEvent& event) {
    std::vector<CallerBuffersAction> actions;
    buffers.Handle(event, now, actions);
    for (const CallerBuffersAction& action : actions) {
      if (const auto* pause = std::get_if<PauseReading>(&action)) ++paused[pause->stream];
      if (const auto* more = std::get_if<ContinueReading>(&action)) ++continued[more->stream];
      if (const auto* resume = std::get_if<ResumeStream>(&action)) ++resumed[resume->stream];
      if (const auto* drop = std::get_if<DropBuffer>(&action)) ++dropped[drop->stream];
      if (const auto* release = std::get_if<ReleaseStream>(&action)) {
        ++released[release->stream];
        if (release->drop_buffer) ++dropped[release->stream];
      }
    }
  }
  void Open(std::uint64_t stream, const OrganisationId& organisation = "acme", bool again = true) {
    Handle(StreamOpened{stream, organisation, again});
  }
  void Append(std::uint64_t stream, std::size_t bytes) { Handle(StreamAppended{stream, bytes}); }
  void Drain(std::uint64_t stream, std::size_t bytes) { Handle(StreamDrained{stream, bytes}); }
  void Advance(Duration duration) {
    now += duration;
    Handle(BufferTimerFired{});
  }
};

}  // namespace

// Guards against a short stall of a caller that costs a new attempt at the engine.
Test(reader_buffers, short_stall_only_pauses_reading) {
  Fixture fixture;
  fixture.Open(1);
  fixture.Append(1, 1000);
  cr_assert_eq(fixture.paused[1], 1);
  fixture.Advance(milliseconds(1900));
  fixture.Drain(1, 799);
  cr_assert_eq(fixture.continued[1], 0);
  fixture.Drain(1, 1);
  cr_assert_eq(fixture.continued[1], 1);
  fixture.Advance(seconds(10));
  cr_assert_eq(fixture.released[1], 0);
}

// Guards against a stalled caller that holds a slot, and against resuming before it has caught up.
Test(reader_buffers, stalled_caller_loses_the_slot_and_resumes_when_drained) {
  Fixture fixture;
  fixture.Open(1);
  fixture.Append(1, 1200);
  fixture.Advance(seconds(2));
  cr_assert_eq(fixture.released[1], 1);
  cr_assert_eq(fixture.dropped[1], 0, "no memory pressure, so nothing is made twice");
  fixture.Append(1, 100);
  cr_assert_eq(fixture.buffers.HeldBytes(), 1200u, "late bytes of the cancelled stream");
  fixture.Drain(1, 1199);
  cr_assert_eq(fixture.resumed[1], 0);
  fixture.Drain(1, 1);
  cr_assert_eq(fixture.resumed[1], 1);
  // Known to be slow, it does not hold the slot for another 2 s.
  fixture.Append(1, 1000);
  cr_assert_eq(fixture.released[1], 2);
}

// Guards against memory that grows with the number of stalled callers.
Test(reader_buffers, a_thousand_stalled_callers_stay_within_the_budget) {
  Fixture fixture;
  for (std::uint64_t stream = 0; stream < 1000; ++stream) {
    fixture.Open(stream, "org-" + std::to_string(stream % 10));
  }
  for (int round = 0; round < 20; ++round) {
    for (std::uint64_t stream = 0; stream < 1000; ++stream) {
      fixture.Append(stream, 100);
      cr_assert_leq(fixture.buffers.HeldBytes(), 50000u);
    }
    fixture.Advance(milliseconds(500));
  }
  for (std::uint64_t stream = 0; stream < 1000; ++stream) {
    cr_assert_eq(fixture.released[stream], 1, "stream %lu holds a slot", stream);
  }
}

// Guards against one organisation's slow callers that take the memory of the others.
Test(reader_buffers, organisation_over_its_budget_gives_way_alone) {
  Fixture fixture;
  for (std::uint64_t stream = 0; stream < 30; ++stream) fixture.Open(stream, "slow");
  for (std::uint64_t stream = 100; stream < 110; ++stream) fixture.Open(stream, "other");
  for (std::uint64_t stream = 100; stream < 110; ++stream) fixture.Append(stream, 900);
  for (std::uint64_t stream = 0; stream < 30; ++stream) fixture.Append(stream, 900);
  cr_assert_leq(fixture.buffers.HeldBytes("slow"), 20000u);
  for (std::uint64_t stream = 100; stream < 110; ++stream) {
    cr_assert_eq(fixture.dropped[stream], 0);
  }
  cr_assert(fixture.buffers.MayOpen("other"));
}

// Guards against dropping what only the caller's answer contains.
Test(reader_buffers, answers_that_cannot_be_made_again_are_never_dropped) {
  Fixture fixture;
  for (std::uint64_t stream = 0; stream < 50; ++stream) fixture.Open(stream, "calls", false);
  for (std::uint64_t stream = 0; stream < 50; ++stream) fixture.Append(stream, 1000);
  fixture.Advance(seconds(10));
  for (std::uint64_t stream = 0; stream < 50; ++stream) {
    cr_assert_eq(fixture.paused[stream], 1);
    cr_assert_eq(fixture.released[stream] + fixture.dropped[stream], 0);
  }
  cr_assert_not(fixture.buffers.MayOpen("calls"), "new requests are refused instead");
}

// Guards against a dropped stream that is never resumed, or is resumed while the caller stalls.
Test(reader_buffers, dropped_stream_resumes_when_the_caller_takes_bytes_again) {
  Fixture fixture;
  for (std::uint64_t stream = 0; stream < 60; ++stream) {
    fixture.Open(stream, "org-" + std::to_string(stream));
    fixture.Append(stream, 900);
  }
  cr_assert_gt(fixture.dropped.size(), 0u);
  const std::uint64_t stream = fixture.dropped.begin()->first;
  fixture.Advance(seconds(10));
  cr_assert_eq(fixture.resumed[stream], 0);
  fixture.Drain(stream, 100);
  cr_assert_eq(fixture.resumed[stream], 1);
}

// Guards against accounts that drift from the sum of the streams. Random operations; the accounts
// must be empty when all streams are closed.
Test(reader_buffers, accounts_are_exact_under_random_operations) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Random random(seed);
    Fixture fixture;
    const auto draw = [&random](int limit) { return static_cast<int>(random() % limit); };
    for (int step = 0; step < 5000; ++step) {
      const std::uint64_t stream = draw(100);
      const std::size_t bytes = draw(500);
      switch (draw(8)) {
        case 0:
          fixture.Open(stream, "org-" + std::to_string(stream % 7), stream % 5 != 0);
          break;
        case 1:
          fixture.Handle(StreamClosed{stream});
          break;
        case 2:
          fixture.Drain(stream, bytes);
          break;
        case 3:
          fixture.Handle(StreamEnded{stream});
          break;
        case 4:
          fixture.Advance(milliseconds(bytes));
          break;
        default:
          fixture.Append(stream, bytes);
      }
    }
    for (std::uint64_t stream = 0; stream < 100; ++stream) fixture.Handle(StreamClosed{stream});
    cr_assert_eq(fixture.buffers.HeldBytes(), 0u, "seed %lu", seed);
    cr_assert_eq(fixture.buffers.Streams(), 0u, "seed %lu", seed);
  }
}
