#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "protocol/identifiers.h"
#include "utils/enum_names.h"
#include "utils/time.h"

namespace fulmarpoint {

/// A response starts. `can_regenerate`: the endpoint can generate it again from the delivered
/// position, so its buffer may be dropped and its slot released.
struct StreamOpened {
  std::uint64_t stream = 0;
  OrganisationId organisation;
  bool can_regenerate = true;
};

/// Bytes arrived from the endpoint and were buffered for the caller.
struct StreamAppended {
  std::uint64_t stream = 0;
  std::size_t bytes = 0;
};

/// Bytes were written to the caller.
struct StreamDrained {
  std::uint64_t stream = 0;
  std::size_t bytes = 0;
};

/// The endpoint has sent the complete response; what is buffered remains to be delivered.
struct StreamEnded {
  std::uint64_t stream = 0;
};

struct StreamClosed {
  std::uint64_t stream = 0;
};

/// Must be raised every 100 ms.
struct BufferTimerFired {};

using CallerBuffersEvent = std::variant<StreamOpened, StreamAppended, StreamDrained, StreamEnded,
                                        StreamClosed, BufferTimerFired>;

/// Stop reading from the endpoint.
struct PauseReading {
  std::uint64_t stream = 0;
};

/// Read from the endpoint again.
struct ContinueReading {
  std::uint64_t stream = 0;
};

/// Cancel the stream at the endpoint, which frees its slot. If `drop_buffer` is set, also discard
/// the bytes that were not written to the caller.
struct ReleaseStream {
  std::uint64_t stream = 0;
  bool drop_buffer = false;
};

/// Discard the bytes that were not written to the caller; the stream has been released before.
struct DropBuffer {
  std::uint64_t stream = 0;
};

/// Request the stream again from the first position that is neither delivered nor buffered.
struct ResumeStream {
  std::uint64_t stream = 0;
};

using CallerBuffersAction =
    std::variant<PauseReading, ContinueReading, ReleaseStream, DropBuffer, ResumeStream>;

/// Sizes are in bytes.
struct CallerBuffersSettings {
  std::size_t stream_high_water = 16384;
  std::size_t stream_low_water = 4096;
  std::size_t organisation_budget = 8388608;
  std::size_t daemon_budget = 33554432;
  /// Percentages of a budget: above `pressure_percent`, buffers are dropped until `relief_percent`
  /// is reached.
  int pressure_percent = 80;
  int relief_percent = 70;
  /// A stream that has been paused for this long because its caller is slow loses its slot.
  Duration release_after = std::chrono::seconds(2);
};

/// Limits the buffer memory and the engine slots that slow callers occupy. A stream above its
/// high-water mark is no longer read. Its slot is released after a while, or at once if its caller
/// was slow before, and the stream is resumed when its buffer has been drained to the caller. Near
/// the budget of an organisation or of the daemon, the largest buffers whose content can be
/// generated again are dropped. Not thread-safe.
class CallerBuffers {
 public:
  using Actions = std::vector<CallerBuffersAction>;

  explicit CallerBuffers(CallerBuffersSettings settings = {}) : m_settings(settings) {}

  void Handle(const CallerBuffersEvent& event, TimePoint now, Actions& actions);

  /// Returns whether another stream of the organisation fits its budget and the daemon's. If not,
  /// the request is to be rejected with `kMemoryLimit`.
  bool MayOpen(const OrganisationId& organisation) const;

  std::size_t HeldBytes() const { return m_held; }
  std::size_t HeldBytes(const OrganisationId& organisation) const;
  std::size_t Streams() const { return m_streams.size(); }

 private:
  enum class State { kReading, kPaused, kReleased, kEnded };
  struct Stream {
    OrganisationId organisation;
    State state = State::kReading;
    bool can_regenerate = true;
    /// The slot was released before because the caller was slow.
    bool known_slow = false;
    std::size_t held = 0;
    TimePoint paused_at{};
  };
  struct Organisation {
    std::size_t held = 0;
    int streams = 0;
    /// Buffer size and ID of the streams whose buffers may be dropped, in ascending order of size.
    std::set<std::pair<std::size_t, std::uint64_t>> droppable;
  };

  void On(const StreamOpened& event, TimePoint now, Actions& actions);
  void On(const StreamAppended& event, TimePoint now, Actions& actions);
  void On(const StreamDrained& event, TimePoint now, Actions& actions);
  void On(const StreamEnded& event, TimePoint now, Actions& actions);
  void On(const StreamClosed& event, TimePoint now, Actions& actions);
  void On(const BufferTimerFired& event, TimePoint now, Actions& actions);

  void SetHeld(std::uint64_t id, Stream& stream, std::size_t held);
  void Pause(std::uint64_t id, Stream& stream, TimePoint now, Actions& actions);
  void Release(std::uint64_t id, Stream& stream, bool drop, Actions& actions);
  void DropUnderPressure(const OrganisationId& organisation, Actions& actions);
  std::optional<std::uint64_t> LargestDroppableOf(const Organisation& organisation) const;
  std::optional<std::uint64_t> LargestDroppable() const;
  bool Above(std::size_t held, std::size_t budget, int percent) const {
    return held * 100 > budget * static_cast<std::size_t>(percent);
  }

  CallerBuffersSettings m_settings;
  std::size_t m_held = 0;
  std::unordered_map<std::uint64_t, Stream> m_streams;
  std::unordered_map<OrganisationId, Organisation> m_organisations;
  std::set<std::uint64_t> m_paused;
};

}  // namespace fulmarpoint
