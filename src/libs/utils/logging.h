#pragma once

#include <string_view>
#include <vector>

#include "utils/log_field.h"
#include "utils/log_level.h"

namespace fulmarpoint {

/// Configures the logger for this process: lines go to standard output, no file is written and no
/// crash handler is installed. A closed standard output does not end the process: SIGPIPE is
/// ignored. Call once, before other threads start.
void InitLogging();

/// Writes one line, `event=EVENT` followed by the fields. Never waits: lines beyond the budget of
/// `LogBudget`, and those that the reader of standard output does not take, are left out, counted,
/// and reported with the event `log_omitted`. Thread-safe.
void Log(LogLevel level, std::string_view event, const std::vector<LogField>& fields = {});

/// Writes lines that are waiting for the reader, and reports those that were left out. Call it now
/// and then. Thread-safe.
void FlushLog();

}  // namespace fulmarpoint
