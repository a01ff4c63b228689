#include "utils/logging.h"

#include <easylogging++.h>
#include <unistd.h>

#include <csignal>
#include <mutex>
#include <string>

#include "utils/log_budget.h"
#include "utils/log_output.h"

INITIALIZE_EASYLOGGINGPP

namespace fulmarpoint {

namespace {

constexpr Duration kReportInterval = std::chrono::seconds(1);

/// Writes formatted lines to standard output within the log budget and counts omitted ones.
/// Thread-safe.
class BoundedLog {
 public:
  void Write(LogLevel level, const std::string& line) {
    const std::lock_guard lock(m_mutex);
    const bool is_within_budget = m_budget.Admit(level, line.size() + 1, SteadyNow());
    if (!is_within_budget) {
      ++m_over_budget[level];
    } else if (!m_output.Write(line)) {
      ++m_unread[level];
    }
  }

  void Flush() {
    const std::lock_guard lock(m_mutex);
    m_output.Flush();
  }

  /// Gets the numbers of lines omitted since the last report and returns true, or returns false if
  /// there are none or a report is not due yet.
  bool TakeOmitted(OmittedLines& over_budget, OmittedLines& unread) {
    const std::lock_guard lock(m_mutex);
    const TimePoint now = SteadyNow();
    if (m_over_budget.Total() + m_unread.Total() == 0) return false;
    // While output is still buffered, the report itself could be dropped.
    if (now - m_last_report < kReportInterval || m_output.PendingBytes() > 0) return false;
    m_last_report = now;
    over_budget = std::exchange(m_over_budget, OmittedLines());
    unread = std::exchange(m_unread, OmittedLines());
    return true;
  }

 private:
  std::mutex m_mutex;
  LogBudget m_budget;
  LogOutput m_output{STDOUT_FILENO};
  OmittedLines m_over_budget;
  OmittedLines m_unread;
  TimePoint m_last_report{};
};

BoundedLog& Output() {
  static BoundedLog output;
  return output;
}

LogLevel LevelOf(el::Level level) {
  if (level == el::Level::Info) return LogLevel::kInfo;
  return level == el::Level::Warning ? LogLevel::kWarning : LogLevel::kError;
}

/// Receives each line from Easylogging++ in place of its default writer.
class BoundedDispatch : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) override {
    const el::LogMessage& message = *data->logMessage();
    // No line break here: `LogOutput` adds it.
    const std::string line =
        message.logger()->logBuilder()->build(&message, /*appendNewLine=*/false);
    Output().Write(LevelOf(message.level()), line);
  }
};

constexpr char kBoundedDispatch[] = "bounded";

void WriteLine(LogLevel level, const std::string& line) {
  switch (level) {
    case LogLevel::kInfo:
      LOG(INFO) << line;
      return;
    case LogLevel::kWarning:
      LOG(WARNING) << line;
      return;
    case LogLevel::kError:
      LOG(ERROR) << line;
      return;
  }
}

void ReportOmitted() {
  OmittedLines over_budget;
  OmittedLines unread;
  if (!Output().TakeOmitted(over_budget, unread)) return;
  Log(LogLevel::kWarning, "log_omitted",
      {{"over_budget_info", over_budget[LogLevel::kInfo]},
       {"over_budget_warning", over_budget[LogLevel::kWarning]},
       {"over_budget_error", over_budget[LogLevel::kError]},
       {"unread_info", unread[LogLevel::kInfo]},
       {"unread_warning", unread[LogLevel::kWarning]},
       {"unread_error", unread[LogLevel::kError]}});
}

}  // namespace

void InitLogging() {
  std::signal(SIGPIPE, SIG_IGN);
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  configuration.setGlobally(el::ConfigurationType::Format,
                            "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
  el::Loggers::reconfigureLogger("default", configuration);
  el::Loggers::addFlag(el::LoggingFlag::DisableApplicationAbortOnFatalLog);
  el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>(
      "DefaultLogDispatchCallback");
  el::Helpers::installLogDispatchCallback<BoundedDispatch>(kBoundedDispatch);
}

void Log(LogLevel level, std::string_view event, const std::vector<LogField>& fields) {
  std::string line = "event=";
  line.append(event);
  for (const LogField& field : fields) {
    line.push_back(' ');
    field.AppendTo(line);
  }
  WriteLine(level, line);
}

void FlushLog() {
  Output().Flush();
  ReportOmitted();
}

}  // namespace fulmarpoint
