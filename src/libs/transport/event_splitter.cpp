#include "transport/event_splitter.h"

#include <algorithm>
#include <array>
#include <boost/locale/utf.hpp>
#include <charconv>
#include <utility>

namespace fulmarpoint {

namespace {

namespace utf = boost::locale::utf;

constexpr std::size_t kMaxEventBytes = std::size_t{256} * 1024;
constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";
constexpr std::array<std::string_view, 4> kStandardFields = {"id", "data", "event", "retry"};

std::optional<std::uint64_t> ParseId(std::string_view text) {
  std::uint64_t id = 0;
  const std::from_chars_result end = std::from_chars(text.data(), text.data() + text.size(), id);
  if (end.ec != std::errc() || end.ptr != text.data() + text.size()) return std::nullopt;
  return id;
}

bool IsStandardField(std::string_view name) {
  return std::find(kStandardFields.begin(), kStandardFields.end(), name) != kStandardFields.end();
}

bool IsNameChar(char c) {
  const bool is_letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  const bool is_digit = c >= '0' && c <= '9';
  return is_letter || is_digit || c == '-' || c == '_' || c == '.';
}

/// Returns whether `name` can name a field that is not of the standard. The standard allows all
/// characters, but names in use are like those of headers, while other text seldom is.
bool IsFieldName(std::string_view name) {
  return !name.empty() && std::all_of(name.begin(), name.end(), IsNameChar);
}

/// Returns whether a line is UTF-8 without control characters other than tabs.
bool IsText(std::string_view line) {
  const char* at = line.data();
  const char* const end = at + line.size();
  while (at != end) {
    const utf::code_point c = utf::utf_traits<char>::decode(at, end);
    if (c == utf::illegal || c == utf::incomplete) return false;
    if (c < 0x20 && c != '\t') return false;
  }
  return true;
}

}  // namespace

bool EventSplitter::Append(std::string_view bytes) {
  if (!bytes.empty() && IsWithinEvent()) m_state.has_arrived_in_parts = true;
  for (const char c : bytes) {
    if (m_error != EventStreamError::kNone) return false;
    Push(c);
  }
  return m_error == EventStreamError::kNone;
}

bool EventSplitter::Finish() {
  if (std::exchange(m_after_cr, false)) OnLineEnd(LineEnd::kCr);
  return m_error == EventStreamError::kNone && m_current.bytes.empty();
}

RawEvent EventSplitter::Take() {
  RawEvent event = std::move(m_events.front());
  m_events.pop_front();
  return event;
}

/// Returns whether more of the current event must follow than the LF after a last CR.
bool EventSplitter::IsWithinEvent() const {
  const bool ends_with_empty_line = m_after_cr && m_current.bytes.size() == m_line_start + 1;
  return !m_current.bytes.empty() && !ends_with_empty_line;
}

void EventSplitter::Push(char c) {
  const bool after_cr = std::exchange(m_after_cr, false);
  if (after_cr && c != '\n') OnLineEnd(LineEnd::kCr);
  m_current.bytes.push_back(c);
  if (m_current.bytes.size() > kMaxEventBytes) Fail(EventStreamError::kEventTooLarge);
  if (c == '\n') OnLineEnd(after_cr ? LineEnd::kCrLf : LineEnd::kLf);
  m_after_cr = c == '\r';
}

void EventSplitter::OnLineEnd(LineEnd line_end) {
  const std::size_t end_bytes = line_end == LineEnd::kCrLf ? 2 : 1;
  std::string_view line = m_current.bytes;
  line = line.substr(m_line_start, line.size() - m_line_start - end_bytes);
  if (std::exchange(m_is_first_line, false) && line.substr(0, 3) == kByteOrderMark) {
    line.remove_prefix(kByteOrderMark.size());
  }
  m_state.has_mixed_line_ends |= m_state.line_end && *m_state.line_end != line_end;
  m_state.line_end = line_end;
  m_line_start = m_current.bytes.size();
  if (line.empty()) {
    OnEventEnd();
  } else {
    OnLine(line);
  }
}

void EventSplitter::OnLine(std::string_view line) {
  m_state.has_lines = true;
  m_state.is_text = m_state.is_text && IsText(line);
  const std::size_t colon = line.find(':');
  if (colon == 0) {
    m_state.has_standard_line = true;
    return;
  }
  const std::string_view name = line.substr(0, colon);
  const bool has_colon = colon != std::string_view::npos;
  const bool is_field = IsStandardField(name) || (has_colon && IsFieldName(name));
  if (!is_field) return Fail(EventStreamError::kInvalidLine);
  std::string_view value = has_colon ? line.substr(colon + 1) : std::string_view();
  while (!value.empty() && value.front() == ' ') value.remove_prefix(1);
  OnField(name, value);
}

void EventSplitter::OnField(std::string_view name, std::string_view value) {
  if (IsStandardField(name)) m_state.has_standard_line = true;
  if (name == "data") m_state.has_data = true;
  if (name == "id") OnId(value);
}

void EventSplitter::OnId(std::string_view value) {
  const std::optional<std::uint64_t> id = ParseId(value);
  if (!id || m_current.id) return Fail(EventStreamError::kInvalidId);
  m_current.id = id;
}

void EventSplitter::OnEventEnd() {
  if (m_state.has_lines && !m_state.has_standard_line) Fail(EventStreamError::kUnknownFields);
  if (m_error != EventStreamError::kNone) return;
  m_current.is_doubtful =
      m_current.id.has_value() && (m_state.has_arrived_in_parts || !m_state.has_data ||
                                   !m_state.is_text || m_state.has_mixed_line_ends);
  m_events.push_back(std::exchange(m_current, RawEvent()));
  m_state = EventState();
  m_line_start = 0;
}

void EventSplitter::Fail(EventStreamError error) {
  if (m_error == EventStreamError::kNone) m_error = error;
}

}  // namespace fulmarpoint
