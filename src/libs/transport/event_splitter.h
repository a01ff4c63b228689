#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace fulmarpoint {

/// One server-sent event as received, up to and including the empty line that ends it.
struct RawEvent {
  std::string bytes;
  /// Empty if the event has no numeric id.
  std::optional<std::uint64_t> id;
};

/// Splits a stream of server-sent events without changing a byte, so that complete events can be
/// forwarded and an incomplete one dropped. See `EventParser` for decoding the fields. Not
/// thread-safe.
class EventSplitter {
 public:
  /// Adds received bytes; returns false if an event exceeds 256 KiB.
  bool Append(std::string_view bytes);
  bool HasEvent() const { return !m_events.empty(); }
  /// Removes and returns the oldest complete event. Precondition: `HasEvent()`.
  RawEvent Take();
  /// Returns whether bytes of an incomplete event have been received.
  bool HasPartial() const { return !m_current.bytes.empty(); }

 private:
  void OnLine(std::string_view line);

  RawEvent m_current;
  /// Offset of the current line in `m_current.bytes`.
  std::size_t m_line_start = 0;
  std::deque<RawEvent> m_events;
};

}  // namespace fulmarpoint
