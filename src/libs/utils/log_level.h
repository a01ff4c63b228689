#pragma once

#include <array>

#include "utils/enum_names.h"

namespace fulmarpoint {

enum class LogLevel { kInfo, kWarning, kError };

inline constexpr std::array<EnumName<LogLevel>, 3> kLogLevelNames = {{
    {LogLevel::kInfo, "info"},
    {LogLevel::kWarning, "warning"},
    {LogLevel::kError, "error"},
}};

}  // namespace fulmarpoint
