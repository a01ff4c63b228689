#include "logs_command.h"

#include <cstdio>
#include <fstream>
#include <iostream>

#include "request_timeline.h"

namespace fulmarpoint::ctl {

namespace {

void Read(std::istream& input, const std::string& source, RequestTimeline& timeline) {
  std::string text;
  LogLine line;
  while (std::getline(input, text)) {
    if (ParseLogLine(text, source, line)) timeline.Add(line);
  }
}

void Print(const std::vector<LogLine>& lines, const std::string& request) {
  for (const LogLine& line : lines) {
    const double seconds = std::chrono::duration<double>(line.time - lines.front().time).count();
    const char mark = line.Field("request") == request ? '*' : ' ';
    std::printf("%9.3f %c %s %s\n", seconds, mark, line.source.c_str(), line.text.c_str());
  }
}

}  // namespace

int ExplainFromLogs(const CommandContext& context) {
  const std::string& request = context.arguments.front();
  RequestTimeline timeline(request);
  for (std::size_t index = 1; index < context.arguments.size(); ++index) {
    const std::string& path = context.arguments[index];
    std::ifstream file(path);
    if (!file) {
      std::cerr << path << ": cannot be read\n";
      return kUsage;
    }
    Read(file, path, timeline);
  }
  if (context.arguments.size() == 1) Read(std::cin, "-", timeline);
  const std::vector<LogLine> lines = timeline.Lines();
  if (lines.empty()) {
    std::cerr << "no log line names the request " << request << "\n";
    return kRefused;
  }
  Print(lines, request);
  return kSuccess;
}

}  // namespace fulmarpoint::ctl
