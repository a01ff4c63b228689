#include "coordination/catalogue_replica.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace fulmarpoint {

namespace {

constexpr Duration kTick = std::chrono::milliseconds(250);
/// Age of the proof from which it is renewed through the voters. Head reads renew it every 4 to 6
/// s, so that this happens only without the table service.
constexpr Duration kAskAge = std::chrono::milliseconds(6250);
/// Ages from which a poll of a majority becomes more likely. Few daemons poll, and the others take
/// over their proof by asking one voter per timer; polls of all would exceed the limit on traffic.
constexpr Duration kLikelyPollAge = std::chrono::milliseconds(7500);
constexpr Duration kUrgentPollAge = std::chrono::milliseconds(8500);
/// Polls expected per timer among all voters at these ages, and once the proof has run out.
constexpr double kPollsPerTick = 0.5;
constexpr double kLikelyPollsPerTick = 2.0;
constexpr double kUrgentPollsPerTick = 4.0;
constexpr double kFencedPollsPerTick = 0.25;
constexpr Duration kPollPause = std::chrono::seconds(2);
constexpr std::size_t kMaxAnnouncers = 4;

}  // namespace

CatalogueReplica::CatalogueReplica(InstanceId self, Options options, std::uint64_t seed)
    : m_self(std::move(self)), m_options(options), m_random(seed) {}

void CatalogueReplica::Handle(const Event& event, TimePoint now, std::vector<Action>& actions) {
  std::visit([&](const auto& specific) { On(specific, now, actions); }, event);
  UpdateFence(now, actions);
}

void CatalogueReplica::On(const Start&, TimePoint now, Actions& actions) {
  m_next_head_read = now + Jittered(m_options.head_interval);
  m_next_poll = now + kPollPause;
  ++m_counters.head_reads;
  actions.emplace_back(ReadHead{});
  actions.emplace_back(SetTimer{now + Jittered(kTick)});
}

void CatalogueReplica::On(const TimerFired&, TimePoint now, Actions& actions) {
  actions.emplace_back(SetTimer{now + kTick});
  if (now >= m_next_head_read) {
    m_next_head_read = now + Jittered(m_options.head_interval);
    ++m_counters.head_reads;
    actions.emplace_back(ReadHead{});
  }
  if (m_fetching != Source::kNone && now >= m_fetch_deadline) m_fetching = Source::kNone;
  if (m_target > m_revision && m_fetching == Source::kNone) Fetch(now, actions);
  RenewProof(now, actions);
}

void CatalogueReplica::On(const HeadRead& event, TimePoint now, Actions& actions) {
  if (!event.ok) return;
  if (event.revision < m_revision) {
    // The table service answered from an old state; this proves nothing.
    ++m_counters.stale_answers;
    return;
  }
  AddProof(event.revision, event.asked_at, now, actions);
  LearnTarget(event.revision, now, actions);
}

void CatalogueReplica::On(const PeerHead& event, TimePoint now, Actions& actions) {
  const CatalogueHead& head = event.head;
  if (head.revision > m_revision) {
    std::erase(m_announcers, event.peer);
    m_announcers.push_front(event.peer);
    if (m_announcers.size() > kMaxAnnouncers) m_announcers.pop_back();
    LearnTarget(head.revision, now, actions);
  }
  if (!event.asked_at) return;
  TimePoint date = m_options.mutate_date_proof_on_arrival ? now : *event.asked_at;
  const std::vector<InstanceId>& voters = m_voters.current;
  if (std::find(voters.begin(), voters.end(), event.peer) != voters.end()) {
    Heard& heard = m_heard[event.peer];
    if (date >= heard.asked_at) heard = Heard{date, head.revision};
    ProveByMajority(now, actions);
  }
  if (head.confirmation_age_ms == kNoConfirmation) return;
  date -= std::chrono::milliseconds(head.confirmation_age_ms);
  AddProof(head.revision, date, now, actions);
}

void CatalogueReplica::On(const MajorityView& event, TimePoint, Actions&) {
  m_majority_reachable = event.reachable;
}

void CatalogueReplica::On(const PeerDelta& event, TimePoint now, Actions& actions) {
  if (m_fetching == Source::kPeer) m_fetching = Source::kNone;
  if (!event.ok) {
    std::erase(m_announcers, event.peer);
    if (m_target > m_revision && m_fetching == Source::kNone) Fetch(now, actions);
    return;
  }
  Apply(event.delta, now, actions);
}

void CatalogueReplica::On(const StoreDelta& event, TimePoint now, Actions& actions) {
  if (m_fetching == Source::kStore) m_fetching = Source::kNone;
  if (!event.ok) return;
  CatalogueDelta delta;
  delta.items = event.items;
  for (const CatalogueItem& item : event.items) {
    if (item.key == kHeadKey) delta.to = item.revision;
  }
  Apply(delta, now, actions);
  if (delta.to <= m_revision) m_table_version = std::max(m_table_version, event.table_version);
}

void CatalogueReplica::On(const StoreCommitted& event, TimePoint now, Actions& actions) {
  m_target = std::max(m_target, event.revision);
  if (m_target > m_revision) FetchStore(now, actions);
}

void CatalogueReplica::On(const Refresh&, TimePoint, Actions& actions) {
  ++m_counters.head_reads;
  actions.emplace_back(ReadHead{});
}

void CatalogueReplica::LearnTarget(std::uint64_t revision, TimePoint now, Actions& actions) {
  if (revision <= m_target) return;
  m_target = revision;
  m_last_source = Source::kNone;
  if (m_target > m_revision && m_fetching == Source::kNone) Fetch(now, actions);
}

void CatalogueReplica::Fetch(TimePoint now, Actions& actions) {
  // The two sources alternate, so that either alone suffices.
  if (!m_announcers.empty() && m_last_source != Source::kPeer) {
    m_fetching = m_last_source = Source::kPeer;
    m_fetch_deadline = now + m_options.fetch_timeout;
    ++m_counters.peer_fetches;
    actions.emplace_back(FetchFromPeer{m_announcers.front(), m_revision});
    std::rotate(m_announcers.begin(), m_announcers.begin() + 1, m_announcers.end());
    return;
  }
  FetchStore(now, actions);
}

void CatalogueReplica::FetchStore(TimePoint now, Actions& actions) {
  m_fetching = m_last_source = Source::kStore;
  m_fetch_deadline = now + m_options.fetch_timeout;
  ++m_counters.store_fetches;
  actions.emplace_back(FetchFromStore{m_table_version});
}

bool CatalogueReplica::Apply(const CatalogueDelta& delta, TimePoint now, Actions& actions) {
  if (m_options.mutate_accept_lower_revision ? delta.to == m_revision : delta.to <= m_revision) {
    ++m_counters.stale_answers;
    return false;
  }
  if (delta.from > m_revision) return false;
  std::map<std::string, CatalogueItem> updates;
  std::set<ServiceName> services;
  for (const CatalogueItem& item : delta.items) {
    const auto known = m_items.find(item.key);
    if (known != m_items.end() && known->second.revision >= item.revision) continue;
    if (item.revision > delta.to) return false;
    updates[item.key] = item;
    const ServiceName service = ServiceOf(item.key);
    if (!service.empty()) services.insert(service);
  }
  VoterSet voters = m_voters;
  const auto new_voters = updates.find(kVotersKey);
  if (new_voters != updates.end()) {
    const Parsed<VoterSet> parsed = ParseVoterSet(new_voters->second.value);
    if (!parsed) return ++m_counters.rejected_deltas, false;
    voters = parsed.Value();
  }
  std::map<ServiceName, CatalogueEntryPtr> rebuilt;
  if (!RebuildEntries({services.begin(), services.end()}, updates, rebuilt)) {
    ++m_counters.rejected_deltas;
    return false;
  }
  RevisionChanged change{delta.to, {}, {}};
  for (const auto& [service, entry] : rebuilt) {
    if (entry) {
      m_entries[service] = entry;
      change.changed.push_back(entry);
    } else if (m_entries.erase(service) > 0) {
      change.removed.push_back(service);
    }
  }
  for (auto& [key, item] : updates) m_items[key] = std::move(item);
  m_voters = std::move(voters);
  std::erase_if(m_heard, [this](const auto& heard) {
    return std::find(m_voters.current.begin(), m_voters.current.end(), heard.first) ==
           m_voters.current.end();
  });
  m_revision = delta.to;
  m_target = std::max(m_target, m_revision);
  actions.emplace_back(std::move(change));
  if (m_pending_proof && m_pending_proof->revision <= m_revision) {
    const PendingProof pending = *m_pending_proof;
    m_pending_proof.reset();
    AddProof(pending.revision, pending.date, now, actions);
  }
  return true;
}

bool CatalogueReplica::RebuildEntries(const std::vector<ServiceName>& services,
                                      const std::map<std::string, CatalogueItem>& updates,
                                      std::map<ServiceName, CatalogueEntryPtr>& rebuilt) const {
  for (const ServiceName& service : services) {
    std::map<std::string, const CatalogueItem*> parts;
    const std::string base_key = "entry/" + service;
    const std::string shard_prefix = "orgs/" + service + "/";
    const auto gather = [&](const std::map<std::string, CatalogueItem>& items) {
      const auto base = items.find(base_key);
      if (base != items.end()) parts[base_key] = &base->second;
      for (auto item = items.lower_bound(shard_prefix);
           item != items.end() && item->first.starts_with(shard_prefix); ++item) {
        parts[item->first] = &item->second;
      }
    };
    gather(m_items);
    gather(updates);
    const auto base = parts.find(base_key);
    if (base == parts.end() || base->second->value.empty()) {
      rebuilt[service] = nullptr;
      continue;
    }
    Parsed<CatalogueEntry> entry = ParseCatalogueEntryJson(base->second->value);
    if (!entry) return false;
    for (const auto& [key, item] : parts) {
      entry.Value().revision = std::max(entry.Value().revision, item->revision);
      if (key == base_key || item->value.empty()) continue;
      Parsed<CatalogueEntry> shard = ParseCatalogueEntryJson(item->value);
      if (!shard) return false;
      std::vector<OrganisationAccess>& all = entry.Value().organisations;
      std::move(shard.Value().organisations.begin(), shard.Value().organisations.end(),
                std::back_inserter(all));
    }
    rebuilt[service] = std::make_shared<const CatalogueEntry>(std::move(entry.Value()));
  }
  return true;
}

void CatalogueReplica::AddProof(std::uint64_t revision, TimePoint date, TimePoint now,
                                Actions& actions) {
  if (revision > m_revision) {
    const bool better = !m_pending_proof || revision < m_pending_proof->revision ||
                        (revision == m_pending_proof->revision && date > m_pending_proof->date);
    if (better || now - m_pending_proof->date > m_options.proof_limit) {
      m_pending_proof = PendingProof{revision, date};
    }
    return;
  }
  if (!m_proof || date > *m_proof) m_proof = date;
  UpdateFence(now, actions);
}

void CatalogueReplica::ProveByMajority(TimePoint now, Actions& actions) {
  const std::size_t majority = m_voters.current.size() / 2 + 1;
  std::vector<TimePoint> dates;
  for (const InstanceId& voter : m_voters.current) {
    if (voter == m_self) dates.push_back(now);
    const auto heard = m_heard.find(voter);
    if (heard == m_heard.end() || heard->second.revision > m_revision) continue;
    dates.push_back(heard->second.asked_at);
  }
  if (dates.size() < majority) return;
  const auto oldest = dates.begin() + static_cast<std::ptrdiff_t>(majority - 1);
  std::nth_element(dates.begin(), oldest, dates.end(), std::greater<>());
  AddProof(m_revision, *oldest, now, actions);
}

void CatalogueReplica::RenewProof(TimePoint now, Actions& actions) {
  if (m_voters.current.empty() || (m_proof && now - *m_proof < kAskAge)) return;
  std::vector<InstanceId> voters = m_voters.current;
  std::erase(voters, m_self);
  if (voters.empty()) return;
  std::size_t wanted = 1;
  if (m_majority_reachable && now >= m_next_poll && DecidesToPoll(now)) {
    m_next_poll = now + kPollPause;
    // A quarter more than a majority is asked, so that a few lost answers do not matter.
    const std::size_t majority = m_voters.current.size() / 2 + 1;
    wanted = std::max<std::size_t>(majority + majority / 4, majority + 2);
  }
  wanted = std::min(wanted, voters.size());
  for (std::size_t i = 0; i < wanted; ++i) {
    std::swap(voters[i], voters[i + m_random() % (voters.size() - i)]);
    ++m_counters.voter_pings;
    actions.emplace_back(PingVoter{voters[i]});
  }
}

bool CatalogueReplica::DecidesToPoll(TimePoint now) {
  const Duration age = m_proof ? now - *m_proof : m_options.proof_limit;
  double polls = kPollsPerTick;
  if (age >= kLikelyPollAge) polls = kLikelyPollsPerTick;
  if (age >= kUrgentPollAge) polls = kUrgentPollsPerTick;
  // A fenced daemon is in no hurry; without this limit a parted region sends 11 kB/s per daemon.
  if (age > m_options.proof_limit) polls = kFencedPollsPerTick;
  const double probability = polls / static_cast<double>(m_voters.current.size());
  return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

bool CatalogueReplica::IsFresh(TimePoint now) const { return now <= FreshUntil(); }

TimePoint CatalogueReplica::FreshUntil() const {
  if (m_options.mutate_skip_fencing) return TimePoint::max();
  return m_proof ? *m_proof + m_options.proof_limit : TimePoint::min();
}

bool CatalogueReplica::MayServe(const CatalogueEntry& entry, TimePoint now) const {
  return IsFresh(now) || entry.when_stale == StalePolicy::kServe;
}

void CatalogueReplica::UpdateFence(TimePoint now, Actions& actions) {
  const bool fenced = !IsFresh(now);
  if (fenced == m_fenced) return;
  m_fenced = fenced;
  actions.emplace_back(FenceChanged{fenced});
}

CatalogueEntryPtr CatalogueReplica::Entry(const ServiceName& service) const {
  const auto entry = m_entries.find(service);
  return entry == m_entries.end() ? nullptr : entry->second;
}

CatalogueDelta CatalogueReplica::DeltaSince(std::uint64_t from) const {
  CatalogueDelta delta{from, m_revision, {}};
  for (const auto& [key, item] : m_items) {
    if (item.revision > from) delta.items.push_back(item);
  }
  return delta;
}

CatalogueDelta CatalogueReplica::DeltaPage(std::uint64_t from, const std::string& cursor,
                                           std::size_t max_bytes, bool& is_last) const {
  CatalogueDelta delta{from, m_revision, {}};
  std::size_t bytes = 0;
  is_last = false;
  for (auto item = m_items.upper_bound(cursor); item != m_items.end(); ++item) {
    if (item->second.revision <= from) continue;
    if (bytes >= max_bytes) return delta;
    bytes += item->first.size() + item->second.value.size();
    delta.items.push_back(item->second);
  }
  is_last = true;
  return delta;
}

std::size_t CatalogueReplica::StateBytes() const {
  constexpr std::size_t kNodeBytes = 64;
  std::size_t bytes = sizeof *this;
  for (const auto& [key, item] : m_items) {
    bytes += 2 * key.size() + item.value.size() + sizeof(CatalogueItem) + kNodeBytes;
  }
  for (const auto& [service, entry] : m_entries) {
    bytes += sizeof(CatalogueEntry) + kNodeBytes;
    for (const OrganisationAccess& access : entry->organisations) {
      bytes += sizeof access + access.organisation.size() + 1;
      for (const std::string& hash : access.key_hashes) {
        bytes += sizeof(std::string) + hash.size() + 1;
      }
    }
  }
  bytes += m_heard.size() * (sizeof(Heard) + sizeof(InstanceId) + kNodeBytes);
  return bytes + (m_voters.current.size() + m_voters.previous.size()) * sizeof(InstanceId);
}

Duration CatalogueReplica::Jittered(Duration base) {
  const Duration::rep fifth = std::max<Duration::rep>(1, base.count() / 5);
  return base - Duration(fifth) + Duration(static_cast<Duration::rep>(m_random() % (2 * fifth)));
}

}  // namespace fulmarpoint
