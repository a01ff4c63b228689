#include "relay/duty_counters.h"

#include "relay/relay_context.h"

namespace fulmarpoint {

namespace {

// The estimate for a prompt of this length is proportional to the length.
constexpr std::int64_t kReferenceTokens = 1000;

std::uint32_t TokenNanoseconds(RelayContext& context, const ServiceName& service) {
  const std::optional<Duration> time =
      context.PrefillRate(service).EstimateTimeToFirstEvent(kReferenceTokens);
  if (!time) return 0;
  return static_cast<std::uint32_t>(std::chrono::nanoseconds(*time).count() / kReferenceTokens);
}

}  // namespace

void DutyCounters::OnBegun(const OrganisationId& organisation, Duration age) {
  if (organisation.empty()) return;
  const std::chrono::milliseconds before =
      std::chrono::duration_cast<std::chrono::milliseconds>(age);
  m_ledger.OnBegun(organisation, WallNow() - before.count());
}

void DutyCounters::OnPromptSent(const ServiceName& service, std::int64_t tokens) {
  m_loads[service].prompt_tokens += static_cast<std::uint64_t>(tokens);
}

void DutyCounters::OnFirstEvent(const ServiceName& service, bool is_late) {
  ServiceLoad& load = m_loads[service];
  ++load.first_events;
  if (is_late) ++load.late_first_events;
}

std::vector<ServiceLoad> DutyCounters::Loads(RelayContext& context) const {
  std::vector<ServiceLoad> loads;
  if (!context.table) return loads;
  for (const RelayService& service : context.table->Configuration().services) {
    if (!service.engine) continue;
    const auto counted = m_loads.find(service.name);
    ServiceLoad load = counted == m_loads.end() ? ServiceLoad() : counted->second;
    load.service = service.name;
    load.waiting = static_cast<std::uint32_t>(context.StreamsWaiting(service.name));
    load.token_ns = TokenNanoseconds(context, service.name);
    for (const DirectoryEndpoint* endpoint : context.endpoints.Staying(service.name, SteadyNow())) {
      load.requests += static_cast<std::uint32_t>(endpoint->own.requests);
      load.kv_cache_tokens += static_cast<std::uint64_t>(endpoint->own.kv_cache_tokens);
    }
    loads.push_back(std::move(load));
  }
  return loads;
}

}  // namespace fulmarpoint
