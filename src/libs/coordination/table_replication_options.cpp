#include "coordination/table_replication_options.h"

#include <utility>

#include "coordination/configuration_freshness.h"

namespace fulmarpoint {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Watches of a peer's copy are free; the age of its proof adds to theirs.
constexpr Duration kConfigurationPeerWait = milliseconds(300);
constexpr Duration kEndpointWatch = milliseconds(2000);
constexpr Duration kEndpointGatherTime = milliseconds(150);
constexpr Duration kEndpointPeerWait = milliseconds(1000);
constexpr Duration kOldEndpoints = milliseconds(4500);
constexpr Duration kPeerWatch = milliseconds(5000);
constexpr Duration kPeerGatherTime = milliseconds(500);
constexpr Duration kOldPeers = seconds(60);

}  // namespace

TableReplicator::Options ConfigurationReplicationOptions(std::string table, Duration key_validity) {
  TableReplicator::Options options;
  options.watcher.table = std::move(table);
  options.watcher.watch_wait = ProofWatchTime(key_validity, kConfigurationPeerWait);
  options.peer_wait = kConfigurationPeerWait;
  options.max_peer_age = OldProofAge(key_validity);
  return options;
}

TableReplicator::Options EndpointReplicationOptions(std::string table) {
  TableReplicator::Options options;
  options.watcher.table = std::move(table);
  options.watcher.watch_wait = kEndpointWatch;
  options.watcher.gather_time = kEndpointGatherTime;
  options.peer_wait = kEndpointPeerWait;
  options.max_peer_age = kOldEndpoints;
  return options;
}

TableReplicator::Options PeerReplicationOptions(std::string table) {
  TableReplicator::Options options;
  options.watcher.table = std::move(table);
  options.watcher.watch_wait = kPeerWatch;
  options.watcher.gather_time = kPeerGatherTime;
  options.peer_wait = kPeerWatch;
  options.max_peer_age = kOldPeers;
  return options;
}

}  // namespace fulmarpoint
