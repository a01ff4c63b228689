#pragma once

#include <string_view>
#include <vector>

#include "utils/log_field.h"
#include "utils/log_level.h"

namespace fulmarpoint {

/// Configures the logger of this process: lines go to standard output, no file is written and no
/// crash handler is installed. Also ignores SIGPIPE, so that a closed standard output does not
/// terminate the process. Must be called before other threads start.
void InitLogging();

/// Writes one line, `event=EVENT` followed by the fields. Never blocks: lines that exceed
/// `LogBudget`, and lines that the reader of standard output does not read in time, are omitted,
/// counted and reported with the event `log_omitted`. Thread-safe.
void Log(LogLevel level, std::string_view event, const std::vector<LogField>& fields = {});

/// Writes buffered lines and reports omitted ones, at most once a second. Must be called
/// periodically. Thread-safe.
void FlushLog();

}  // namespace fulmarpoint
