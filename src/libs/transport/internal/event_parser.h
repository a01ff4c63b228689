#pragma once

#include <deque>
#include <string>
#include <string_view>

#include "transport/http_event_stream.h"

namespace fulmarpoint::internal {

/// Parses a stream of server-sent events into their fields. See `EventSplitter` for forwarding
/// events unchanged. Not thread-safe.
class EventParser {
 public:
  /// Adds received bytes; returns false if an event exceeds 256 KiB.
  bool Append(std::string_view bytes);
  bool HasEvent() const { return !m_events.empty(); }
  /// Removes and returns the oldest complete event. Precondition: `HasEvent()`.
  HttpEvent Take();

 private:
  void OnLine(std::string_view line);

  std::string m_line;
  HttpEvent m_current;
  bool m_has_data = false;
  bool m_skip_line_feed = false;
  std::deque<HttpEvent> m_events;
};

}  // namespace fulmarpoint::internal
