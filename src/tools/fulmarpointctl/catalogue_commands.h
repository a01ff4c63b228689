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
/// Adds a rollout to the catalogue entry of a service. Fails if the catalogue changes concurrently.
int StartRollout(const CommandContext& context);
/// Removes the rollout from the catalogue entry of a service. Fails if the catalogue changes
/// concurrently.
int AbortRollout(const CommandContext& context);

}  // namespace fulmarpoint::ctl
