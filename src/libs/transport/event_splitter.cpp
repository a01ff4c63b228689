#include "transport/event_splitter.h"

#include <charconv>
#include <utility>

namespace fulmarpoint {

namespace {

constexpr std::size_t kMaxEventBytes = std::size_t{256} * 1024;
constexpr std::string_view kIdField = "id:";

std::optional<std::uint64_t> ParseId(std::string_view text) {
  while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
  std::uint64_t id = 0;
  const std::from_chars_result end = std::from_chars(text.data(), text.data() + text.size(), id);
  if (end.ec != std::errc() || end.ptr != text.data() + text.size()) return std::nullopt;
  return id;
}

}  // namespace

bool EventSplitter::Append(std::string_view bytes) {
  for (const char c : bytes) {
    m_current.bytes.push_back(c);
    if (m_current.bytes.size() > kMaxEventBytes) return false;
    if (c != '\n') continue;
    std::string_view line(m_current.bytes);
    line = line.substr(m_line_start, line.size() - m_line_start - 1);
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    OnLine(line);
  }
  return true;
}

RawEvent EventSplitter::Take() {
  RawEvent event = std::move(m_events.front());
  m_events.pop_front();
  return event;
}

void EventSplitter::OnLine(std::string_view line) {
  if (line.substr(0, kIdField.size()) == kIdField) {
    m_current.id = ParseId(line.substr(kIdField.size()));
  }
  m_line_start = m_current.bytes.size();
  if (!line.empty()) return;
  m_events.push_back(std::exchange(m_current, RawEvent()));
  m_line_start = 0;
}

}  // namespace fulmarpoint
