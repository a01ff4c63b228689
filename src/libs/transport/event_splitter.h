#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace fulmarpoint {

/// One event of an event stream with the bytes that it consists of, up to and including the empty
/// line that ends it.
struct RawEvent {
  std::string bytes;
  /// Nothing if the event has no numeric id.
  std::optional<std::uint64_t> id;
};

/// Splits an event stream into events without changing a byte, so that whole events can be passed
/// on and a partial one dropped. Not thread-safe.
class EventSplitter {
 public:
  /// Adds received bytes; returns false if an event exceeds the size limit.
  bool Append(std::string_view bytes);
  bool HasEvent() const { return !m_events.empty(); }
  /// Precondition: `HasEvent()`.
  RawEvent Take();
  /// Returns whether the stream ends within an event.
  bool HasPartial() const { return !m_current.bytes.empty(); }

 private:
  void OnLine(std::string_view line);

  RawEvent m_current;
  /// Start of the current line in `m_current.bytes`.
  std::size_t m_line_start = 0;
  std::deque<RawEvent> m_events;
};

}  // namespace fulmarpoint
