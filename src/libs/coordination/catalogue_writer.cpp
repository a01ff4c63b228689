#include "coordination/catalogue_writer.h"

#include <algorithm>

namespace fulmarpoint {

namespace {

constexpr std::size_t kMaxDifferences = 50;
/// Members pinged each time the timer fires; 350 members are pinged within 2.5 s.
constexpr std::size_t kPingsPerTick = 40;

}  // namespace

CatalogueWriter::CatalogueWriter(const CatalogueReplica& replica, const Membership& membership,
                                 Options options, std::uint64_t seed)
    : m_replica(replica), m_membership(membership), m_options(options), m_random(seed) {}

void CatalogueWriter::Handle(const Event& event, TimePoint now, std::vector<Action>& actions) {
  std::visit([&](const auto& specific) { On(specific, now, actions); }, event);
}

void CatalogueWriter::On(const Apply& event, TimePoint now, Actions& actions) {
  const bool is_voter_change = m_phase != Phase::kIdle && !m_change.request;
  // If a change of the set of voters is in progress, an operator's change replaces it before it is
  // sent, and otherwise waits until it ends.
  const bool can_be_replaced = is_voter_change && m_phase == Phase::kWaitForAcceptedBase;
  if (m_phase == Phase::kIdle || can_be_replaced) return Begin(event, now, actions);
  if (is_voter_change && !m_waiting_change) {
    m_waiting_change = event;
    if (!m_waiting_change->expected_revision)
      m_waiting_change->expected_revision = m_replica.Revision();
    return;
  }
  actions.emplace_back(ApplyFinished{event.id, {.status = ApplyStatus::kBusy}});
}

void CatalogueWriter::Begin(const Apply& event, TimePoint now, Actions& actions) {
  m_heads.clear();
  m_change = Change{};
  m_change.request = event;
  m_change.base = event.expected_revision.value_or(m_replica.Revision());
  m_change.deadline = now + m_options.write_timeout;
  if (!ReachesEnoughVoters() && !m_options.mutate_accept_without_majority) {
    return Finish(ApplyStatus::kNoMajority, actions);
  }
  if (m_change.base > m_replica.Revision()) {
    m_phase = Phase::kCatchUp;
    m_change.revision = m_change.base;
    actions.emplace_back(RefreshReplica{});
    return;
  }
  StartWrite(now, actions);
}

void CatalogueWriter::StartWrite(TimePoint now, Actions& actions) {
  const std::map<std::string, std::string> changed = ChangedItems();
  if (m_change.request && EntriesChangedSince(m_change.base)) {
    return Finish(ApplyStatus::kConflict, actions);
  }
  if (m_change.request && changed.empty()) {
    m_change.revision = m_replica.Revision();
    return Finish(ApplyStatus::kUnchanged, actions);
  }
  m_change.revision = m_replica.Revision() + 1;
  m_change.write_id = m_random();
  m_change.uncertain = false;
  RevisionRecord record{m_change.revision, m_change.write_id, "voters", 0, {}};
  if (m_change.request) {
    record.author = m_change.request->author;
    record.at = m_change.request->at;
  }
  std::vector<TableOperation> operations;
  AddItem(operations, kHeadKey, "");
  for (const auto& [key, value] : changed) {
    AddItem(operations, key, value);
    record.keys.push_back(key);
  }
  operations.push_back({kCatalogueHistoryTable, HistoryKey(m_change.revision), 0, ToJson(record)});
  m_change.operations = std::move(operations);
  SendWrite(now, actions);
}

std::map<std::string, std::string> CatalogueWriter::ChangedItems() const {
  std::map<std::string, std::string> items;
  if (!m_change.request) {
    items[kVotersKey] = ToJson(VoterSet{m_change.new_voters, m_replica.Voters().current});
    return items;
  }
  std::set<ServiceName> services(m_change.request->removed.begin(),
                                 m_change.request->removed.end());
  for (const CatalogueEntry& entry : m_change.request->entries) {
    services.insert(entry.service);
    items.merge(ItemsOf(entry));
  }
  // Rows of these services that the request does not contain are removed.
  for (const auto& [key, item] : m_replica.Items()) {
    if (services.contains(ServiceOf(key))) items.try_emplace(key, "");
  }
  std::erase_if(items, [this](const auto& item) {
    const auto known = m_replica.Items().find(item.first);
    const std::string& value = known == m_replica.Items().end() ? "" : known->second.value;
    return value == item.second;
  });
  if (!items.empty() && m_replica.Voters().current.empty()) {
    items[kVotersKey] = ToJson(VoterSet{DesiredVoters(), {}});
  }
  return items;
}

void CatalogueWriter::AddItem(std::vector<TableOperation>& operations, const std::string& key,
                              const std::string& value) const {
  const auto known = m_replica.Items().find(key);
  const std::uint64_t expect = known == m_replica.Items().end() ? 0 : known->second.row_version;
  const CatalogueItem item{key, m_change.revision, 0, value};
  operations.push_back({kCatalogueTable, key, expect, EncodeRow(item)});
}

void CatalogueWriter::SendWrite(TimePoint now, Actions& actions) {
  m_phase = Phase::kWrite;
  m_change.call_id = m_random();
  m_change.retry_at = now + m_options.write_timeout;
  actions.emplace_back(WriteTransaction{m_change.call_id, m_change.operations});
}

void CatalogueWriter::On(const WriteResult& event, TimePoint now, Actions& actions) {
  if (m_phase != Phase::kWrite || event.token != m_change.call_id) return;
  switch (event.outcome) {
    case TableOutcome::kDone:
      return OnCommitted(now, actions);
    case TableOutcome::kConflict:
      // After an attempt without an answer, the conflict may be with that attempt itself.
      if (m_change.uncertain) return ReadBack(now, actions);
      return OnConflict(now, actions);
    case TableOutcome::kUnknown:
      if (m_options.mutate_trust_lost_answer) return OnCommitted(now, actions);
      m_change.uncertain = true;
      return ReadBack(now, actions);
  }
}

void CatalogueWriter::ReadBack(TimePoint now, Actions& actions) {
  m_phase = Phase::kReadBack;
  m_change.call_id = m_random();
  m_change.retry_at = now + m_options.write_timeout;
  actions.emplace_back(ReadHistory{m_change.call_id, HistoryKey(m_change.revision)});
}

void CatalogueWriter::On(const HistoryRead& event, TimePoint now, Actions& actions) {
  if (m_phase != Phase::kReadBack || event.token != m_change.call_id) return;
  if (!event.ok) {
    m_change.retry_at = now + m_options.retry_interval;
    return;
  }
  // Retry the same transaction; its comparison of the head lets at most one attempt take effect.
  if (!event.row) return SendWrite(now, actions);
  const Parsed<RevisionRecord> record = ParseRevisionRecord(event.row->value);
  if (record && record.Value().write == m_change.write_id) return OnCommitted(now, actions);
  OnConflict(now, actions);
}

void CatalogueWriter::OnCommitted(TimePoint now, Actions& actions) {
  actions.emplace_back(Committed{m_change.revision});
  m_change.deadline = now + m_options.confirm_timeout;
  m_change.retry_at = now;
  m_next_ping = 0;
  m_phase = m_change.request ? Phase::kConfirm : Phase::kIdle;
}

void CatalogueWriter::OnConflict(TimePoint now, Actions& actions) {
  if (!m_change.request) {
    m_phase = Phase::kIdle;
    return;
  }
  // The other change may concern only the set of voters. Catch up, then compare the entries.
  m_phase = Phase::kCatchUp;
  m_change.retry_at = now;
  actions.emplace_back(RefreshReplica{});
}

void CatalogueWriter::On(const TimerFired&, TimePoint now, Actions& actions) {
  switch (m_phase) {
    case Phase::kIdle: {
      if (!m_waiting_change) return UpdateVoters(now, actions);
      const Apply waiting = *m_waiting_change;
      m_waiting_change.reset();
      return Begin(waiting, now, actions);
    }
    case Phase::kWaitForAcceptedBase:
      if (IsAccepted(m_replica.Revision()) || m_options.mutate_change_voters_before_accepted) {
        return StartWrite(now, actions);
      }
      if (now >= m_change.deadline) {
        m_phase = Phase::kIdle;
        return;
      }
      return PingMembersWithoutRevision(m_replica.Revision(), now, actions);
    case Phase::kWrite:
    case Phase::kReadBack:
      if (now >= m_change.deadline) return Finish(ApplyStatus::kOutcomeUnknown, actions);
      if (m_phase == Phase::kReadBack && now >= m_change.retry_at) ReadBack(now, actions);
      return;
    case Phase::kCatchUp:
      return ContinueCatchUp(now, actions);
    case Phase::kConfirm:
      return ContinueConfirm(now, actions);
  }
}

void CatalogueWriter::ContinueCatchUp(TimePoint now, Actions& actions) {
  if (m_replica.Revision() >= m_change.revision) return StartWrite(now, actions);
  if (now >= m_change.deadline) return Finish(ApplyStatus::kBusy, actions);
  if (now < m_change.retry_at) return;
  m_change.retry_at = now + m_options.retry_interval;
  actions.emplace_back(RefreshReplica{});
}

void CatalogueWriter::ContinueConfirm(TimePoint now, Actions& actions) {
  const bool accepted = IsAccepted(m_change.revision) || m_options.mutate_report_all_in_effect;
  const bool complete = accepted && IsComplete(now);
  if (complete || now >= m_change.deadline) {
    return Finish(accepted ? ApplyStatus::kAccepted : ApplyStatus::kCommittedNotAccepted, actions);
  }
  PingMembersWithoutRevision(m_change.revision, now, actions);
}

bool CatalogueWriter::IsComplete(TimePoint now) const {
  const TimePoint committed = m_change.deadline - m_options.confirm_timeout;
  const bool waits_for_all = now - committed < m_options.unreachable_wait;
  const ApplyReport report = Report(ApplyStatus::kAccepted);
  // Daemons that the membership does not reach are waited for only up to `unreachable_wait`.
  return std::none_of(report.unknown.begin(), report.unknown.end(), [&](const InstanceId& id) {
    return waits_for_all || m_membership.Reaches(id);
  });
}

void CatalogueWriter::PingMembersWithoutRevision(std::uint64_t revision, TimePoint now,
                                                 Actions& actions) {
  if (now < m_change.retry_at) return;
  std::vector<InstanceId> waiting;
  for (const auto& [name, member] : m_membership.Members()) {
    const InstanceId& id = member.info.id;
    if (!m_membership.IsGone(id) && !HasRevision(id, revision)) waiting.push_back(id);
  }
  if (m_next_ping >= waiting.size()) {
    // Every member was pinged once; wait for the answers before the next round.
    m_next_ping = 0;
    m_change.retry_at = now + m_options.retry_interval;
  }
  const std::size_t end = std::min(waiting.size(), m_next_ping + kPingsPerTick);
  for (; m_next_ping < end; ++m_next_ping) {
    actions.emplace_back(PingMember{waiting[m_next_ping]});
  }
}

void CatalogueWriter::On(const PeerHead& event, TimePoint, Actions&) {
  if (m_phase == Phase::kIdle) return;
  CatalogueHead& known = m_heads[event.peer];
  if (event.head.revision >= known.revision) known = event.head;
}

void CatalogueWriter::UpdateVoters(TimePoint now, Actions& actions) {
  if (now < m_next_voter_check) return;
  const Duration::rep interval = m_options.voter_check_interval.count();
  m_next_voter_check =
      now + Duration(interval / 2 + static_cast<Duration::rep>(m_random() % interval));
  if (m_replica.Voters().current.empty() || !m_replica.IsFresh(now)) return;
  std::vector<InstanceId> wanted = DesiredVoters();
  std::vector<InstanceId> current = m_replica.Voters().current;
  std::sort(current.begin(), current.end());
  if (wanted == current || !IsElectedToChangeVoters()) return;
  m_heads.clear();
  m_change = Change{};
  m_change.new_voters = std::move(wanted);
  m_change.deadline = now + m_options.write_timeout;
  m_phase = Phase::kWaitForAcceptedBase;
  m_next_ping = 0;
  PingMembersWithoutRevision(m_replica.Revision(), now, actions);
}

std::vector<InstanceId> CatalogueWriter::DesiredVoters() const {
  std::set<InstanceId> wanted;
  // A failed voter stays a voter until it is certain that its process no longer runs.
  for (const InstanceId& voter : m_replica.Voters().current) {
    if (!m_membership.IsGone(voter)) wanted.insert(voter);
  }
  if (!m_membership.Self().leaving) wanted.insert(m_membership.Self().id);
  for (const auto& [name, member] : m_membership.Members()) {
    // Only a listed daemon becomes a voter, because only its absence from later lists shows that it
    // is gone.
    if (m_membership.HasInstanceList() && !member.was_listed) continue;
    const bool leaving = member.info.leaving || member.list_leaving;
    if (!leaving && m_membership.Reaches(member.info.id)) wanted.insert(member.info.id);
  }
  return {wanted.begin(), wanted.end()};
}

bool CatalogueWriter::IsElectedToChangeVoters() const {
  // It is harmless if two daemons consider themselves elected, because the head is compared.
  const std::uint64_t own = StableHash(m_membership.Self().id.name);
  for (const auto& [name, member] : m_membership.Members()) {
    if (m_membership.Reaches(member.info.id) && StableHash(name) < own) return false;
  }
  return true;
}

bool CatalogueWriter::EntriesChangedSince(std::uint64_t revision) const {
  for (const auto& [key, item] : m_replica.Items()) {
    if (item.revision > revision && !ServiceOf(key).empty()) return true;
  }
  return false;
}

std::vector<FieldDifference> CatalogueWriter::Differences() const {
  std::vector<FieldDifference> differences;
  const auto add = [&](const CatalogueEntry* in_effect, const CatalogueEntry* proposed) {
    for (FieldDifference& difference :
         CompareEntries(in_effect, proposed, kMaxDifferences - differences.size())) {
      differences.push_back(std::move(difference));
    }
  };
  for (const CatalogueEntry& entry : m_change.request->entries) {
    add(m_replica.Entry(entry.service).get(), &entry);
  }
  for (const ServiceName& service : m_change.request->removed) {
    add(m_replica.Entry(service).get(), nullptr);
  }
  return differences;
}

bool CatalogueWriter::HasRevision(const InstanceId& id, std::uint64_t revision) const {
  if (id == m_membership.Self().id) return m_replica.Revision() >= revision;
  const auto head = m_heads.find(id);
  return head != m_heads.end() && head->second.revision >= revision;
}

bool CatalogueWriter::IsAccepted(std::uint64_t revision) const {
  // The sets of voters are those of the replica, which must itself have the revision.
  if (m_replica.Revision() < revision) return false;
  const auto has = [&](const InstanceId& id) {
    return HasRevision(id, revision) || m_membership.IsGone(id);
  };
  const VoterSet& voters = m_replica.Voters();
  return ExcludesOtherMajority(voters.current, has) && ExcludesOtherMajority(voters.previous, has);
}

bool CatalogueWriter::ReachesEnoughVoters() const {
  const auto has = [this](const InstanceId& id) {
    return m_membership.Reaches(id) || m_membership.IsGone(id);
  };
  const VoterSet& voters = m_replica.Voters();
  return ExcludesOtherMajority(voters.current, has) && ExcludesOtherMajority(voters.previous, has);
}

ApplyReport CatalogueWriter::Report(ApplyStatus status) const {
  ApplyReport report;
  report.status = status;
  report.revision = m_change.revision;
  if (status == ApplyStatus::kConflict) report.differences = Differences();
  const bool written =
      status == ApplyStatus::kAccepted || status == ApplyStatus::kCommittedNotAccepted;
  if (!written) return report;
  std::vector<InstanceId> ids = {m_membership.Self().id};
  for (const auto& [name, member] : m_membership.Members()) {
    if (!m_membership.IsGone(member.info.id)) ids.push_back(member.info.id);
  }
  for (const InstanceId& id : ids) {
    const auto head = m_heads.find(id);
    if (HasRevision(id, m_change.revision) || m_options.mutate_report_all_in_effect) {
      report.in_effect.push_back(id);
    } else if (head != m_heads.end() && head->second.fenced) {
      report.fenced.push_back(id);
    } else {
      report.unknown.push_back(id);
    }
  }
  return report;
}

void CatalogueWriter::Finish(ApplyStatus status, Actions& actions) {
  m_phase = Phase::kIdle;
  if (!m_change.request) return;
  actions.emplace_back(ApplyFinished{m_change.request->id, Report(status)});
  m_heads.clear();
}

}  // namespace fulmarpoint
