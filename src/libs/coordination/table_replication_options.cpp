#include "coordination/table_replication_options.h"

#include <algorithm>
#include <utility>

#include "coordination/configuration_freshness.h"

namespace fulmarpoint {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Watches of a peer's replica cost no call to the store, but add to the age of the confirmation.
constexpr Duration kConfigurationPeerWait = milliseconds(300);
// Short, because the confirmation is withheld meanwhile and ages.
constexpr Duration kConfigurationWaitAfterRestore = milliseconds(200);
constexpr Duration kEndpointWatchWait = milliseconds(2000);
constexpr Duration kEndpointBatchDelay = milliseconds(150);
constexpr Duration kEndpointPeerWait = milliseconds(1000);
constexpr Duration kMaxEndpointReplicaAge = milliseconds(4500);
constexpr Duration kPeerWatchWait = milliseconds(5000);
constexpr Duration kPeerBatchDelay = milliseconds(500);
constexpr Duration kMaxPeerReplicaAge = seconds(60);

}  // namespace

TableReplicator::Options ConfigurationReplicationOptions(std::string table, Duration key_validity) {
  TableReplicator::Options options;
  options.watcher.table = std::move(table);
  options.watcher.watch_wait = ConfigurationWatchWait(key_validity, kConfigurationPeerWait);
  options.watcher.watch_wait_after_restore =
      std::min(options.watcher.watch_wait, kConfigurationWaitAfterRestore);
  options.peer_wait = kConfigurationPeerWait;
  options.max_peer_age = StaleConfirmationAge(key_validity);
  return options;
}

TableReplicator::Options EndpointReplicationOptions(std::string table) {
  TableReplicator::Options options;
  options.watcher.table = std::move(table);
  options.watcher.watch_wait = kEndpointWatchWait;
  options.watcher.batch_delay = kEndpointBatchDelay;
  options.peer_wait = kEndpointPeerWait;
  options.max_peer_age = kMaxEndpointReplicaAge;
  return options;
}

TableReplicator::Options PeerReplicationOptions(std::string table) {
  TableReplicator::Options options;
  options.watcher.table = std::move(table);
  options.watcher.watch_wait = kPeerWatchWait;
  options.watcher.batch_delay = kPeerBatchDelay;
  options.peer_wait = kPeerWatchWait;
  options.max_peer_age = kMaxPeerReplicaAge;
  return options;
}

}  // namespace fulmarpoint
