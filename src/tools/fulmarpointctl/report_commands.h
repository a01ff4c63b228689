#pragma once

#include "commands.h"

namespace fulmarpoint::ctl {

/// Merges the burn rate reports of all given daemons and prints the result. With an argument, also
/// writes it to that file as an HTML page.
int ReportBurn(const CommandContext& context);

}  // namespace fulmarpoint::ctl
