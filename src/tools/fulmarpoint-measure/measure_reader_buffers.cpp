#include "measure_reader_buffers.h"

#include <algorithm>
#include <deque>
#include <nlohmann/json.hpp>
#include <vector>

#include "coordination/caller_buffers.h"
#include "measure.h"

namespace fulmarpoint {

namespace {

using nlohmann::json;

constexpr Duration kStepTime = std::chrono::milliseconds(100);
constexpr int kStepCount = 1800;
// One token in 27 ms, with 100 bytes for its event.
constexpr std::size_t kGeneratedBytesPerStep = 370;
// A generation takes one minute.
constexpr std::size_t kGenerationBytes = 600 * kGeneratedBytesPerStep;
constexpr std::size_t kSlots = 1600;
constexpr int kFastCallers = 400;
constexpr int kSlowCallers = 100;
// A slow caller reads at a tenth of the speed of the generation.
constexpr std::size_t kSlowBytesPerStep = kGeneratedBytesPerStep / 10;

enum class Speed { kStalled, kSlow, kFast };

struct Caller {
  Speed speed = Speed::kFast;
  std::uint64_t stream = 0;
  bool has_slot = false;
  bool waits_for_slot = true;
  bool reading = true;
  std::size_t delivered = 0;
  std::size_t buffered = 0;
};

class Simulation {
 public:
  Simulation(int stalled, bool bounded) : m_bounded(bounded) {
    for (int index = 0; index < stalled; ++index) Add(Speed::kStalled);
    for (int index = 0; index < kSlowCallers; ++index) Add(Speed::kSlow);
    for (int index = 0; index < kFastCallers; ++index) Add(Speed::kFast);
  }

  json Run() {
    for (int step = 0; step < kStepCount; ++step) {
      m_now += kStepTime;
      for (Caller& caller : m_callers) Advance(caller);
      if (m_bounded) Handle(BufferTimerFired{});
      RecordStatistics();
    }
    return {{"mode", m_bounded ? "reader buffers" : "baseline: unbounded buffers"},
            {"stalled", static_cast<int>(m_callers.size()) - kSlowCallers - kFastCallers},
            {"slots", kSlots},
            {"most_bytes_held", m_max_buffered},
            {"bytes_held_at_the_end", m_last_buffered},
            {"most_slots_of_stalled_callers", m_max_stalled_slots},
            {"mean_slots_of_stalled_callers", m_stalled_slot_steps / kStepCount},
            {"slots_of_stalled_callers_at_59_s", m_stalled_slots_at_59_s},
            {"fast_answers", m_fast_answers},
            {"fast_bytes_delivered", m_fast_bytes},
            {"slow_bytes_delivered", m_slow_bytes},
            {"bytes_produced", m_generated},
            {"bytes_dropped", m_dropped},
            {"resumes", m_resumes}};
  }

 private:
  void Add(Speed speed) {
    Caller caller;
    caller.speed = speed;
    caller.stream = m_callers.size();
    m_callers.push_back(caller);
    Open(m_callers.back());
  }

  void Open(Caller& caller) {
    caller.delivered = caller.buffered = 0;
    caller.waits_for_slot = caller.reading = true;
    const OrganisationId organisation = "org-" + std::to_string(caller.stream % 10);
    if (m_bounded) Handle(StreamOpened{caller.stream, organisation, true});
  }

  void Advance(Caller& caller) {
    if (caller.waits_for_slot && m_slots_in_use < kSlots) {
      caller.waits_for_slot = false;
      caller.has_slot = true;
      ++m_slots_in_use;
    }
    if (caller.has_slot && caller.reading) Generate(caller);
    Deliver(caller);
    if (caller.delivered >= kGenerationBytes) {
      if (caller.speed == Speed::kFast) ++m_fast_answers;
      if (m_bounded) Handle(StreamClosed{caller.stream});
      Open(caller);
    }
  }

  void Generate(Caller& caller) {
    const std::size_t left = kGenerationBytes - caller.delivered - caller.buffered;
    const std::size_t bytes = std::min(kGeneratedBytesPerStep, left);
    m_generated += bytes;
    caller.buffered += bytes;
    if (m_bounded && bytes > 0) Handle(StreamAppended{caller.stream, bytes});
    if (caller.delivered + caller.buffered < kGenerationBytes) return;
    FreeSlot(caller);
    if (m_bounded) Handle(StreamEnded{caller.stream});
  }

  void Deliver(Caller& caller) {
    if (caller.speed == Speed::kStalled) return;
    const std::size_t limit = caller.speed == Speed::kFast ? kGenerationBytes : kSlowBytesPerStep;
    const std::size_t bytes = std::min(limit, caller.buffered);
    caller.buffered -= bytes;
    caller.delivered += bytes;
    (caller.speed == Speed::kFast ? m_fast_bytes : m_slow_bytes) += bytes;
    if (m_bounded) Handle(StreamDrained{caller.stream, bytes});
  }

  void FreeSlot(Caller& caller) {
    if (caller.has_slot) --m_slots_in_use;
    caller.has_slot = false;
  }

  void Drop(Caller& caller) {
    m_dropped += caller.buffered;
    caller.buffered = 0;
  }

  void Handle(const CallerBuffersEvent& event) {
    std::vector<CallerBuffersAction> actions;
    m_buffers.Handle(event, m_now, actions);
    for (const CallerBuffersAction& action : actions) {
      if (const auto* pause = std::get_if<PauseReading>(&action)) {
        m_callers[pause->stream].reading = false;
      } else if (const auto* more = std::get_if<ContinueReading>(&action)) {
        m_callers[more->stream].reading = true;
      } else if (const auto* release = std::get_if<ReleaseStream>(&action)) {
        FreeSlot(m_callers[release->stream]);
        if (release->drop_buffer) Drop(m_callers[release->stream]);
      } else if (const auto* drop = std::get_if<DropBuffer>(&action)) {
        Drop(m_callers[drop->stream]);
      } else {
        Caller& caller = m_callers[std::get<ResumeStream>(action).stream];
        caller.waits_for_slot = caller.reading = true;
        ++m_resumes;
      }
    }
  }

  void RecordStatistics() {
    m_last_buffered = 0;
    std::size_t stalled_slots = 0;
    for (const Caller& caller : m_callers) {
      m_last_buffered += caller.buffered;
      if (caller.speed == Speed::kStalled && caller.has_slot) ++stalled_slots;
    }
    m_max_buffered = std::max(m_max_buffered, m_last_buffered);
    m_max_stalled_slots = std::max(m_max_stalled_slots, stalled_slots);
    m_stalled_slot_steps += static_cast<double>(stalled_slots);
    if (m_now == TimePoint(std::chrono::seconds(59))) m_stalled_slots_at_59_s = stalled_slots;
  }

  bool m_bounded;
  CallerBuffers m_buffers;
  TimePoint m_now{};
  std::deque<Caller> m_callers;
  std::size_t m_slots_in_use = 0;
  std::size_t m_max_buffered = 0;
  std::size_t m_last_buffered = 0;
  std::size_t m_max_stalled_slots = 0;
  std::size_t m_stalled_slots_at_59_s = 0;
  double m_stalled_slot_steps = 0.0;
  std::size_t m_fast_bytes = 0;
  std::size_t m_slow_bytes = 0;
  std::size_t m_generated = 0;
  std::size_t m_dropped = 0;
  int m_fast_answers = 0;
  int m_resumes = 0;
};

}  // namespace

nlohmann::json MeasureReaderBuffers(const MeasureOptions& options) {
  const std::vector<int> sizes =
      options.sizes.empty() ? std::vector<int>{0, 1000, 5000} : options.sizes;
  json rows = json::array();
  for (int stalled : sizes) {
    for (bool bounded : {false, true}) rows.push_back(Simulation(stalled, bounded).Run());
  }
  return {{"measurement", "reader_buffers"}, {"seconds", kStepCount / 10}, {"rows", rows}};
}

}  // namespace fulmarpoint
