#include "state/rollout_table.h"

#include <set>
#include <utility>
#include <variant>

namespace fulmarpoint {

namespace {

template <typename Wanted>
std::vector<Wanted> Take(std::vector<RolloutParticipant::Action>& actions) {
  std::vector<Wanted> result;
  for (RolloutParticipant::Action& action : actions) {
    if (Wanted* wanted = std::get_if<Wanted>(&action)) result.push_back(std::move(*wanted));
  }
  return result;
}

}  // namespace

void RolloutTable::SetEntries(const std::vector<CatalogueEntry>& entries) {
  const std::lock_guard lock(m_mutex);
  std::set<ServiceName> active;
  for (const CatalogueEntry& entry : entries) {
    if (!entry.rollout) continue;
    active.insert(entry.service);
    std::unique_ptr<RolloutParticipant>& participant = m_participants[entry.service];
    if (participant && participant->Rollout().id == entry.rollout->id) continue;
    participant = std::make_unique<RolloutParticipant>(m_self, entry.service, *entry.rollout);
  }
  std::erase_if(m_participants, [&](const auto& item) { return !active.contains(item.first); });
}

VersionName RolloutTable::ChooseVersion(const CatalogueEntry& entry, int new_endpoints,
                                        TimePoint now) {
  const std::lock_guard lock(m_mutex);
  auto found = m_participants.find(entry.service);
  if (found == m_participants.end()) return entry.version;
  RolloutParticipant& participant = *found->second;
  if (participant.Rollout().from != entry.version) return entry.version;
  return participant.ChooseNewVersion(new_endpoints, now) ? participant.Rollout().to
                                                          : entry.version;
}

void RolloutTable::UndoChoice(const ServiceName& service) {
  const std::lock_guard lock(m_mutex);
  auto found = m_participants.find(service);
  if (found != m_participants.end()) found->second->UndoChoice();
}

bool RolloutTable::MayUse(const ServiceName& service, const VersionName& version,
                          const EndpointId& endpoint) const {
  const std::lock_guard lock(m_mutex);
  auto found = m_participants.find(service);
  if (found == m_participants.end() || found->second->Rollout().to != version) return true;
  return found->second->MayUse(endpoint);
}

std::optional<BadVersionNotice> RolloutTable::AddOutcome(const ServiceName& service,
                                                         const VersionName& version,
                                                         VersionOutcome outcome, TimePoint now) {
  const std::lock_guard lock(m_mutex);
  auto found = m_participants.find(service);
  if (found == m_participants.end()) return std::nullopt;
  const RolloutRequest& rollout = found->second->Rollout();
  if (version != rollout.from && version != rollout.to) return std::nullopt;
  outcome.new_version = version == rollout.to;
  std::vector<RolloutParticipant::Action> actions;
  found->second->Handle(RolloutParticipant::OutcomeSeen{std::move(outcome)}, now, actions);
  const std::vector<RolloutParticipant::PublishGossip> notices =
      Take<RolloutParticipant::PublishGossip>(actions);
  if (notices.empty()) return std::nullopt;
  return notices.front().notice;
}

bool RolloutTable::AddNotice(const BadVersionNotice& notice, TimePoint now) {
  const std::lock_guard lock(m_mutex);
  RolloutParticipant* participant = FindByRollout(notice.rollout);
  if (participant == nullptr || participant->KnownBad()) return false;
  std::vector<RolloutParticipant::Action> actions;
  participant->Handle(RolloutParticipant::GossipReceived{notice}, now, actions);
  return true;
}

std::optional<BadVersionNotice> RolloutTable::BadNotice(const std::string& rollout) const {
  const std::lock_guard lock(m_mutex);
  const RolloutParticipant* participant = FindByRollout(rollout);
  return participant == nullptr ? std::nullopt : participant->BadNotice();
}

void RolloutTable::AddDirective(const RolloutDirective& directive, TimePoint now) {
  const std::lock_guard lock(m_mutex);
  RolloutParticipant* participant = FindByRollout(directive.rollout);
  if (participant == nullptr) return;
  std::vector<RolloutParticipant::Action> actions;
  participant->Handle(RolloutParticipant::DirectiveReceived{directive}, now, actions);
}

std::vector<RolloutReport> RolloutTable::Tick(TimePoint now) {
  const std::lock_guard lock(m_mutex);
  std::vector<RolloutReport> reports;
  for (auto& [service, participant] : m_participants) {
    std::vector<RolloutParticipant::Action> actions;
    participant->Handle(RolloutParticipant::Tick{}, now, actions);
    for (RolloutParticipant::SendReport& send : Take<RolloutParticipant::SendReport>(actions)) {
      reports.push_back(std::move(send.report));
    }
  }
  return reports;
}

std::vector<RolloutRequest> RolloutTable::Rollouts() const {
  const std::lock_guard lock(m_mutex);
  std::vector<RolloutRequest> rollouts;
  for (const auto& [service, participant] : m_participants) {
    rollouts.push_back(participant->Rollout());
  }
  return rollouts;
}

RolloutParticipant* RolloutTable::FindByRollout(const std::string& rollout) const {
  for (const auto& [service, participant] : m_participants) {
    if (participant->Rollout().id == rollout) return participant.get();
  }
  return nullptr;
}

}  // namespace fulmarpoint
