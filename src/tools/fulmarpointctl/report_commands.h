#pragma once

#include "commands.h"

namespace fulmarpoint::ctl {

/// Merges the burn rate reports of all given daemons and prints the result. With an argument, also
/// writes it to that file as an HTML page.
int ReportBurn(const CommandContext& context);

/// Prints who performs the singleton duties, what was reported last and which engines are ordered,
/// as the given daemons know it. The addresses are those of their metrics.
int ShowDuties(const CommandContext& context);

}  // namespace fulmarpoint::ctl
