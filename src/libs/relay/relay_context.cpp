#include "relay/relay_context.h"

#include <algorithm>
#include <utility>

namespace fulmarpoint {

namespace {

// Part of the fleet's allowance for repeats that its daemons may use together, so that bursts on
// one daemon and late counts stay below the whole.
constexpr double kAllowanceUsed = 0.7;

}  // namespace

RelayContext::RelayContext(RelaySettings own_settings, RelayWire own_wire, Store own_store,
                           Executor own_executor, std::uint64_t seed)
    : settings(std::move(own_settings)),
      wire(std::move(own_wire)),
      store(std::move(own_store)),
      executor(std::move(own_executor)),
      random(seed),
      incarnation(static_cast<std::uint64_t>(WallNow()) * 1000 + seed % 1000),
      freshness(settings.key_revocation),
      peers(settings.name, PeerDirectory::Options()) {}

bool RelayContext::IsServing() const {
  return table != nullptr && endpoints.Size() > 0 && freshness.Holds(BootNow());
}

void RelayContext::OnEndpointFailure(const EndpointId& id) {
  endpoints.OnFailure(id, SteadyNow());
  if (on_news_for_peers) on_news_for_peers();
}

RetryBudget& RelayContext::Retries(const ServiceName& service) {
  const auto found = m_retries.find(service);
  if (found != m_retries.end()) return found->second;
  const double share = settings.retry_share * kAllowanceUsed;
  const double daemons = static_cast<double>(peers.Size() + 1);
  const double burst = std::max(2.0, settings.retry_slack * kAllowanceUsed / daemons);
  return m_retries.emplace(service, RetryBudget(share, burst)).first->second;
}

}  // namespace fulmarpoint
