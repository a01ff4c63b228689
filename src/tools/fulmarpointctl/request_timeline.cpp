#include "request_timeline.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>
#include <ctime>

namespace fulmarpoint::ctl {

namespace {

// Lines up to this long before the first line of the request may explain it.
constexpr Duration kLookbackTime = std::chrono::seconds(2);
constexpr std::string_view kTimestampFormat = "0000-00-00T00:00:00.000";
constexpr std::array<std::string_view, 2> kEndpointFields = {"endpoint", "backup"};

/// Returns whether there is a timestamp at position `at` of the text.
bool IsTimestampAt(std::string_view text, std::size_t at) {
  if (text.size() < at + kTimestampFormat.size()) return false;
  for (std::size_t index = 0; index < kTimestampFormat.size(); ++index) {
    const char c = text[at + index];
    const bool fits = kTimestampFormat[index] == '0'
                          ? std::isdigit(static_cast<unsigned char>(c)) != 0
                          : c == kTimestampFormat[index];
    if (!fits) return false;
  }
  return true;
}

Duration ParseTimestamp(const std::string& text) {
  std::tm time{};
  int millis = 0;
  const int read = std::sscanf(text.c_str(), "%d-%d-%dT%d:%d:%d.%d", &time.tm_year, &time.tm_mon,
                               &time.tm_mday, &time.tm_hour, &time.tm_min, &time.tm_sec, &millis);
  if (read != 7) return Duration::zero();
  time.tm_year -= 1900;
  time.tm_mon -= 1;
  return std::chrono::seconds(::timegm(&time)) + std::chrono::milliseconds(millis);
}

/// Reads a value, quoted or not, and advances `at` past it.
std::string TakeValue(std::string_view text, std::size_t& at) {
  std::string value;
  const bool is_quoted = at < text.size() && text[at] == '"';
  if (is_quoted) ++at;
  while (at < text.size()) {
    const char c = text[at++];
    if (c == (is_quoted ? '"' : ' ')) break;
    const bool is_escape = is_quoted && c == '\\' && at < text.size();
    value.push_back(is_escape ? text[at++] : c);
  }
  return value;
}

std::map<std::string, std::string> ParseFields(std::string_view text) {
  std::map<std::string, std::string> fields;
  std::size_t at = 0;
  while (at < text.size()) {
    const std::size_t equals = text.find('=', at);
    if (equals == std::string_view::npos) break;
    std::string_view name = text.substr(at, equals - at);
    name.remove_prefix(std::min(name.find_last_of(' ') + 1, name.size()));
    at = equals + 1;
    fields[std::string(name)] = TakeValue(text, at);
  }
  return fields;
}

std::string_view Trimmed(std::string_view text) {
  const std::size_t first = text.find_first_not_of(' ');
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(' ') + 1 - first);
}

}  // namespace

std::string LogLine::Field(const std::string& name) const {
  const auto found = fields.find(name);
  return found == fields.end() ? std::string() : found->second;
}

bool ParseLogLine(std::string_view line, const std::string& source, LogLine& parsed) {
  std::size_t at = 0;
  while (at < line.size() && !IsTimestampAt(line, at)) ++at;
  if (at >= line.size()) return false;
  const std::string_view before = Trimmed(line.substr(0, at));
  parsed.source = before.empty() ? source : std::string(before);
  // Keeps the last word, as log collectors may write their own timestamp before the daemon's name.
  const std::size_t blank = parsed.source.find_last_of(' ');
  if (blank != std::string::npos) parsed.source.erase(0, blank + 1);
  parsed.time = ParseTimestamp(std::string(line.substr(at, kTimestampFormat.size())));
  parsed.text = Trimmed(line.substr(at + kTimestampFormat.size()));
  const std::size_t level_end = parsed.text.find(' ');
  if (level_end == std::string::npos) return false;
  parsed.level = parsed.text.substr(0, level_end);
  parsed.fields = ParseFields(std::string_view(parsed.text).substr(level_end));
  return parsed.fields.count("event") > 0;
}

void RequestTimeline::Add(LogLine line) {
  std::vector<LogLine>& lines =
      line.Field("request") == m_request ? m_request_lines : m_other_lines;
  lines.push_back(std::move(line));
}

std::vector<LogLine> RequestTimeline::Lines() const {
  if (m_request_lines.empty()) return {};
  std::set<std::string> sources;
  std::set<std::string> endpoints;
  Duration first = m_request_lines.front().time;
  Duration last = m_request_lines.front().time;
  for (const LogLine& line : m_request_lines) {
    sources.insert(line.source);
    for (const std::string_view field : kEndpointFields) {
      endpoints.insert(line.Field(std::string(field)));
    }
    first = std::min(first, line.time);
    last = std::max(last, line.time);
  }
  endpoints.erase("");
  std::vector<LogLine> lines = m_request_lines;
  for (const LogLine& line : m_other_lines) {
    const bool is_in_time_range = line.time >= first - kLookbackTime && line.time <= last;
    if (is_in_time_range && IsRelated(line, sources, endpoints)) lines.push_back(line);
  }
  std::stable_sort(lines.begin(), lines.end(),
                   [](const LogLine& a, const LogLine& b) { return a.time < b.time; });
  return lines;
}

bool RequestTimeline::IsRelated(const LogLine& line, const std::set<std::string>& sources,
                                const std::set<std::string>& endpoints) const {
  const std::string endpoint = line.Field("endpoint");
  const bool is_same_daemon = sources.count(line.source) > 0;
  // Failures of other requests at the same endpoints, logged by any daemon.
  if (!line.Field("request").empty()) {
    return endpoints.count(endpoint) > 0 && line.level == "WARNING";
  }
  if (!is_same_daemon) return false;
  return endpoint.empty() || endpoints.count(endpoint) > 0;
}

}  // namespace fulmarpoint::ctl
