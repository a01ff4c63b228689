#include "coordination/replication_source_selection.h"

#include <algorithm>
#include <tuple>

#include "protocol/identifiers.h"

namespace fulmarpoint {

namespace {

const std::string kStore;
constexpr int kMaxCooldownDoublings = 10;
constexpr int kFailuresUntilCooldown = 2;

/// A daemon as a candidate for direct reader. Daemons with more cores come first, then the order of
/// a hash of the name, so that all daemons compute the same ranking.
struct Candidate {
  const PeerRecord* record = nullptr;
  std::uint64_t hash = 0;

  bool operator<(const Candidate& other) const {
    return std::make_tuple(-record->cores, hash, std::cref(record->name)) <
           std::make_tuple(-other.record->cores, other.hash, std::cref(other.record->name));
  }
};

Candidate CandidateOf(const PeerRecord& record) { return {&record, StableHash(record.name)}; }

}  // namespace

struct ReplicationSourceSelection::Ranking {
  /// Sources in order of preference; for a direct reader they include the store.
  std::vector<std::string> sources;
  /// Number of sources, at the front, that belong to the own failure domain.
  std::size_t own_domain_count = 0;
  bool is_direct_reader = false;
};

std::string ReplicationSourceSelection::Choose(const PeerRecord& self,
                                               const std::vector<PeerRecord>& peers,
                                               bool has_replica, TimePoint now) {
  const std::size_t fleet = peers.size() + 1;
  if (fleet < m_options.min_fleet) return kStore;
  const Ranking ranking = Rank(self, peers);
  if (ranking.is_direct_reader && !has_replica) return kStore;
  const std::size_t eligible = has_replica ? ranking.sources.size() : ranking.own_domain_count;
  for (std::size_t index = 0; index < eligible; ++index) {
    if (IsCoolingDown(ranking.sources[index], now)) continue;
    m_next_probe = TimePoint{};
    return ranking.sources[index];
  }
  if (!has_replica) return kStore;
  if (!ranking.is_direct_reader && IsProbeDue(self, fleet, now)) return kStore;
  return FirstToRecover(ranking.sources);
}

/// Returns the source whose cool-down ends first, as it is the most likely to have recovered. A
/// direct reader that did not answer is left out until its cool-down is over.
std::string ReplicationSourceSelection::FirstToRecover(
    const std::vector<std::string>& sources) const {
  const std::string* best = &kStore;
  TimePoint soonest = TimePoint::max();
  for (const std::string& source : sources) {
    const Cooldown& cooldown = m_cooldowns.at(source);
    const bool may_answer = cooldown.is_reachable || source == kStore;
    if (!may_answer || cooldown.until >= soonest) continue;
    best = &source;
    soonest = cooldown.until;
  }
  return *best;
}

ReplicationSourceSelection::Ranking ReplicationSourceSelection::Rank(
    const PeerRecord& self, const std::vector<PeerRecord>& peers) const {
  std::vector<Candidate> own_domain = {CandidateOf(self)};
  std::map<std::string, Candidate> best_by_domain;
  for (const PeerRecord& peer : peers) {
    const Candidate candidate = CandidateOf(peer);
    if (peer.failure_domain == self.failure_domain) {
      own_domain.push_back(candidate);
      continue;
    }
    const auto [known, is_first] = best_by_domain.try_emplace(peer.failure_domain, candidate);
    if (!is_first && candidate < known->second) known->second = candidate;
  }
  std::sort(own_domain.begin(), own_domain.end());
  own_domain.resize(std::min(own_domain.size(), m_options.direct_readers_per_domain));
  Ranking ranking;
  for (const Candidate& reader : own_domain) {
    const bool is_self = reader.record == &self;
    ranking.is_direct_reader = ranking.is_direct_reader || is_self;
    ranking.sources.push_back(is_self ? kStore : reader.record->peer_address);
  }
  ranking.own_domain_count = ranking.sources.size();
  // The hash spreads the daemons of one domain over the other domains.
  std::vector<std::pair<std::uint64_t, const PeerRecord*>> remote;
  remote.reserve(best_by_domain.size());
  for (const auto& [domain, reader] : best_by_domain) {
    remote.emplace_back(StableHash(self.name + "/" + domain), reader.record);
  }
  std::sort(remote.begin(), remote.end());
  remote.resize(std::min(remote.size(), m_options.remote_direct_readers));
  for (const auto& [hash, reader] : remote) ranking.sources.push_back(reader->peer_address);
  return ranking;
}

bool ReplicationSourceSelection::IsCoolingDown(const std::string& source, TimePoint now) const {
  const auto found = m_cooldowns.find(source);
  return found != m_cooldowns.end() && now < found->second.until;
}

/// The hash spreads the probes of a fleet over the interval.
bool ReplicationSourceSelection::IsProbeDue(const PeerRecord& self, std::size_t fleet,
                                            TimePoint now) {
  if (now < m_direct_until) return true;
  const Duration interval =
      std::max(m_options.probe_interval,
               m_options.probe_interval_per_daemon * static_cast<Duration::rep>(fleet));
  if (m_next_probe == TimePoint{}) {
    const auto count = static_cast<std::uint64_t>(interval.count());
    m_next_probe = now + Duration(static_cast<Duration::rep>(StableHash(self.name) % count));
  }
  if (now < m_next_probe) return false;
  m_next_probe = now + interval;
  m_direct_until = now + m_options.probe_duration;
  return true;
}

void ReplicationSourceSelection::OnFailure(const std::string& address, TimePoint now) {
  SetCooldown(address, {now + m_options.failure_cooldown, false}, now);
}

void ReplicationSourceSelection::OnStaleReplica(const std::string& address, TimePoint now) {
  SetCooldown(address, {now + m_options.stale_cooldown, true}, now);
}

void ReplicationSourceSelection::OnStoreFailure(int consecutive_failures, TimePoint now) {
  // A single call can fail because its connection was lost.
  const bool is_unhealthy = m_store_failures > 0 || consecutive_failures >= kFailuresUntilCooldown;
  if (!is_unhealthy) return;
  const Duration cooldown = m_options.first_store_cooldown * (1 << m_store_failures);
  m_store_failures = std::min(m_store_failures + 1, kMaxCooldownDoublings);
  SetCooldown(kStore, {now + std::min(cooldown, m_options.max_store_cooldown), false}, now);
}

void ReplicationSourceSelection::OnStoreAnswered(TimePoint now) {
  m_store_failures = 0;
  m_cooldowns.erase(kStore);
  if (now < m_direct_until + m_options.direct_read_time)
    m_direct_until = now + m_options.direct_read_time;
}

void ReplicationSourceSelection::SetCooldown(const std::string& source, const Cooldown& cooldown,
                                             TimePoint now) {
  std::erase_if(m_cooldowns, [now](const auto& entry) { return now >= entry.second.until; });
  m_cooldowns[source] = cooldown;
}

}  // namespace fulmarpoint
