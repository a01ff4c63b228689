#pragma once

#include <string>

#include "coordination/table_replicator.h"

namespace fulmarpoint {

/// Returns the options for the configuration table. Each reply confirms `ConfigurationFreshness`,
/// and the waits are short enough that no key is used for longer than `key_validity` after its
/// removal. Thread-safe.
TableReplicator::Options ConfigurationReplicationOptions(std::string table, Duration key_validity);

/// Returns the options for the table of endpoints. Thread-safe.
TableReplicator::Options EndpointReplicationOptions(std::string table);

/// Returns the options for the table of daemons. It may lag, because heartbeats show the current
/// state of the neighbours. Thread-safe.
TableReplicator::Options PeerReplicationOptions(std::string table);

}  // namespace fulmarpoint
