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

/// A response starts. `can_regenerate`: the endpoint can produce it again from the delivered
/// position, so that its buffer may be dropped and its slot released.
struct StreamOpened {
  std::uint64_t stream = 0;
  OrganisationId organisation;
  bool can_regenerate = true;
};

/// Bytes arrived from the endpoint and wait for the caller.
struct StreamAppended {
  std::uint64_t stream = 0;
  std::size_t bytes = 0;
};

/// The caller took bytes.
struct StreamDrained {
  std::uint64_t stream = 0;
  std::size_t bytes = 0;
};

/// The endpoint has sent everything; the rest of the buffer is only to be delivered.
struct StreamEnded {
  std::uint64_t stream = 0;
};

struct StreamClosed {
  std::uint64_t stream = 0;
};

/// Raise every 100 ms.
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

/// Cancel the stream at the endpoint, which frees its slot. If `drop_buffer` is set, also forget
/// the bytes that the caller has not taken.
struct ReleaseStream {
  std::uint64_t stream = 0;
  bool drop_buffer = false;
};

/// Forget the bytes that the caller has not taken; the stream was released before.
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
  /// Percentage of a budget from which buffers are dropped, and down to which.
  int pressure_percent = 80;
  int relief_percent = 70;
  /// A stream whose caller has not caught up after this long loses its slot.
  Duration release_after = std::chrono::seconds(2);
};

/// Bounds the memory and the slots that slow callers take. A stream above its high-water mark is
/// not read any more; after a while, or at once if its caller was slow before, its slot is
/// released, and it is resumed when the caller has drained its buffer. Near the budget of an
/// organisation or of the daemon, the largest buffers that can be made again are dropped. Not
/// thread-safe.
class CallerBuffers {
 public:
  using Actions = std::vector<CallerBuffersAction>;

  explicit CallerBuffers(CallerBuffersSettings settings = {}) : m_settings(settings) {}

  void Handle(const CallerBuffersEvent& event, TimePoint now, Actions& actions);

  /// Whether a further stream of the organisation fits its budget and the daemon's. If not, the
  /// request is refused with `kMemoryLimit`.
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
    /// The caller was so slow before that the slot was released.
    bool known_slow = false;
    std::size_t held = 0;
    TimePoint paused_at{};
  };
  struct Organisation {
    std::size_t held = 0;
    int streams = 0;
    /// Streams with droppable bytes, largest last.
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
  void Relieve(const OrganisationId& organisation, Actions& actions);
  std::optional<std::uint64_t> LargestOf(const Organisation& organisation) const;
  std::optional<std::uint64_t> Largest() const;
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
