#include "coordination/replication_source_selection.h"

#include <algorithm>
#include <tuple>

#include "protocol/identifiers.h"

namespace fulmarpoint {

namespace {

const std::string kStore;
constexpr int kMostRestDoublings = 10;
constexpr int kFailuresUntilTrouble = 2;

/// A daemon as a reader: strong ones come first, then the order of a hash, so that all daemons
/// rank alike.
struct Standing {
  const PeerRecord* record = nullptr;
  std::uint64_t hash = 0;

  bool operator<(const Standing& other) const {
    return std::make_tuple(-record->cores, hash, std::cref(record->name)) <
           std::make_tuple(-other.record->cores, other.hash, std::cref(other.record->name));
  }
};

Standing StandingOf(const PeerRecord& record) { return {&record, StableHash(record.name)}; }

}  // namespace

struct ReplicationSourceSelection::Ranking {
  /// Sources in the order in which they are chosen; the store is among them for a reader.
  std::vector<std::string> sources;
  /// How many of them belong to the own failure domain.
  std::size_t near = 0;
  bool is_reader = false;
};

std::string ReplicationSourceSelection::Choose(const PeerRecord& self,
                                               const std::vector<PeerRecord>& peers, bool has_copy,
                                               TimePoint now) {
  const std::size_t fleet = peers.size() + 1;
  if (fleet < m_options.min_fleet) return kStore;
  const Ranking ranking = Rank(self, peers);
  if (ranking.is_reader && !has_copy) return kStore;
  const std::size_t eligible = has_copy ? ranking.sources.size() : ranking.near;
  for (std::size_t index = 0; index < eligible; ++index) {
    if (IsResting(ranking.sources[index], now)) continue;
    m_next_trial = TimePoint{};
    return ranking.sources[index];
  }
  if (!has_copy) return kStore;
  if (!ranking.is_reader && IsTrialDue(self, fleet, now)) return kStore;
  return LongestResting(ranking.sources);
}

/// Of sources in trouble the one that was asked longest ago may be well again. A reader that does
/// not answer is not asked again before its rest is over.
std::string ReplicationSourceSelection::LongestResting(
    const std::vector<std::string>& sources) const {
  const std::string* best = &kStore;
  TimePoint soonest = TimePoint::max();
  for (const std::string& source : sources) {
    const Rest& rest = m_rests.at(source);
    const bool may_answer = rest.answers || source == kStore;
    if (!may_answer || rest.until >= soonest) continue;
    best = &source;
    soonest = rest.until;
  }
  return *best;
}

ReplicationSourceSelection::Ranking ReplicationSourceSelection::Rank(
    const PeerRecord& self, const std::vector<PeerRecord>& peers) const {
  std::vector<Standing> own = {StandingOf(self)};
  std::map<std::string, Standing> best_elsewhere;
  for (const PeerRecord& peer : peers) {
    const Standing standing = StandingOf(peer);
    if (peer.failure_domain == self.failure_domain) {
      own.push_back(standing);
      continue;
    }
    const auto [known, is_first] = best_elsewhere.try_emplace(peer.failure_domain, standing);
    if (!is_first && standing < known->second) known->second = standing;
  }
  std::sort(own.begin(), own.end());
  own.resize(std::min(own.size(), m_options.readers_per_domain));
  Ranking ranking;
  for (const Standing& reader : own) {
    const bool is_self = reader.record == &self;
    ranking.is_reader = ranking.is_reader || is_self;
    ranking.sources.push_back(is_self ? kStore : reader.record->peer_address);
  }
  ranking.near = ranking.sources.size();
  // Daemons in trouble spread over the other domains.
  std::vector<std::pair<std::uint64_t, const PeerRecord*>> foreign;
  foreign.reserve(best_elsewhere.size());
  for (const auto& [domain, reader] : best_elsewhere) {
    foreign.emplace_back(StableHash(self.name + "/" + domain), reader.record);
  }
  std::sort(foreign.begin(), foreign.end());
  foreign.resize(std::min(foreign.size(), m_options.foreign_readers));
  for (const auto& [hash, reader] : foreign) ranking.sources.push_back(reader->peer_address);
  return ranking;
}

bool ReplicationSourceSelection::IsResting(const std::string& source, TimePoint now) const {
  const auto found = m_rests.find(source);
  return found != m_rests.end() && now < found->second.until;
}

/// The trials of a fleet are spread over the interval.
bool ReplicationSourceSelection::IsTrialDue(const PeerRecord& self, std::size_t fleet,
                                            TimePoint now) {
  if (now < m_direct_until) return true;
  const Duration interval =
      std::max(m_options.trial_interval,
               m_options.trial_interval_per_daemon * static_cast<Duration::rep>(fleet));
  if (m_next_trial == TimePoint{}) {
    const auto count = static_cast<std::uint64_t>(interval.count());
    m_next_trial = now + Duration(static_cast<Duration::rep>(StableHash(self.name) % count));
  }
  if (now < m_next_trial) return false;
  m_next_trial = now + interval;
  m_direct_until = now + m_options.trial_time;
  return true;
}

void ReplicationSourceSelection::OnFailure(const std::string& address, TimePoint now) {
  SetRest(address, {now + m_options.failed_rest, false}, now);
}

void ReplicationSourceSelection::OnOldCopy(const std::string& address, TimePoint now) {
  SetRest(address, {now + m_options.old_rest, true}, now);
}

void ReplicationSourceSelection::OnStoreFailure(int in_a_row, TimePoint now) {
  // A single call may be lost with its connection.
  const bool is_in_trouble = m_store_failures > 0 || in_a_row >= kFailuresUntilTrouble;
  if (!is_in_trouble) return;
  const Duration rest = m_options.first_store_rest * (1 << m_store_failures);
  m_store_failures = std::min(m_store_failures + 1, kMostRestDoublings);
  SetRest(kStore, {now + std::min(rest, m_options.longest_store_rest), false}, now);
}

void ReplicationSourceSelection::OnStoreAnswered(TimePoint now) {
  m_store_failures = 0;
  m_rests.erase(kStore);
  if (now < m_direct_until + m_options.direct_time) m_direct_until = now + m_options.direct_time;
}

void ReplicationSourceSelection::SetRest(const std::string& source, const Rest& rest,
                                         TimePoint now) {
  std::erase_if(m_rests, [now](const auto& entry) { return now >= entry.second.until; });
  m_rests[source] = rest;
}

}  // namespace fulmarpoint
