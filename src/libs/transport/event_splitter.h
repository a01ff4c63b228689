#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

#include "utils/enum_names.h"

namespace fulmarpoint {

/// One server-sent event as received, up to and including the empty line that ends it.
struct RawEvent {
  std::string bytes;
  /// Empty if the event has no id.
  std::optional<std::uint64_t> id;
  /// The event has an id, but arrived in parts, or has no data, line ends of different kinds, or
  /// bytes that are no text in UTF-8: its sender may have broken off within it, so that the rest
  /// belongs to something else.
  bool is_doubtful = false;
};

/// Why bytes are no stream of server-sent events.
enum class EventStreamError {
  kNone,
  /// An event exceeds 256 KiB.
  kEventTooLarge,
  /// A line is neither a comment nor a field.
  kInvalidLine,
  /// An id is not a decimal number of 64 bits, or an event has two.
  kInvalidId,
  /// An event has lines, but neither a comment nor a field of the standard.
  kUnknownFields,
};

inline constexpr std::array<EnumName<EventStreamError>, 5> kEventStreamErrorNames = {{
    {EventStreamError::kNone, "none"},
    {EventStreamError::kEventTooLarge, "event_too_large"},
    {EventStreamError::kInvalidLine, "invalid_line"},
    {EventStreamError::kInvalidId, "invalid_id"},
    {EventStreamError::kUnknownFields, "unknown_fields"},
}};

/// Splits a stream of server-sent events without changing a byte, so that complete events can be
/// forwarded and an incomplete one dropped, and finds bytes that are no such stream. Lines end with
/// LF, CRLF or CR, as in the standard. See `EventParser` for decoding the fields. Not thread-safe.
class EventSplitter {
 public:
  /// Adds received bytes. Returns false if they are no stream of events; see `Error()`. Whole
  /// events before the error can still be taken.
  bool Append(std::string_view bytes);
  /// Call at the end of the stream. Completes an event that ends with a CR. Returns false if the
  /// stream ends within an event, or like `Append()`.
  bool Finish();
  EventStreamError Error() const { return m_error; }
  bool HasEvent() const { return !m_events.empty(); }
  /// Removes and returns the oldest complete event. Precondition: `HasEvent()`.
  RawEvent Take();

 private:
  enum class LineEnd { kLf, kCrLf, kCr };

  /// What the lines of the current event have shown so far.
  struct EventState {
    bool has_lines = false;
    /// A comment or a field of the standard.
    bool has_standard_line = false;
    bool has_data = false;
    bool is_text = true;
    bool has_mixed_line_ends = false;
    bool has_arrived_in_parts = false;
    std::optional<LineEnd> line_end;
  };

  bool IsWithinEvent() const;
  void Push(char c);
  void OnLineEnd(LineEnd line_end);
  void OnLine(std::string_view line);
  void OnField(std::string_view name, std::string_view value);
  void OnId(std::string_view value);
  void OnEventEnd();
  void Fail(EventStreamError error);

  RawEvent m_current;
  EventState m_state;
  /// Offset of the current line in `m_current.bytes`.
  std::size_t m_line_start = 0;
  /// The last byte was a CR, which an LF may follow.
  bool m_after_cr = false;
  /// No line of the stream has ended yet.
  bool m_is_first_line = true;
  EventStreamError m_error = EventStreamError::kNone;
  std::deque<RawEvent> m_events;
};

}  // namespace fulmarpoint
