#pragma once

#include "commands.h"

namespace fulmarpoint::ctl {

inline constexpr std::size_t kMaxLogFiles = 1000;

/// Prints the log lines that explain one request: `logs explain REQUEST [FILE...]`.
/// Without files it reads standard input.
int ExplainFromLogs(const CommandContext& context);

}  // namespace fulmarpoint::ctl
