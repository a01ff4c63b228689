#pragma once

#include <deque>
#include <string>
#include <string_view>

#include "transport/http_event_stream.h"

namespace fulmarpoint::internal {

/// Splits the body of an event stream into events. Not thread-safe.
class EventParser {
 public:
  /// Adds received bytes; returns false if an event exceeds its size limit.
  bool Append(std::string_view bytes);
  bool HasEvent() const { return !m_events.empty(); }
  /// Precondition: `HasEvent()`.
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
