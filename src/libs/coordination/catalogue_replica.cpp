#include "coordination/catalogue_replica.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace fulmarpoint {

namespace {

constexpr Duration kTick = std::chrono::milliseconds(250);
/// Age of the confirmation from which it is renewed through the voters. Head reads renew it every 4
/// to 6 s, so this happens only during an outage of the table service.
constexpr Duration kRenewalAge = std::chrono::milliseconds(6250);
/// Ages from which a poll of a majority becomes more likely. Only a few daemons poll, and the
/// others adopt their confirmation by pinging one voter per timer. Polls by all daemons would
/// exceed the limit on traffic.
constexpr Duration kLikelyPollAge = std::chrono::milliseconds(7500);
constexpr Duration kUrgentPollAge = std::chrono::milliseconds(8500);
/// Expected polls per timer among all voters at these ages, and once the confirmation has expired.
constexpr double kPollsPerTick = 0.5;
constexpr double kLikelyPollsPerTick = 2.0;
constexpr double kUrgentPollsPerTick = 4.0;
constexpr double kFencedPollsPerTick = 0.25;
constexpr Duration kPollInterval = std::chrono::seconds(2);
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
  m_next_poll = now + kPollInterval;
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
  RenewConfirmation(now, actions);
}

void CatalogueReplica::On(const HeadRead& event, TimePoint now, Actions& actions) {
  if (!event.ok) return;
  if (event.revision < m_revision) {
    // The table service answered from a stale state, which confirms nothing.
    ++m_counters.stale_answers;
    return;
  }
  AddConfirmation(event.revision, event.requested_at, now, actions);
  RaiseTarget(event.revision, now, actions);
}

void CatalogueReplica::On(const PeerHead& event, TimePoint now, Actions& actions) {
  const CatalogueHead& head = event.head;
  if (head.revision > m_revision) {
    std::erase(m_announcers, event.peer);
    m_announcers.push_front(event.peer);
    if (m_announcers.size() > kMaxAnnouncers) m_announcers.pop_back();
    RaiseTarget(head.revision, now, actions);
  }
  if (!event.requested_at) return;
  TimePoint date = m_options.mutate_date_confirmation_on_arrival ? now : *event.requested_at;
  const std::vector<InstanceId>& voters = m_voters.current;
  if (std::find(voters.begin(), voters.end(), event.peer) != voters.end()) {
    VoterAnswer& answer = m_voter_answers[event.peer];
    if (date >= answer.requested_at) answer = VoterAnswer{date, head.revision};
    ConfirmByMajority(now, actions);
  }
  if (head.confirmation_age_ms == kNoConfirmation) return;
  date -= std::chrono::milliseconds(head.confirmation_age_ms);
  AddConfirmation(head.revision, date, now, actions);
}

void CatalogueReplica::On(const MajorityReachability& event, TimePoint, Actions&) {
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

void CatalogueReplica::RaiseTarget(std::uint64_t revision, TimePoint now, Actions& actions) {
  if (revision <= m_target) return;
  m_target = revision;
  m_last_source = Source::kNone;
  if (m_target > m_revision && m_fetching == Source::kNone) Fetch(now, actions);
}

void CatalogueReplica::Fetch(TimePoint now, Actions& actions) {
  // The two sources alternate, so that one working source is enough.
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
  std::erase_if(m_voter_answers, [this](const auto& answer) {
    return std::find(m_voters.current.begin(), m_voters.current.end(), answer.first) ==
           m_voters.current.end();
  });
  m_revision = delta.to;
  m_target = std::max(m_target, m_revision);
  actions.emplace_back(std::move(change));
  if (m_pending_confirmation && m_pending_confirmation->revision <= m_revision) {
    const PendingConfirmation pending = *m_pending_confirmation;
    m_pending_confirmation.reset();
    AddConfirmation(pending.revision, pending.date, now, actions);
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

void CatalogueReplica::AddConfirmation(std::uint64_t revision, TimePoint date, TimePoint now,
                                       Actions& actions) {
  if (revision > m_revision) {
    const bool better =
        !m_pending_confirmation || revision < m_pending_confirmation->revision ||
        (revision == m_pending_confirmation->revision && date > m_pending_confirmation->date);
    if (better || now - m_pending_confirmation->date > m_options.confirmation_validity) {
      m_pending_confirmation = PendingConfirmation{revision, date};
    }
    return;
  }
  if (!m_confirmed_at || date > *m_confirmed_at) m_confirmed_at = date;
  UpdateFence(now, actions);
}

void CatalogueReplica::ConfirmByMajority(TimePoint now, Actions& actions) {
  const std::size_t majority = m_voters.current.size() / 2 + 1;
  std::vector<TimePoint> dates;
  for (const InstanceId& voter : m_voters.current) {
    if (voter == m_self) dates.push_back(now);
    const auto answer = m_voter_answers.find(voter);
    if (answer == m_voter_answers.end() || answer->second.revision > m_revision) continue;
    dates.push_back(answer->second.requested_at);
  }
  if (dates.size() < majority) return;
  const auto oldest = dates.begin() + static_cast<std::ptrdiff_t>(majority - 1);
  std::nth_element(dates.begin(), oldest, dates.end(), std::greater<>());
  AddConfirmation(m_revision, *oldest, now, actions);
}

void CatalogueReplica::RenewConfirmation(TimePoint now, Actions& actions) {
  if (m_voters.current.empty() || (m_confirmed_at && now - *m_confirmed_at < kRenewalAge)) return;
  std::vector<InstanceId> voters = m_voters.current;
  std::erase(voters, m_self);
  if (voters.empty()) return;
  std::size_t wanted = 1;
  if (m_majority_reachable && now >= m_next_poll && ShouldPoll(now)) {
    m_next_poll = now + kPollInterval;
    // Ping a quarter more than a majority, so that a few lost answers do not matter.
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

bool CatalogueReplica::ShouldPoll(TimePoint now) {
  const Duration age = m_confirmed_at ? now - *m_confirmed_at : m_options.confirmation_validity;
  double polls = kPollsPerTick;
  if (age >= kLikelyPollAge) polls = kLikelyPollsPerTick;
  if (age >= kUrgentPollAge) polls = kUrgentPollsPerTick;
  // A fenced daemon polls less often; without this limit a partitioned region sends 11 kB/s per
  // daemon.
  if (age > m_options.confirmation_validity) polls = kFencedPollsPerTick;
  const double probability = polls / static_cast<double>(m_voters.current.size());
  return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

bool CatalogueReplica::IsFresh(TimePoint now) const { return now <= FreshUntil(); }

TimePoint CatalogueReplica::FreshUntil() const {
  if (m_options.mutate_skip_fencing) return TimePoint::max();
  return m_confirmed_at ? *m_confirmed_at + m_options.confirmation_validity : TimePoint::min();
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
  bytes += m_voter_answers.size() * (sizeof(VoterAnswer) + sizeof(InstanceId) + kNodeBytes);
  return bytes + (m_voters.current.size() + m_voters.previous.size()) * sizeof(InstanceId);
}

Duration CatalogueReplica::Jittered(Duration base) {
  const Duration::rep fifth = std::max<Duration::rep>(1, base.count() / 5);
  return base - Duration(fifth) + Duration(static_cast<Duration::rep>(m_random() % (2 * fifth)));
}

}  // namespace fulmarpoint
