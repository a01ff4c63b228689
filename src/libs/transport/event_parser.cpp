#include "transport/internal/event_parser.h"

#include <utility>

namespace fulmarpoint::internal {

namespace {

constexpr std::size_t kMaxEventBytes = std::size_t{256} * 1024;

}  // namespace

bool EventParser::Append(std::string_view bytes) {
  for (const char c : bytes) {
    const bool skip = std::exchange(m_skip_line_feed, false) && c == '\n';
    if (skip) continue;
    if (c != '\n' && c != '\r') {
      m_line.push_back(c);
      if (m_line.size() + m_current.data.size() > kMaxEventBytes) return false;
      continue;
    }
    m_skip_line_feed = c == '\r';
    OnLine(m_line);
    m_line.clear();
  }
  return true;
}

HttpEvent EventParser::Take() {
  HttpEvent event = std::move(m_events.front());
  m_events.pop_front();
  return event;
}

void EventParser::OnLine(std::string_view line) {
  if (line.empty()) {
    if (m_has_data) m_events.push_back(std::move(m_current));
    m_current = HttpEvent();
    m_has_data = false;
    return;
  }
  const std::size_t colon = line.find(':');
  const std::string_view field = line.substr(0, colon);
  std::string_view value = colon == std::string_view::npos ? "" : line.substr(colon + 1);
  if (!value.empty() && value.front() == ' ') value.remove_prefix(1);
  if (field == "id") m_current.id = value;
  if (field == "event") m_current.event = value;
  if (field != "data") return;
  if (m_has_data) m_current.data.push_back('\n');
  m_current.data.append(value);
  m_has_data = true;
}

}  // namespace fulmarpoint::internal
