#include "coordination/endpoint_directory.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "protocol/identifiers.h"

namespace fulmarpoint {

namespace {

constexpr int kMaxCoolDownDoublings = 5;
// What is known of a process that is no longer listed is kept for this time.
constexpr Duration kStatementLifetime = std::chrono::minutes(10);
// Short, because a full endpoint has room again when the next request there ends.
constexpr Duration kRejectionCoolDown = std::chrono::milliseconds(100);

// High enough that two slow prompts in a row show, while a single one may be an outlier.
constexpr double kSlownessSampleWeight = 0.5;
constexpr double kMaxSlowness = 8.0;
constexpr Duration kSlownessLifetime = std::chrono::seconds(6);

// Least time between the statements of a service's endpoints that are passed on to the others.
constexpr Duration kServiceStatementInterval = std::chrono::seconds(1);

constexpr Duration kReportedLoadDecay = std::chrono::seconds(2);

// Mean time that a neighbour holds a report back before it is sent.
constexpr Duration kPeerPaceAge = std::chrono::milliseconds(250);

constexpr double kPercent = 100.0;
// Neighbours are told of a pace that differs from the last one by this fraction, and of any other
// after some time, so that they do not consider it outdated.
constexpr double kPaceDifference = 0.1;
constexpr Duration kPaceRepetition = std::chrono::seconds(2);

std::uint16_t PercentOf(const EnginePace& pace) {
  return static_cast<std::uint16_t>(std::lround(pace.Reported() * kPercent));
}

/// Identifies the endpoint's process between daemons.
std::uint64_t ProcessHash(const EndpointRecord& record) {
  return StableHash(record.id, static_cast<std::uint64_t>(record.incarnation));
}

bool IsPaceDue(const DirectoryEndpoint& endpoint, TimePoint now) {
  const PaceSharing& sharing = endpoint.pace_sharing;
  if (!sharing.is_due) return false;
  if (sharing.percent == 0 || now - sharing.sent_at >= kPaceRepetition) return true;
  const double difference = std::abs(PercentOf(endpoint.pace) - sharing.percent);
  return difference >= kPaceDifference * sharing.percent;
}

bool MayReceive(const DirectoryEndpoint& endpoint, TimePoint now) {
  return !endpoint.IsDraining() && now >= endpoint.NextRequestAt() && !endpoint.HasEnded(now);
}

}  // namespace

double DirectoryEndpoint::RecentSlowness(TimePoint now) const {
  return now - slowness_seen < kSlownessLifetime ? slowness : 1.0;
}

double DirectoryEndpoint::EstimatedRequests(TimePoint now) const {
  const std::chrono::duration<double> age = std::max(now - load_seen, Duration::zero());
  const double left = std::exp(-age / std::chrono::duration<double>(kReportedLoadDecay));
  const double reported = static_cast<double>(load.running) + static_cast<double>(load.waiting);
  return std::max(static_cast<double>(Requests()), reported * left);
}

void EndpointUsage::Add(const EndpointUse& use) {
  pending_prefill_tokens += use.pending_prefill_tokens;
  kv_cache_tokens += use.kv_cache_tokens;
  if (use.takes_slot) ++requests;
}

void EndpointUsage::Remove(const EndpointUse& use) {
  pending_prefill_tokens =
      std::max<std::int64_t>(0, pending_prefill_tokens - use.pending_prefill_tokens);
  kv_cache_tokens = std::max<std::int64_t>(0, kv_cache_tokens - use.kv_cache_tokens);
  if (use.takes_slot) requests = std::max(0, requests - 1);
}

void EndpointDirectory::Put(const EndpointRecord& record, TimePoint now) {
  DirectoryEndpoint& endpoint = m_endpoints[record.id];
  RemoveFromIndexes(endpoint.record);
  const EndpointRecord before = std::exchange(endpoint.record, record);
  AddToIndexes(endpoint);
  endpoint.gone_at.reset();
  endpoint.doubted_until = TimePoint{};
  m_listed[record.id] = {record.incarnation, record.draining, std::nullopt};
  ApplyStatement(endpoint);
  const bool is_same_process =
      before.incarnation == record.incarnation && before.address == record.address;
  if (!is_same_process) endpoint.is_refuted = false;
  ResolveSharedAddress(before.address, now);
  ResolveSharedAddress(record.address, now);
  if (is_same_process) return;
  // Failures and load of the previous process do not apply to a new one.
  endpoint.failures = 0;
  endpoint.cool_down_until = TimePoint{};
  endpoint.suspected_until = TimePoint{};
  endpoint.slowness = 1.0;
  endpoint.own_failure.reset();
  endpoint.latest_failure.reset();
  endpoint.load = EndpointLoad{};
  endpoint.load_seen = TimePoint{};
  endpoint.pace = EnginePace();
  endpoint.pace_sharing = PaceSharing();
  endpoint.ramp.OnStarted(now);
}

void EndpointDirectory::PutRestored(EndpointRecord record, TimePoint now) {
  const auto found = m_listed.find(record.id);
  const ListedProcess before = found == m_listed.end() ? ListedProcess() : found->second;
  const bool is_known = found != m_listed.end();
  if (is_known && record.incarnation < before.incarnation) {
    // The later process writes its row again if it lives.
    if (m_endpoints.contains(record.id)) Remove(record.id, now + m_options.restored_row_doubt);
    return;
  }
  const bool is_same_process = is_known && record.incarnation == before.incarnation;
  if (is_same_process) record.draining = record.draining || before.is_draining;
  Put(record, now);
  const bool has_ended = is_same_process && before.gone_at && *before.gone_at <= now;
  if (!has_ended) return;
  m_listed[record.id].gone_at = before.gone_at;
  m_endpoints[record.id].doubted_until = now + m_options.restored_row_doubt;
}

void EndpointDirectory::SetServices(std::set<ServiceName> services, TimePoint now) {
  if (m_services == services) return;
  m_services = std::move(services);
  for (const auto& [address, endpoints] : m_by_address) ResolveSharedAddress(address, now);
}

bool EndpointDirectory::ClaimsAddress(const DirectoryEndpoint& endpoint, TimePoint now) const {
  const bool is_gone = endpoint.gone_at && *endpoint.gone_at <= now;
  const bool has_service = !m_services || m_services->count(endpoint.record.service) > 0;
  return !is_gone && !endpoint.is_refuted && has_service;
}

/// Of the endpoints that claim the address, marks those of earlier processes as displaced. Rows may
/// arrive in any order, so the highest incarnation has the address.
void EndpointDirectory::ResolveSharedAddress(const std::string& address, TimePoint now) {
  const auto found = m_by_address.find(address);
  if (found == m_by_address.end()) return;
  std::int64_t latest = std::numeric_limits<std::int64_t>::min();
  for (const auto& [id, endpoint] : found->second) {
    if (ClaimsAddress(*endpoint, now)) latest = std::max(latest, endpoint->record.incarnation);
  }
  for (const auto& [id, endpoint] : found->second) {
    endpoint->is_displaced = endpoint->record.incarnation < latest;
  }
}

void EndpointDirectory::Remove(const EndpointId& id, TimePoint at) {
  const auto found = m_endpoints.find(id);
  if (found == m_endpoints.end()) return;
  found->second.gone_at = at;
  m_listed[id].gone_at = at;
}

void EndpointDirectory::OnFailure(const EndpointId& id, TimePoint now) {
  const auto found = m_endpoints.find(id);
  if (found == m_endpoints.end()) return;
  DirectoryEndpoint& endpoint = found->second;
  endpoint.own_failure = now;
  endpoint.ramp.OnFailed(now);
  Suspect(endpoint, now);
  // Failures during the cool-down count as the same failure, because concurrent requests fail
  // together.
  if (now < endpoint.cool_down_until) return;
  const int doublings = std::min(endpoint.failures++, kMaxCoolDownDoublings);
  StartCoolDown(
      id, now + std::min(m_options.max_cool_down, m_options.first_cool_down * (1 << doublings)));
}

void EndpointDirectory::OnPathRestored(TimePoint since, TimePoint now) {
  for (auto& [id, endpoint] : m_endpoints) {
    if (!endpoint.own_failure || *endpoint.own_failure < since) continue;
    endpoint.failures = 0;
    endpoint.own_failure.reset();
    endpoint.suspected_until = TimePoint{};
    endpoint.cool_down_until = std::min(endpoint.cool_down_until, now);
  }
}

std::vector<ReachabilityCandidate> EndpointDirectory::ProbeCandidates(TimePoint now) const {
  std::vector<ReachabilityCandidate> candidates;
  for (const auto& [id, endpoint] : m_endpoints) {
    if (endpoint.IsDraining() || endpoint.HasEnded(now)) continue;
    candidates.push_back({id, endpoint.record.service, endpoint.record.failure_domain});
  }
  return candidates;
}

void EndpointDirectory::OnPeerFailure(const EndpointId& id, TimePoint now) {
  const auto found = m_endpoints.find(id);
  if (found != m_endpoints.end()) Suspect(found->second, now);
}

std::vector<EndpointId> EndpointDirectory::FailedSince(TimePoint since) const {
  std::vector<EndpointId> failed;
  for (const auto& [id, endpoint] : m_endpoints) {
    if (endpoint.own_failure && *endpoint.own_failure >= since) failed.push_back(id);
  }
  return failed;
}

/// Marks the endpoint as suspected, and all endpoints of its service in its failure domain if
/// enough of them failed recently.
void EndpointDirectory::Suspect(DirectoryEndpoint& endpoint, TimePoint now) {
  endpoint.latest_failure = now;
  endpoint.suspected_until = now + m_options.suspicion_time;
  const auto is_near = [&](const DirectoryEndpoint& other) {
    return other.record.service == endpoint.record.service &&
           other.record.failure_domain == endpoint.record.failure_domain;
  };
  std::size_t failed = 0;
  for (const auto& [id, other] : m_endpoints) {
    const bool failed_too =
        other.latest_failure && now - *other.latest_failure <= m_options.domain_failure_window;
    if (is_near(other) && failed_too) ++failed;
  }
  if (failed < m_options.domain_failures) return;
  for (auto& [id, other] : m_endpoints) {
    if (is_near(other)) other.suspected_until = endpoint.suspected_until;
  }
}

void EndpointDirectory::OnMisdirected(const EndpointId& id, TimePoint now) {
  StartCoolDown(id, now + m_options.misdirected_cool_down);
  const auto found = m_endpoints.find(id);
  if (found == m_endpoints.end()) return;
  found->second.is_refuted = true;
  ResolveSharedAddress(found->second.record.address, now);
}

void EndpointDirectory::OnRejected(const EndpointId& id, TimePoint now) {
  const auto found = m_endpoints.find(id);
  if (found == m_endpoints.end()) return;
  DirectoryEndpoint& endpoint = found->second;
  endpoint.rejections.OnRejected(now);
  StartCoolDown(id,
                now + std::max(kRejectionCoolDown, endpoint.rejections.PauseAfterRejection(now)));
  endpoint.ramp.OnRejected(now);
}

void EndpointDirectory::OnRejectionLimit(const EndpointRecord& record, std::optional<int> limit,
                                         std::size_t daemons, TimePoint now) {
  const auto found = m_endpoints.find(record.id);
  if (found == m_endpoints.end()) return;
  DirectoryEndpoint& endpoint = found->second;
  if (endpoint.record.incarnation != record.incarnation) return;
  const bool is_news = endpoint.rejections.OnStatement(
      {limit, endpoint.record.slots, daemons, endpoint.own.requests}, now);
  if (!is_news) return;
  TimePoint& stated_at = m_brittle_services[record.service];
  if (!limit || now - stated_at < kServiceStatementInterval) return;
  stated_at = now;
  for (auto& [id, other] : m_by_service[record.service]) other->rejections.OnServiceStatement(now);
}

void EndpointDirectory::OnSuccess(const EndpointId& id) {
  const auto found = m_endpoints.find(id);
  if (found == m_endpoints.end()) return;
  found->second.failures = 0;
  found->second.suspected_until = TimePoint{};
}

void EndpointDirectory::OnLeaving(const EndpointRecord& record, TimePoint now) {
  if (ProcessStatement* statement = StatementOf(record, now)) statement->is_leaving = true;
  const auto found = m_endpoints.find(record.id);
  if (found != m_endpoints.end()) ApplyStatement(found->second);
}

void EndpointDirectory::OnRetryAfter(const EndpointRecord& record, TimePoint until, TimePoint now) {
  if (ProcessStatement* statement = StatementOf(record, now)) {
    statement->wanted_from = std::max(statement->wanted_from, until);
  }
  const auto found = m_endpoints.find(record.id);
  if (found != m_endpoints.end()) ApplyStatement(found->second);
}

/// Returns the statement of the process to change; null if a later process has made one.
EndpointDirectory::ProcessStatement* EndpointDirectory::StatementOf(const EndpointRecord& record,
                                                                    TimePoint now) {
  ProcessStatement& statement = m_statements[record.id];
  if (record.incarnation < statement.incarnation) return nullptr;
  if (record.incarnation > statement.incarnation) statement = ProcessStatement();
  statement.incarnation = record.incarnation;
  statement.stated_at = now;
  return &statement;
}

void EndpointDirectory::ApplyStatement(DirectoryEndpoint& endpoint) const {
  const auto found = m_statements.find(endpoint.record.id);
  const bool is_stated =
      found != m_statements.end() && found->second.incarnation == endpoint.record.incarnation;
  endpoint.is_leaving = is_stated && found->second.is_leaving;
  endpoint.wanted_from = is_stated ? found->second.wanted_from : TimePoint{};
}

void EndpointDirectory::OnFirstEvent(const EndpointId& id, double ratio, TimePoint now) {
  const auto found = m_endpoints.find(id);
  if (found == m_endpoints.end()) return;
  DirectoryEndpoint& endpoint = found->second;
  const double sample = std::clamp(ratio, 1.0 / kMaxSlowness, kMaxSlowness);
  endpoint.slowness =
      endpoint.RecentSlowness(now) * (1 - kSlownessSampleWeight) + sample * kSlownessSampleWeight;
  endpoint.slowness_seen = now;
  endpoint.ramp.OnReply(ratio, now);
}

void EndpointDirectory::OnLoad(const EndpointRecord& record, const EndpointLoad& load,
                               TimePoint at) {
  const auto found = m_endpoints.find(record.id);
  if (found == m_endpoints.end()) return;
  DirectoryEndpoint& endpoint = found->second;
  const bool is_same_process = endpoint.record.incarnation == record.incarnation;
  if (!is_same_process || at <= endpoint.load_seen) return;
  endpoint.load = load;
  endpoint.load_seen = at;
  const bool has_room = load.waiting == 0 && load.running < load.slots;
  if (has_room) endpoint.rejections.OnRoom(endpoint.own.requests, at);
  if (!load.pace) return;
  endpoint.pace.OnReport(*load.pace, at);
  endpoint.pace_sharing.is_due = endpoint.pace.HasReport();
}

void EndpointDirectory::OnPeerPace(const EndpointPace& pace, TimePoint now) {
  const auto found = m_by_process.find(pace.process);
  if (found == m_by_process.end()) return;
  found->second->pace.OnReport(pace.percent / kPercent, now - kPeerPaceAge);
}

std::vector<EndpointPace> EndpointDirectory::TakeNewPaces(TimePoint now) {
  std::vector<DirectoryEndpoint*> due;
  for (auto& [id, endpoint] : m_endpoints) {
    if (IsPaceDue(endpoint, now)) due.push_back(&endpoint);
  }
  // Those that do not fit are among the first next time.
  std::stable_sort(due.begin(), due.end(), [](const auto* one, const auto* other) {
    return one->pace_sharing.sent_at < other->pace_sharing.sent_at;
  });
  if (due.size() > kMaxPaceEntries) due.resize(kMaxPaceEntries);
  std::vector<EndpointPace> paces;
  for (DirectoryEndpoint* endpoint : due) {
    endpoint->pace_sharing = {false, PercentOf(endpoint->pace), now};
    paces.push_back({ProcessHash(endpoint->record), endpoint->pace_sharing.percent});
  }
  return paces;
}

void EndpointDirectory::OnRequestSent(const EndpointId& id, TimePoint now) {
  const auto found = m_endpoints.find(id);
  if (found != m_endpoints.end()) found->second.ramp.OnSent(now);
}

void EndpointDirectory::OnCallLatency(const EndpointId& id, double ratio, TimePoint now) {
  const auto found = m_endpoints.find(id);
  if (found != m_endpoints.end()) found->second.ramp.OnReply(ratio, now);
}

void EndpointDirectory::OnErrorReply(const EndpointId& id, TimePoint now) {
  const auto found = m_endpoints.find(id);
  if (found != m_endpoints.end()) found->second.ramp.OnFailed(now);
}

void EndpointDirectory::AddUse(const EndpointUse& use) {
  const auto found = m_endpoints.find(use.endpoint);
  if (found != m_endpoints.end()) found->second.own.Add(use);
}

void EndpointDirectory::RemoveUse(const EndpointUse& use) {
  const auto found = m_endpoints.find(use.endpoint);
  if (found != m_endpoints.end()) found->second.own.Remove(use);
}

void EndpointDirectory::SetPeerUses(const std::string& peer, std::vector<EndpointUse> uses) {
  std::vector<EndpointUse>& known = m_peer_uses[peer];
  for (const EndpointUse& use : known) {
    const auto found = m_endpoints.find(use.endpoint);
    if (found != m_endpoints.end()) found->second.peers.Remove(use);
  }
  for (const EndpointUse& use : uses) {
    const auto found = m_endpoints.find(use.endpoint);
    if (found != m_endpoints.end()) found->second.peers.Add(use);
  }
  known = std::move(uses);
  if (known.empty()) m_peer_uses.erase(peer);
}

std::vector<const DirectoryEndpoint*> EndpointDirectory::Usable(const ServiceName& service,
                                                                TimePoint now) const {
  std::vector<const DirectoryEndpoint*> usable;
  const auto found = m_by_service.find(service);
  if (found == m_by_service.end()) return usable;
  for (const auto& [id, endpoint] : found->second) {
    if (MayReceive(*endpoint, now)) usable.push_back(endpoint);
  }
  return usable;
}

std::vector<const DirectoryEndpoint*> EndpointDirectory::Staying(const ServiceName& service,
                                                                 TimePoint now) const {
  std::vector<const DirectoryEndpoint*> staying;
  const auto found = m_by_service.find(service);
  if (found == m_by_service.end()) return staying;
  for (const auto& [id, endpoint] : found->second) {
    if (!endpoint->IsDraining() && !endpoint->HasEnded(now)) staying.push_back(endpoint);
  }
  return staying;
}

bool EndpointDirectory::ReportsPace(const ServiceName& service) const {
  const auto found = m_by_service.find(service);
  if (found == m_by_service.end()) return false;
  return std::any_of(found->second.begin(), found->second.end(),
                     [](const auto& entry) { return entry.second->pace.HasReport(); });
}

std::optional<TimePoint> EndpointDirectory::NextCoolDownEnd(const ServiceName& service,
                                                            TimePoint now) const {
  std::optional<TimePoint> next;
  const auto found = m_by_service.find(service);
  if (found == m_by_service.end()) return next;
  for (const auto& [id, endpoint] : found->second) {
    const TimePoint end = endpoint->NextRequestAt();
    if (endpoint->IsDraining() || endpoint->HasEnded(now) || end <= now) continue;
    next = next ? std::min(*next, end) : end;
  }
  return next;
}

bool EndpointDirectory::IsUnwanted(const ServiceName& service, TimePoint until,
                                   TimePoint now) const {
  const auto found = m_by_service.find(service);
  if (found == m_by_service.end()) return false;
  bool has_endpoint = false;
  for (const auto& [id, endpoint] : found->second) {
    if (endpoint->IsDraining() || endpoint->HasEnded(now)) continue;
    if (endpoint->wanted_from <= until) return false;
    has_endpoint = true;
  }
  return has_endpoint;
}

bool EndpointDirectory::HasVersion(const ServiceName& service, const VersionChoice& choice) const {
  const auto found = m_by_service.find(service);
  if (found == m_by_service.end()) return false;
  return std::any_of(found->second.begin(), found->second.end(), [&](const auto& entry) {
    const DirectoryEndpoint& endpoint = *entry.second;
    const bool is_listed = !endpoint.gone_at && !endpoint.is_displaced;
    return is_listed && !endpoint.IsDraining() && choice.Admits(endpoint.record.version);
  });
}

const DirectoryEndpoint* EndpointDirectory::Find(const EndpointId& id) const {
  const auto found = m_endpoints.find(id);
  return found == m_endpoints.end() ? nullptr : &found->second;
}

bool EndpointDirectory::IsUsable(const EndpointId& id, TimePoint now) const {
  const DirectoryEndpoint* endpoint = Find(id);
  return endpoint != nullptr && MayReceive(*endpoint, now);
}

bool EndpointDirectory::IsDraining(const EndpointId& id) const {
  const DirectoryEndpoint* endpoint = Find(id);
  return endpoint == nullptr || endpoint->IsDraining();
}

bool EndpointDirectory::IsIntact(const EndpointRecord& record, TimePoint since) const {
  const DirectoryEndpoint* endpoint = Find(record.id);
  if (endpoint == nullptr || endpoint->gone_at || endpoint->is_displaced) return false;
  if (endpoint->IsDraining()) return false;
  if (endpoint->record.incarnation != record.incarnation) return false;
  return !endpoint->latest_failure || *endpoint->latest_failure < since;
}

bool EndpointDirectory::IsSuspected(const EndpointId& id, TimePoint now) const {
  const DirectoryEndpoint* endpoint = Find(id);
  return endpoint == nullptr || now < endpoint->suspected_until;
}

void EndpointDirectory::Forget(TimePoint now) {
  std::erase_if(m_listed, [now](const auto& entry) {
    const std::optional<TimePoint>& gone_at = entry.second.gone_at;
    return gone_at && now - *gone_at > kStatementLifetime;
  });
  std::erase_if(m_statements, [&](const auto& entry) {
    const ProcessStatement& statement = entry.second;
    return m_endpoints.count(entry.first) == 0 &&
           now - std::max(statement.stated_at, statement.wanted_from) > kStatementLifetime;
  });
  for (auto it = m_endpoints.begin(); it != m_endpoints.end();) {
    const DirectoryEndpoint& endpoint = it->second;
    const bool is_gone = endpoint.gone_at && now >= *endpoint.gone_at;
    if (!is_gone) {
      ++it;
      continue;
    }
    // Others at the address may have been displaced by this one.
    const std::string address = endpoint.record.address;
    if (endpoint.Requests() > 0) {
      ++it;
    } else {
      RemoveFromIndexes(endpoint.record);
      it = m_endpoints.erase(it);
    }
    ResolveSharedAddress(address, now);
  }
}

void EndpointDirectory::AddToIndexes(DirectoryEndpoint& endpoint) {
  const EndpointRecord& record = endpoint.record;
  m_by_service[record.service][record.id] = &endpoint;
  m_by_address[record.address][record.id] = &endpoint;
  m_by_process[ProcessHash(record)] = &endpoint;
}

void EndpointDirectory::RemoveFromIndexes(const EndpointRecord& record) {
  const auto remove = [&record](Index& index, const std::string& key) {
    const auto found = index.find(key);
    if (found == index.end()) return;
    found->second.erase(record.id);
    if (found->second.empty()) index.erase(found);
  };
  remove(m_by_service, record.service);
  remove(m_by_address, record.address);
  m_by_process.erase(ProcessHash(record));
}

void EndpointDirectory::StartCoolDown(const EndpointId& id, TimePoint until) {
  const auto found = m_endpoints.find(id);
  if (found == m_endpoints.end()) return;
  found->second.cool_down_until = std::max(found->second.cool_down_until, until);
}

}  // namespace fulmarpoint
