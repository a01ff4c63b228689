#pragma once

#include <memory>
#include <string>

#include "coordination/kv_cache_backup.h"
#include "relay/relay_context.h"
#include "transport/task.h"

namespace fulmarpoint {

/// Asks the engine at `source` to copy the memory of the run of `request_id` to the engine at
/// `holder`, and tells `copy` how that ended. `context` must exist until the task completes.
Task<void> RequestCopy(RelayContext& context, std::shared_ptr<KvCacheBackup> copy,
                       std::string source, std::string request_id, std::string holder);

/// Begins to free a copy that was requested, and does not wait for the answer.
void ReleaseCopy(const RelayContext& context, const KvCacheBackupSource& copy);

}  // namespace fulmarpoint
