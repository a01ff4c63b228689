#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/ring_view.h"
#include "protocol/relay_heartbeat.h"
#include "utils/random.h"
#include "utils/time.h"

namespace fulmarpoint {

/// How a daemon registers itself in the store for its peers.
struct PeerRecord {
  std::string name;
  std::uint64_t incarnation = 0;
  /// "ip:port" of its UDP socket.
  std::string peer_address;
  /// "ip:port" of its service for callers.
  std::string caller_address;
  std::string failure_domain;
  /// Processor cores that the daemon may use.
  double cores = 0.0;

  bool operator==(const PeerRecord&) const = default;
};

/// Returns the stored JSON form. Thread-safe.
std::string ToJson(const PeerRecord& record);
/// Returns nothing if `text` is not the stored form. Thread-safe.
std::optional<PeerRecord> ParsePeerRecord(const std::string& text);

/// The daemons that the store lists and which of them answer. Each daemon exchanges heartbeats with
/// a bounded number of neighbours on a ring of name hashes, so that the cost does not grow with the
/// fleet. Not thread-safe.
class PeerDirectory {
 public:
  struct Options {
    std::size_t max_neighbours = 10;
    /// A neighbour that has not been heard for this long is left out of lookups.
    Duration silence_limit = std::chrono::milliseconds(750);
    /// A neighbour that has not been heard for this long is removed from the store.
    Duration removal_time = std::chrono::seconds(30);
  };

  PeerDirectory(std::string self, Options options) : m_self(std::move(self)), m_options(options) {}

  void Put(const PeerRecord& record, TimePoint now);
  void Remove(const std::string& name);
  /// Returns the heartbeat's sender; null if it is unknown or has sent a newer heartbeat. The
  /// pointer is valid until the next call of a function that is not const.
  const PeerRecord* OnHeartbeat(const RelayHeartbeat& heartbeat, TimePoint now);
  /// The process was paused: silence until now says nothing about the others.
  void RestartTimeouts(TimePoint now);

  /// All peers that the store lists, except neighbours that are silent or leaving.
  std::vector<PeerRecord> AvailablePeers(TimePoint now) const;
  /// Peers that this daemon exchanges heartbeats with.
  std::vector<PeerRecord> Neighbours() const;
  /// Addresses for callers of the daemons that may be named in a lookup, without this one.
  std::vector<std::string> CallerAddresses(TimePoint now) const;
  /// Neighbours that were silent for so long that their rows may be removed.
  std::vector<std::string> Lost(TimePoint now) const;
  /// Returns whether the neighbour was heard lately.
  bool IsReachable(const std::string& name, TimePoint now) const;
  std::size_t Size() const { return m_peers.size(); }
  /// Returns nothing if all daemons hear each other.
  std::optional<RingView> View() const;

 private:
  struct Peer {
    PeerRecord record;
    TimePoint last_heard{};
    std::uint64_t incarnation = 0;
    std::uint32_t sequence = 0;
    bool heard = false;
    bool ready = false;
    bool leaving = false;
  };

  std::vector<const Peer*> Ring() const;

  std::string m_self;
  Options m_options;
  std::map<std::string, Peer> m_peers;
  /// Names by their hashes.
  std::map<std::uint64_t, std::string> m_names;
};

}  // namespace fulmarpoint
