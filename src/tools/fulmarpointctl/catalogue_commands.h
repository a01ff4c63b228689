#pragma once

#include "commands.h"

namespace fulmarpoint::ctl {

int ListCatalogue(const CommandContext& context);
int GetCatalogueEntry(const CommandContext& context);
int ApplyCatalogue(const CommandContext& context);
int RemoveCatalogueEntry(const CommandContext& context);
int DiffCatalogue(const CommandContext& context);
int ShowCatalogueHistory(const CommandContext& context);
int ShowMembers(const CommandContext& context);
/// Adds a rollout to the entry of a service. Fails if the entry was changed in the meantime.
int StartRollout(const CommandContext& context);
/// Removes the rollout from the entry of a service.
int AbortRollout(const CommandContext& context);

}  // namespace fulmarpoint::ctl
