#pragma once

#include <memory>
#include <string>

#include "coordination/kv_cache_backup.h"
#include "relay/relay_context.h"
#include "transport/task.h"

namespace fulmarpoint {

/// Requests that the engine at `source` copies the KV cache of `request_id` to the engine at
/// `holder`, and records the result in `backup`. `context` must outlive the task.
Task<void> RequestKvCacheBackup(RelayContext& context, std::shared_ptr<KvCacheBackup> backup,
                                std::string source, std::string request_id, std::string holder);

/// Starts to release a requested backup, without waiting for the reply.
void ReleaseKvCacheBackup(const RelayContext& context, const KvCacheBackupSource& backup);

}  // namespace fulmarpoint
