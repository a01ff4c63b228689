#pragma once

#include <string>
#include <string_view>

namespace fulmarpoint {

enum class LogLevel { kInfo, kWarning, kError };

/// Configures the logger for this process: lines go to standard error, no file is written and no
/// crash handler is installed. Call once, before other threads start.
void InitLogging();

/// Writes one line. `event` names the change of state and `fields` holds `key=value` pairs
/// separated by spaces. Thread-safe.
void Log(LogLevel level, std::string_view event, const std::string& fields);

}  // namespace fulmarpoint
