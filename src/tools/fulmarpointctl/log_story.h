#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "utils/time.h"

namespace fulmarpoint::ctl {

/// A line of a daemon's log.
struct LogLine {
  /// Where it was read: the file, or what stood before the time on the line.
  std::string source;
  /// Time of day that the daemon wrote, since the Unix epoch.
  Duration time{};
  std::string level;
  std::map<std::string, std::string> fields;
  /// The line from its level on.
  std::string text;

  /// Returns an empty text if the field is missing.
  std::string Field(const std::string& name) const;
};

/// Returns false if the line is not a daemon's. `source` is used if the line begins with its time.
bool ParseLogLine(std::string_view line, const std::string& source, LogLine& parsed);

/// Collects from the logs of several daemons what happened to one request.
class LogStory {
 public:
  explicit LogStory(std::string request) : m_request(std::move(request)) {}

  void Add(LogLine line);
  /// Returns the lines of the request by time, and between them those that explain them: what the
  /// same daemons wrote of themselves, and what any daemon wrote of the endpoints involved. Empty
  /// if no line names the request.
  std::vector<LogLine> Lines() const;

 private:
  bool Explains(const LogLine& line, const std::set<std::string>& sources,
                const std::set<std::string>& endpoints) const;

  std::string m_request;
  std::vector<LogLine> m_own;
  std::vector<LogLine> m_others;
};

}  // namespace fulmarpoint::ctl
