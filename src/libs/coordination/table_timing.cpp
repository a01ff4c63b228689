#include "coordination/table_timing.h"

#include <utility>

#include "coordination/freshness_proof.h"

namespace fulmarpoint {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Watches of a peer's replica cost no call to the store, but add to the age of the confirmation.
constexpr Duration kConfigurationPeerWait = milliseconds(300);
constexpr Duration kEndpointWatchWait = milliseconds(2000);
constexpr Duration kEndpointBatchDelay = milliseconds(150);
constexpr Duration kEndpointPeerWait = milliseconds(1000);
constexpr Duration kMaxEndpointReplicaAge = milliseconds(4500);
constexpr Duration kPeerWatchWait = milliseconds(5000);
constexpr Duration kPeerBatchDelay = milliseconds(500);
constexpr Duration kMaxPeerReplicaAge = seconds(60);

}  // namespace

TableReader::Options ConfigurationReading(std::string table, Duration key_validity) {
  TableReader::Options options;
  options.follower.table = std::move(table);
  options.follower.watch_wait = ConfigurationWatchWait(key_validity, kConfigurationPeerWait);
  options.peer_wait = kConfigurationPeerWait;
  options.max_peer_age = StaleConfirmationAge(key_validity);
  return options;
}

TableReader::Options EndpointReading(std::string table) {
  TableReader::Options options;
  options.follower.table = std::move(table);
  options.follower.watch_wait = kEndpointWatchWait;
  options.follower.batch_delay = kEndpointBatchDelay;
  options.peer_wait = kEndpointPeerWait;
  options.max_peer_age = kMaxEndpointReplicaAge;
  return options;
}

TableReader::Options PeerReading(std::string table) {
  TableReader::Options options;
  options.follower.table = std::move(table);
  options.follower.watch_wait = kPeerWatchWait;
  options.follower.batch_delay = kPeerBatchDelay;
  options.peer_wait = kPeerWatchWait;
  options.max_peer_age = kMaxPeerReplicaAge;
  return options;
}

}  // namespace fulmarpoint
