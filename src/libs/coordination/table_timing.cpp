#include "coordination/table_timing.h"

#include <utility>

#include "coordination/freshness_proof.h"

namespace fulmarpoint {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Watches of a peer's replica cost no call to the store, but add to the age of the confirmation.
constexpr Duration kConfigurationPeerWait = milliseconds(300);
constexpr Duration kEndpointWatch = milliseconds(2000);
constexpr Duration kEndpointGatherTime = milliseconds(150);
constexpr Duration kEndpointPeerWait = milliseconds(1000);
constexpr Duration kOldEndpoints = milliseconds(4500);
constexpr Duration kPeerWatch = milliseconds(5000);
constexpr Duration kPeerGatherTime = milliseconds(500);
constexpr Duration kOldPeers = seconds(60);

}  // namespace

TableReader::Options ConfigurationReading(std::string table, Duration key_validity) {
  TableReader::Options options;
  options.follower.table = std::move(table);
  options.follower.watch_wait = ProofWatchTime(key_validity, kConfigurationPeerWait);
  options.peer_wait = kConfigurationPeerWait;
  options.max_peer_age = OldProofAge(key_validity);
  return options;
}

TableReader::Options EndpointReading(std::string table) {
  TableReader::Options options;
  options.follower.table = std::move(table);
  options.follower.watch_wait = kEndpointWatch;
  options.follower.gather_time = kEndpointGatherTime;
  options.peer_wait = kEndpointPeerWait;
  options.max_peer_age = kOldEndpoints;
  return options;
}

TableReader::Options PeerReading(std::string table) {
  TableReader::Options options;
  options.follower.table = std::move(table);
  options.follower.watch_wait = kPeerWatch;
  options.follower.gather_time = kPeerGatherTime;
  options.peer_wait = kPeerWatch;
  options.max_peer_age = kOldPeers;
  return options;
}

}  // namespace fulmarpoint
