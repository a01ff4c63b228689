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

/// The row by which a daemon registers itself in the store for its peers.
struct PeerRecord {
  std::string name;
  std::uint64_t incarnation = 0;
  /// "ip:port" of its UDP socket.
  std::string peer_address;
  /// "ip:port" of its HTTP interface for callers.
  std::string caller_address;
  std::string failure_domain;
  /// Processor cores that the daemon may use.
  double cores = 0.0;
  /// The daemon cannot reach the endpoints, so daemons that get no heartbeats of it do not name it
  /// in lookups.
  bool is_isolated = false;

  bool operator==(const PeerRecord&) const = default;
};

/// Returns the JSON text that is stored. Thread-safe.
std::string ToJson(const PeerRecord& record);
/// Returns nothing if `text` is not such a JSON text. Thread-safe.
std::optional<PeerRecord> ParsePeerRecord(const std::string& text);

/// The daemons that the store lists, and which of them send heartbeats. Each daemon exchanges
/// heartbeats with a bounded number of neighbours on a ring of name hashes, so that the cost per
/// daemon does not grow with the fleet. Not thread-safe.
class PeerDirectory {
 public:
  struct Options {
    std::size_t max_neighbours = 10;
    /// A neighbour that has sent no heartbeat for this long is left out of lookups.
    Duration heartbeat_timeout = std::chrono::milliseconds(750);
    /// A neighbour that has sent no heartbeat for this long is removed from the store, because
    /// daemons that are not its neighbours name it in lookups until then. Longer than a restart.
    Duration removal_timeout = std::chrono::seconds(4);
    /// Neighbours that are farther away on the ring wait longer by this for each place, so that
    /// usually only one of them calls the store.
    Duration removal_stagger = std::chrono::milliseconds(400);
    /// Replaces `removal_timeout` while this daemon hears less than half of its neighbours: it is
    /// probably cut off itself.
    Duration isolated_removal_timeout = std::chrono::seconds(30);
  };

  PeerDirectory(std::string self, Options options) : m_self(std::move(self)), m_options(options) {}

  /// Adds or updates a daemon that the store lists.
  void Put(const PeerRecord& record, TimePoint now);
  void Remove(const std::string& name);
  /// The daemon's process has ended although the store, restored from a copy, lists it. Lookups do
  /// not return it, and its neighbours may remove its row at once.
  /// It is believed to live if its row is still there at `until`.
  void MarkEnded(const std::string& name, TimePoint until);
  /// Records a heartbeat and returns its sender; null if the sender is unknown or has sent a newer
  /// heartbeat. The pointer is valid until the next call of a non-const function.
  const PeerRecord* OnHeartbeat(const RelayHeartbeat& heartbeat, TimePoint now);
  /// Restarts the timeouts of all peers. Call it after a pause of this process, in which no
  /// heartbeat could be received.
  void RestartTimeouts(TimePoint now);

  /// Returns all peers that the store lists, except neighbours that are timed out or leaving.
  std::vector<PeerRecord> AvailablePeers(TimePoint now) const;
  /// Returns the peers that this daemon exchanges heartbeats with.
  std::vector<PeerRecord> HeartbeatPeers() const;
  /// Returns the caller addresses of the other daemons that lookups may return.
  std::vector<std::string> CallerAddresses(TimePoint now) const;
  /// Daemons that stopped being ready, and whether this one is among those that did so last.
  struct LastReady {
    std::vector<std::string> addresses;
    bool includes_self = false;
  };
  /// Returns the caller addresses of the daemons that stopped being ready last: within `period`
  /// before the last of them, which may be this daemon at `own`. For lookups while none is ready.
  LastReady LastReadyDaemons(Duration period, TimePoint own, TimePoint now) const;
  /// Returns the neighbours whose rows may be removed from the store, see
  /// `Options::removal_timeout`.
  std::vector<std::string> LostNeighbours(TimePoint now) const;
  /// Returns whether the peer has registered or sent a heartbeat within
  /// `Options::heartbeat_timeout`.
  bool IsReachable(const std::string& name, TimePoint now) const;
  std::size_t Size() const { return m_peers.size(); }
  /// Returns this daemon's position and range on the ring, or nothing if all daemons are
  /// neighbours.
  std::optional<RingView> View() const;

 private:
  struct Peer {
    PeerRecord record;
    TimePoint last_heartbeat{};
    std::uint64_t incarnation = 0;
    std::uint32_t sequence = 0;
    bool has_sent_heartbeat = false;
    bool ready = false;
    bool leaving = false;
    /// When it was last known to be ready.
    std::optional<TimePoint> last_ready;
    /// The process counts as ended until then.
    TimePoint ended_until{};

    bool HasEnded(TimePoint now) const { return now < ended_until; }
  };

  /// A neighbour, and its place on its side of the ring; 0 is next to this daemon.
  struct Neighbour {
    const Peer* peer = nullptr;
    std::size_t place = 0;
  };

  std::vector<const Peer*> RingNeighbours() const;
  std::vector<Neighbour> RankedNeighbours() const;

  std::string m_self;
  Options m_options;
  std::map<std::string, Peer> m_peers;
  /// Names by hash.
  std::map<std::uint64_t, std::string> m_names_by_hash;
};

}  // namespace fulmarpoint
