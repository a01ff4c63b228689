#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "utils/time.h"

namespace fulmarpoint::ctl {

/// A parsed line of a daemon's log.
struct LogLine {
  /// The daemon: the file name, or the word before the timestamp on the line.
  std::string source;
  /// Timestamp, since the Unix epoch.
  Duration time{};
  std::string level;
  std::map<std::string, std::string> fields;
  /// The line, starting with its level.
  std::string text;

  /// Returns an empty string if the field is missing.
  std::string Field(const std::string& name) const;
};

/// Returns false if the line was not written by a daemon's logger. `source` is used if nothing
/// stands before the timestamp.
bool ParseLogLine(std::string_view line, const std::string& source, LogLine& parsed);

/// Collects the log lines of several daemons that belong to one request or explain it. Not
/// thread-safe.
class RequestTimeline {
 public:
  explicit RequestTimeline(std::string request) : m_request(std::move(request)) {}

  void Add(LogLine line);
  /// Returns, in the order of time, the lines of the request and the related ones: lines of the
  /// same daemons that belong to no request and to no other endpoint, and warnings of any daemon
  /// about other requests at the same endpoints. Empty if no line belongs to the request.
  std::vector<LogLine> Lines() const;

 private:
  bool IsRelated(const LogLine& line, const std::set<std::string>& sources,
                 const std::set<std::string>& endpoints) const;

  std::string m_request;
  std::vector<LogLine> m_request_lines;
  std::vector<LogLine> m_other_lines;
};

}  // namespace fulmarpoint::ctl
