#pragma once

#include <string>

#include "coordination/table_reader.h"

namespace fulmarpoint {

/// Returns the options for the configuration table. Each reply confirms `FreshnessProof`, and the
/// waits are short enough that no key is used for longer than `key_validity` after its removal.
/// Thread-safe.
TableReader::Options ConfigurationReading(std::string table, Duration key_validity);

/// Returns the options for the table of endpoints. Thread-safe.
TableReader::Options EndpointReading(std::string table);

/// Returns the options for the table of daemons. It may lag, because heartbeats show the current
/// state of the neighbours. Thread-safe.
TableReader::Options PeerReading(std::string table);

}  // namespace fulmarpoint
