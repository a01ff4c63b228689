#include "coordination/endpoint_reachability.h"

#include <algorithm>
#include <set>
#include <utility>

namespace fulmarpoint {

void EndpointReachability::OnConnected(const EndpointId& endpoint, TimePoint now) {
  m_pending_probes.erase(endpoint);
  if (!IsIsolated()) {
    m_failures.clear();
    m_pending_probes.clear();
    return;
  }
  m_failures.erase(endpoint);
  m_recovered[endpoint] = now;
  std::erase_if(m_recovered,
                [&](const auto& entry) { return now - entry.second > m_options.failure_window; });
  const std::size_t needed =
      std::min(m_options.successes_before_recovery, std::max<std::size_t>(1, m_known_count));
  if (m_recovered.size() < needed) {
    // The next probe follows at once.
    m_last_probe.reset();
    return;
  }
  m_isolated_since.reset();
  m_failures.clear();
  m_recovered.clear();
  m_pending_probes.clear();
}

void EndpointReachability::OnConnectFailed(const ReachabilityCandidate& endpoint, TimePoint now) {
  m_pending_probes.erase(endpoint.id);
  m_recovered.erase(endpoint.id);
  ForgetOldFailures(now);
  if (m_failures.empty()) m_first_failure = now;
  m_failures[endpoint.id] = {endpoint.service, endpoint.failure_domain, now};
}

/// While isolated, failures are kept: only probes produce new ones.
void EndpointReachability::ForgetOldFailures(TimePoint now) {
  if (IsIsolated()) return;
  std::erase_if(m_failures, [&](const auto& entry) {
    return now - entry.second.at > m_options.failure_window;
  });
}

std::vector<EndpointId> EndpointReachability::TakeProbes(
    const std::vector<ReachabilityCandidate>& known, TimePoint now) {
  m_known_count = known.size();
  ForgetOldFailures(now);
  std::erase_if(m_pending_probes, [&](const auto& entry) { return now >= entry.second; });
  CheckIsolation(known);
  const bool is_due = !m_last_probe || now - *m_last_probe >= m_options.probe_interval;
  if (known.empty() || !is_due || !m_pending_probes.empty()) return {};
  if (!MayBeIsolated()) return {};
  std::vector<EndpointId> probes;
  if (IsIsolated()) {
    probes.push_back(NextRecoveryProbe(known).id);
  } else {
    probes = ChooseSuspicionProbes(known);
  }
  if (probes.empty()) return {};
  m_last_probe = now;
  for (const EndpointId& id : probes) m_pending_probes[id] = now + m_options.probe_timeout;
  return probes;
}

/// While the number of endpoints is unknown, a failure may concern the only one.
bool EndpointReachability::MayBeIsolated() const {
  const std::size_t needed =
      std::min(m_options.failures_before_probes, std::max<std::size_t>(1, m_known_count));
  return IsIsolated() || m_failures.size() >= needed;
}

std::optional<TimePoint> EndpointReachability::NextProbe() const {
  if (!MayBeIsolated()) return std::nullopt;
  return m_last_probe ? *m_last_probe + m_options.probe_interval : TimePoint{};
}

/// Endpoints of one service can fail together while all others are reachable, so the daemon is not
/// isolated before the probes of others have failed too.
void EndpointReachability::CheckIsolation(const std::vector<ReachabilityCandidate>& known) {
  if (IsIsolated() || known.empty() || !m_pending_probes.empty()) return;
  std::set<std::string> known_domains;
  std::size_t untried = 0;
  for (const ReachabilityCandidate& candidate : known) {
    known_domains.insert(candidate.failure_domain);
    if (m_failures.count(candidate.id) == 0) ++untried;
  }
  std::set<std::string> failed_domains;
  for (const auto& [id, failure] : m_failures) failed_domains.insert(failure.failure_domain);
  const std::size_t failures_needed = std::min(m_options.failures_before_isolation, known.size());
  const std::size_t domains_needed = std::min<std::size_t>(2, known_domains.size());
  const bool is_probed = m_last_probe && *m_last_probe >= m_first_failure;
  const bool is_isolated = m_failures.size() >= failures_needed &&
                           failed_domains.size() >= domains_needed && (is_probed || untried == 0);
  if (!is_isolated) return;
  m_isolated_since = m_first_failure;
  m_recovered.clear();
}

/// Chooses endpoints that have not failed, of services and failure domains that are least
/// represented among the failed and the chosen ones.
std::vector<EndpointId> EndpointReachability::ChooseSuspicionProbes(
    const std::vector<ReachabilityCandidate>& known) const {
  std::map<std::string, int> services;
  std::map<std::string, int> domains;
  for (const auto& [id, failure] : m_failures) {
    ++services[failure.service];
    ++domains[failure.failure_domain];
  }
  std::vector<const ReachabilityCandidate*> untried;
  for (const ReachabilityCandidate& candidate : known) {
    if (m_failures.count(candidate.id) == 0) untried.push_back(&candidate);
  }
  std::vector<EndpointId> chosen;
  while (chosen.size() < m_options.probes_per_suspicion && !untried.empty()) {
    const auto represented = [&](const ReachabilityCandidate* candidate) {
      return services[candidate->service] + domains[candidate->failure_domain];
    };
    const auto best =
        std::min_element(untried.begin(), untried.end(),
                         [&](const ReachabilityCandidate* one, const ReachabilityCandidate* other) {
                           return represented(one) < represented(other);
                         });
    ++services[(*best)->service];
    ++domains[(*best)->failure_domain];
    chosen.push_back((*best)->id);
    untried.erase(best);
  }
  return chosen;
}

const ReachabilityCandidate& EndpointReachability::NextRecoveryProbe(
    const std::vector<ReachabilityCandidate>& known) {
  const ReachabilityCandidate* first = &known.front();
  const ReachabilityCandidate* next = nullptr;
  for (const ReachabilityCandidate& candidate : known) {
    if (candidate.id < first->id) first = &candidate;
    const bool follows = candidate.id > m_rotation && (next == nullptr || candidate.id < next->id);
    if (follows) next = &candidate;
  }
  const ReachabilityCandidate& chosen = next == nullptr ? *first : *next;
  m_rotation = chosen.id;
  return chosen;
}

}  // namespace fulmarpoint
