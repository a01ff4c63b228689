#pragma once

#include "commands.h"

namespace fulmarpoint::ctl {

/// Merges the burn reports of all named daemons and prints them; with an argument, also writes an
/// HTML page.
int ReportBurn(const CommandContext& context);

}  // namespace fulmarpoint::ctl
