#pragma once

#include <string>

#include "coordination/table_replicator.h"

namespace fulmarpoint {

/// Returns how the table of the configuration is read where keys must not be used for longer than
/// `key_validity` after their removal: each answer is a proof for `ConfigurationFreshness`.
/// Thread-safe.
TableReplicator::Options ConfigurationReplicationOptions(std::string table, Duration key_validity);

/// Returns how the table of the endpoints is read. Thread-safe.
TableReplicator::Options EndpointReplicationOptions(std::string table);

/// Returns how the table of the daemons is read. Heartbeats tell of neighbours what an old copy
/// does not. Thread-safe.
TableReplicator::Options PeerReplicationOptions(std::string table);

}  // namespace fulmarpoint
