#include "coordination/peer_directory.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "protocol/identifiers.h"

namespace fulmarpoint {

namespace {

using Json = nlohmann::json;

}  // namespace

std::string ToJson(const PeerRecord& record) {
  Json json{{"name", record.name},
            {"incarnation", record.incarnation},
            {"peer_address", record.peer_address},
            {"caller_address", record.caller_address},
            {"failure_domain", record.failure_domain},
            {"cores", record.cores}};
  if (record.is_isolated) json["isolated"] = true;
  return json.dump();
}

std::optional<PeerRecord> ParsePeerRecord(const std::string& text) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) return std::nullopt;
  try {
    PeerRecord record;
    record.name = json.at("name").get<std::string>();
    record.incarnation = json.at("incarnation").get<std::uint64_t>();
    record.peer_address = json.at("peer_address").get<std::string>();
    record.caller_address = json.at("caller_address").get<std::string>();
    record.failure_domain = json.at("failure_domain").get<std::string>();
    record.cores = json.value("cores", 0.0);
    record.is_isolated = json.value("isolated", false);
    return record;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

void PeerDirectory::Put(const PeerRecord& record, TimePoint now) {
  if (record.name == m_self) return;
  Peer& peer = m_peers[record.name];
  m_names_by_hash[StableHash(record.name)] = record.name;
  const bool is_new = peer.record.name.empty() || peer.record.incarnation != record.incarnation;
  // Of a daemon that is no neighbour only its row says when it stopped being ready.
  if (!is_new && record.is_isolated && !peer.record.is_isolated) peer.last_ready = now;
  peer.record = record;
  peer.ended_until = TimePoint{};
  if (!is_new || record.incarnation <= peer.incarnation) return;
  // A daemon that has just written its row counts as alive until it has had time for a heartbeat.
  peer.incarnation = record.incarnation;
  peer.sequence = 0;
  peer.last_heartbeat = now;
  peer.has_sent_heartbeat = false;
  peer.ready = false;
  peer.leaving = false;
  peer.last_ready.reset();
}

void PeerDirectory::MarkEnded(const std::string& name, TimePoint until) {
  const auto found = m_peers.find(name);
  if (found != m_peers.end()) found->second.ended_until = until;
}

void PeerDirectory::Remove(const std::string& name) {
  m_peers.erase(name);
  m_names_by_hash.erase(StableHash(name));
}

const PeerRecord* PeerDirectory::OnHeartbeat(const RelayHeartbeat& heartbeat, TimePoint now) {
  const auto name = m_names_by_hash.find(heartbeat.sender);
  if (name == m_names_by_hash.end()) return nullptr;
  Peer& peer = m_peers[name->second];
  if (heartbeat.incarnation < peer.incarnation) return nullptr;
  if (heartbeat.incarnation == peer.incarnation && heartbeat.sequence <= peer.sequence) {
    return nullptr;
  }
  peer.incarnation = heartbeat.incarnation;
  peer.sequence = heartbeat.sequence;
  peer.last_heartbeat = now;
  peer.has_sent_heartbeat = true;
  peer.ended_until = TimePoint{};
  peer.ready = heartbeat.ready;
  if (peer.ready) peer.last_ready = now;
  peer.leaving = heartbeat.leaving;
  if (heartbeat.payload) peer.record.caller_address = heartbeat.payload->caller_address;
  return &peer.record;
}

void PeerDirectory::RestartTimeouts(TimePoint now) {
  for (auto& [name, peer] : m_peers) peer.last_heartbeat = now;
}

std::vector<PeerRecord> PeerDirectory::AvailablePeers(TimePoint now) const {
  std::set<std::string> unavailable;
  for (const Peer* peer : RingNeighbours()) {
    const bool answers = now - peer->last_heartbeat < m_options.heartbeat_timeout;
    if (!answers || peer->leaving) unavailable.insert(peer->record.name);
  }
  std::vector<PeerRecord> listed;
  for (const auto& [name, peer] : m_peers) {
    if (unavailable.count(name) == 0 && !peer.HasEnded(now)) listed.push_back(peer.record);
  }
  return listed;
}

std::vector<PeerRecord> PeerDirectory::HeartbeatPeers() const {
  std::vector<PeerRecord> neighbours;
  for (const Peer* peer : RingNeighbours()) neighbours.push_back(peer->record);
  return neighbours;
}

std::vector<std::string> PeerDirectory::CallerAddresses(TimePoint now) const {
  std::set<std::string> neighbours;
  for (const Peer* peer : RingNeighbours()) neighbours.insert(peer->record.name);
  std::vector<std::string> addresses;
  for (const auto& [name, peer] : m_peers) {
    // Daemons that are not neighbours are known only by their rows.
    if (peer.HasEnded(now)) continue;
    const bool is_neighbour = neighbours.count(name) > 0;
    if (!is_neighbour && peer.record.is_isolated) continue;
    const bool answers = now - peer.last_heartbeat < m_options.heartbeat_timeout;
    if (is_neighbour && !(peer.has_sent_heartbeat && answers && peer.ready && !peer.leaving))
      continue;
    addresses.push_back(peer.record.caller_address);
  }
  return addresses;
}

PeerDirectory::LastReady PeerDirectory::LastReadyDaemons(Duration period, TimePoint own,
                                                         TimePoint now) const {
  std::set<std::string> neighbours;
  for (const Peer* peer : RingNeighbours()) neighbours.insert(peer->record.name);
  std::vector<const Peer*> candidates;
  TimePoint latest = own;
  for (const auto& [name, peer] : m_peers) {
    const bool is_neighbour = neighbours.count(name) > 0;
    const bool answers = peer.has_sent_heartbeat && !peer.leaving &&
                         now - peer.last_heartbeat < m_options.heartbeat_timeout;
    if (peer.HasEnded(now) || !peer.last_ready || (is_neighbour && !answers)) continue;
    candidates.push_back(&peer);
    latest = std::max(latest, *peer.last_ready);
  }
  LastReady last;
  last.includes_self = latest - own <= period;
  for (const Peer* peer : candidates) {
    if (latest - *peer->last_ready <= period) last.addresses.push_back(peer->record.caller_address);
  }
  return last;
}

std::vector<std::string> PeerDirectory::LostNeighbours(TimePoint now) const {
  const std::vector<Neighbour> neighbours = RankedNeighbours();
  const auto is_heard = [&](const Neighbour& neighbour) {
    return now - neighbour.peer->last_heartbeat < m_options.removal_timeout;
  };
  const auto heard = std::count_if(neighbours.begin(), neighbours.end(), is_heard);
  const bool is_isolated = static_cast<std::size_t>(heard) * 2 < neighbours.size();
  std::vector<std::string> lost;
  for (const auto& [peer, place] : neighbours) {
    const Duration timeout = is_isolated ? m_options.isolated_removal_timeout
                                         : m_options.removal_timeout +
                                               m_options.removal_stagger * static_cast<int>(place);
    const bool is_silent = now - peer->last_heartbeat >= timeout;
    if (is_silent || peer->HasEnded(now)) lost.push_back(peer->record.name);
  }
  return lost;
}

bool PeerDirectory::IsReachable(const std::string& name, TimePoint now) const {
  const auto found = m_peers.find(name);
  return found != m_peers.end() && now - found->second.last_heartbeat < m_options.heartbeat_timeout;
}

std::optional<RingView> PeerDirectory::View() const {
  if (m_peers.size() <= m_options.max_neighbours) return std::nullopt;
  const std::uint64_t self = StableHash(m_self);
  const auto before = std::count_if(m_peers.begin(), m_peers.end(), [self](const auto& entry) {
    return StableHash(entry.first) < self;
  });
  const double daemons = static_cast<double>(m_peers.size() + 1);
  // Two daemons within this distance of an endpoint, on either side, are neighbours.
  const std::size_t neighbours_on_one_side = m_options.max_neighbours / 2;
  const double reach = static_cast<double>(neighbours_on_one_side) / 2.0;
  return RingView{static_cast<double>(before) / daemons, reach / daemons};
}

std::vector<const PeerDirectory::Peer*> PeerDirectory::RingNeighbours() const {
  std::vector<const Peer*> neighbours;
  for (const Neighbour& neighbour : RankedNeighbours()) neighbours.push_back(neighbour.peer);
  return neighbours;
}

std::vector<PeerDirectory::Neighbour> PeerDirectory::RankedNeighbours() const {
  std::vector<std::pair<std::uint64_t, const Peer*>> ring;
  ring.reserve(m_peers.size());
  for (const auto& [name, peer] : m_peers) ring.emplace_back(StableHash(name), &peer);
  std::sort(ring.begin(), ring.end());
  const std::uint64_t self = StableHash(m_self);
  const auto after = std::find_if(ring.begin(), ring.end(),
                                  [self](const auto& entry) { return entry.first > self; });
  std::rotate(ring.begin(), after, ring.end());
  // Half of the neighbours follow on the ring and half precede, which makes the relation symmetric.
  std::vector<Neighbour> neighbours;
  const std::size_t half = m_options.max_neighbours / 2;
  for (std::size_t index = 0; index < ring.size(); ++index) {
    const std::size_t place = std::min(index, ring.size() - 1 - index);
    if (place < half) neighbours.push_back({ring[index].second, place});
  }
  return neighbours;
}

}  // namespace fulmarpoint
