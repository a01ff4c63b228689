#include "relay/relay_context.h"

#include <utility>

#include "coordination/endpoint_ramp_filter.h"
#include "relay/relay_rollouts.h"

namespace fulmarpoint {

namespace {

/// Returns whether an error of a connection can be caused by the path to the endpoint. Others are
/// local, such as a lack of descriptors or a caller that has left.
bool IsPathFailure(const std::error_code& error) {
  return error == std::errc::timed_out || error == std::errc::connection_refused ||
         error == std::errc::connection_reset || error == std::errc::connection_aborted ||
         error == std::errc::host_unreachable || error == std::errc::network_unreachable;
}

FleetRetryQuota::Limits RetryLimitsOf(const RelaySettings& settings) {
  return {settings.retry_share, settings.retry_slack, settings.retry_window};
}

}  // namespace

RelayContext::RelayContext(RelaySettings own_settings, RelayWire own_wire, Store own_store,
                           Executor own_executor, std::uint64_t seed)
    : settings(std::move(own_settings)),
      wire(std::move(own_wire)),
      store(std::move(own_store)),
      executor(std::move(own_executor)),
      random(seed),
      incarnation(static_cast<std::uint64_t>(WallNow()) * 1000 + seed % 1000),
      freshness(settings.key_revocation_time, settings.when_freshness_expired),
      peers(settings.name, PeerDirectory::Options()),
      reply_memory(settings.max_body_bytes) {}

void RelayContext::SetSettings(RelaySettings changed) {
  settings = std::move(changed);
  freshness.SetLimits(settings.key_revocation_time, settings.when_freshness_expired);
  reply_memory.SetLimit(settings.max_body_bytes);
  for (auto& [service, quota] : m_retry_quotas) {
    quota.SetLimits(RetryLimitsOf(settings), SteadyNow());
  }
}

bool RelayContext::IsServing() const {
  return table != nullptr && endpoints.Size() > 0 && freshness.Permits(BootNow());
}

bool RelayContext::ShouldRedirect() const {
  return reachability.IsIsolated() && !peers.CallerAddresses(SteadyNow()).empty();
}

void RelayContext::OnConnectionEnded(const EndpointRecord& endpoint, const std::error_code& error) {
  if (error && !IsPathFailure(error)) {
    reachability.OnInconclusive(endpoint.id);
    return;
  }
  const bool is_news = error || reachability.FailedEndpoints() > 0 || reachability.IsIsolated();
  if (error) {
    reachability.OnConnectFailed({endpoint.id, endpoint.service, endpoint.failure_domain},
                                 SteadyNow());
  } else {
    reachability.OnConnected(endpoint.id, SteadyNow());
  }
  if (is_news && on_reachability_evidence) on_reachability_evidence();
}

Duration RelayContext::ExpectedPrefillTime(const ServiceName& service,
                                           std::int64_t prompt_tokens) const {
  const auto found = m_prefill_rates.find(service);
  if (found == m_prefill_rates.end()) return Duration::zero();
  return found->second.EstimateTimeToFirstEvent(prompt_tokens).value_or(Duration::zero());
}

std::vector<const DirectoryEndpoint*> RelayContext::UsableFor(const ServiceName& service,
                                                              const VersionChoice& choice) const {
  std::vector<const DirectoryEndpoint*> usable = UsableForVersion(service, choice);
  const RelayService* configured = table ? table->FindService(service) : nullptr;
  const bool is_ramped =
      configured != nullptr && configured->engine && endpoints.ReportsPace(service);
  if (!is_ramped) return usable;
  const RampFleet fleet{peers.Size() + 1, peers.View(),
                        choice.use_new_version ? choice.version : VersionName()};
  return WithoutRampLimited(usable, fleet, SteadyNow());
}

std::vector<const DirectoryEndpoint*> RelayContext::UsableForVersion(
    const ServiceName& service, const VersionChoice& choice) const {
  std::vector<const DirectoryEndpoint*> usable = endpoints.Usable(service, SteadyNow());
  if (choice.version.empty()) return usable;
  const auto admits = [&](const VersionChoice& wanted) {
    std::vector<const DirectoryEndpoint*> admitted;
    for (const DirectoryEndpoint* endpoint : usable) {
      const bool may_run =
          wanted.Admits(endpoint->record.version) &&
          (!wanted.use_new_version || rollouts->MayUse(service, endpoint->record.id));
      if (may_run) admitted.push_back(endpoint);
    }
    return admitted;
  };
  std::vector<const DirectoryEndpoint*> admitted = admits(choice);
  if (!admitted.empty()) return admitted;
  if (choice.may_fall_back) return admits({choice.version, !choice.use_new_version, false});
  // If no endpoint has an admitted version any more, the request uses whichever version is left.
  return endpoints.HasVersion(service, choice) ? admitted : usable;
}

void RelayContext::OnEndpointFailure(const EndpointId& id) {
  endpoints.OnFailure(id, SteadyNow());
  if (on_heartbeat_payload_changed) on_heartbeat_payload_changed();
}

bool RelayContext::HasContentionControl(const RelayTable& configuration,
                                        const ServiceName& service) const {
  return settings.queues_streams &&
         (configuration.PriorityLevels(service) > 1 || endpoints.ReportsPace(service));
}

std::size_t RelayContext::StreamsWaiting(const ServiceName& service) const {
  const auto found = m_stream_queues.find(service);
  return found == m_stream_queues.end() ? 0 : found->second.admission.Waiting();
}

void RelayContext::OnFirstAttempt(const ServiceName& service) {
  RetryQuota(service).OnFirstAttempt(SteadyNow());
}

Task<bool> RelayContext::TryTakeRetry(ServiceName service) {
  if (RetryQuota(service).TryTake(peers.Size() + 1, SteadyNow())) co_return true;
  if (!borrow_retry_quota) co_return false;
  const bool has_borrowed = co_await borrow_retry_quota(service);
  co_return has_borrowed&& RetryQuota(service).TryTake(peers.Size() + 1, SteadyNow());
}

FleetRetryQuota& RelayContext::RetryQuota(const ServiceName& service) {
  return m_retry_quotas.try_emplace(service, RetryLimitsOf(settings)).first->second;
}

ConnectionShare RelayContext::ConnectionShareOf(const RelayTable& configuration,
                                                const ServiceName& service) const {
  const RelayService* found = configuration.FindService(service);
  return ShareConnections(found == nullptr ? 0 : found->max_connections, peers.Size() + 1);
}

}  // namespace fulmarpoint
