#include "server/dispatcher.h"

#include <map>
#include <mutex>
#include <random>
#include <utility>

#include "coordination/retry_budget.h"
#include "server/endpoint_registry.h"
#include "server/metrics.h"
#include "server/request_log.h"

namespace fulmarpoint {

namespace {

// Repeated attempts may add a tenth to the traffic of a service.
constexpr double kRetryShare = 0.1;
constexpr double kRetryBurst = 20;

// Wait for prefill of a request that finds a free slot, and for each request queued before it.
constexpr Duration kPrefillWait = std::chrono::milliseconds(460);
constexpr Duration kWaitForEachQueued = std::chrono::milliseconds(250);

struct Run {
  EndpointId endpoint;
  ServiceName service;
};

EndpointOutcomeKind OutcomeOf(DispatchEnd end) {
  switch (end) {
    case DispatchEnd::kCompleted:
      return EndpointOutcomeKind::kSuccess;
    case DispatchEnd::kRefusedLeaving:
      return EndpointOutcomeKind::kRefusedLeaving;
    default:
      return EndpointOutcomeKind::kFailure;
  }
}

bool SaysNothing(DispatchEnd end) {
  return end == DispatchEnd::kCancelled || end == DispatchEnd::kRefused;
}

}  // namespace

struct Dispatcher::State {
  State(EndpointRegistry& registry, Metrics& counters, RequestLog& request_log, std::string domain)
      : endpoints(registry),
        metrics(counters),
        log(request_log),
        failure_domain(std::move(domain)),
        random(std::random_device{}()) {}

  bool TakeRetry(const ServiceName& service);
  DispatchRefusal Refuse(const DispatchRequest& request, const VersionName& version,
                         const std::vector<EndpointCandidate>& candidates) const;
  DispatchChoice Start(const DispatchRequest& request, const EndpointCandidate& candidate);

  EndpointRegistry& endpoints;
  Metrics& metrics;
  RequestLog& log;
  const std::string failure_domain;

  std::mutex mutex;
  Random random;
  std::map<ServiceName, RetryBudget> budgets;
  std::uint64_t next_run = 1;
  std::map<std::uint64_t, Run> runs;
};

bool Dispatcher::State::TakeRetry(const ServiceName& service) {
  const std::lock_guard<std::mutex> lock(mutex);
  return budgets.try_emplace(service, kRetryShare, kRetryBurst).first->second.TryTake();
}

DispatchRefusal Dispatcher::State::Refuse(const DispatchRequest& request,
                                          const VersionName& version,
                                          const std::vector<EndpointCandidate>& candidates) const {
  DispatchRefusal refusal;
  refusal.version_gone = true;
  for (const EndpointCandidate& candidate : candidates) {
    if (candidate.route.version != version) continue;
    if (candidate.route.health.state == EndpointState::kLeaving) continue;
    refusal.version_gone = false;
    if (candidate.route.health.state == EndpointState::kLive)
      refusal.code = ResultCode::kOverloaded;
  }
  refusal.reason = "no usable endpoint of version " + version + " among " +
                   std::to_string(candidates.size()) + ", " +
                   std::to_string(request.excluded.size()) + " excluded";
  return refusal;
}

DispatchChoice Dispatcher::State::Start(const DispatchRequest& request,
                                        const EndpointCandidate& candidate) {
  DispatchChoice choice;
  choice.endpoint = candidate.route.endpoint;
  choice.address = candidate.address;
  choice.failure_domain = candidate.route.failure_domain;
  choice.version = candidate.route.version;
  choice.incarnation = candidate.route.health.incarnation;
  choice.predicted_wait = kPrefillWait + candidate.route.health.queued * kWaitForEachQueued;
  choice.not_before = SteadyNow();
  endpoints.CountStarted(choice.endpoint);
  const std::lock_guard<std::mutex> lock(mutex);
  choice.run = next_run++;
  runs.emplace(choice.run, Run{choice.endpoint, request.entry->service});
  if (!request.repeated) {
    budgets.try_emplace(request.entry->service, kRetryShare, kRetryBurst)
        .first->second.OnFirstAttempt();
  }
  return choice;
}

Dispatcher::Dispatcher(EndpointRegistry& endpoints, Metrics& metrics, RequestLog& log,
                       std::string failure_domain)
    : m_state(std::make_unique<State>(endpoints, metrics, log, std::move(failure_domain))) {}

Dispatcher::~Dispatcher() = default;

DispatchResult Dispatcher::Choose(const DispatchRequest& request) {
  const CatalogueEntry& entry = *request.entry;
  if (request.repeated && !m_state->TakeRetry(entry.service)) {
    m_state->metrics.Count("dispatch_refusals", "retry_budget");
    m_state->log.Add(request.id, "refused", "retry budget of the service is used up");
    DispatchRefusal refusal;
    refusal.code = ResultCode::kOverloaded;
    refusal.reason = "retry budget of the service is used up";
    return refusal;
  }
  const VersionName version = request.version.value_or(entry.version);
  const std::vector<EndpointCandidate> candidates = m_state->endpoints.Candidates(entry);
  std::vector<RouteCandidate> routes;
  for (const EndpointCandidate& candidate : candidates) routes.push_back(candidate.route);
  RouteRequest route;
  route.version = version;
  route.failure_domain = m_state->failure_domain;
  route.avoided_domain = request.avoided_domain;
  route.prompt_tokens = request.prompt_tokens;
  route.priority = request.priority;
  route.excluded = request.excluded;
  route.may_try_suspect = request.may_try_suspect;
  std::optional<RouteChoice> choice;
  {
    const std::lock_guard<std::mutex> lock(m_state->mutex);
    choice = ChooseEndpoint(routes, route, m_state->random);
  }
  if (!choice ||
      (choice->trial && !m_state->endpoints.BeginTrial(routes[choice->index].endpoint))) {
    DispatchRefusal refusal = m_state->Refuse(request, version, candidates);
    m_state->metrics.Count("dispatch_refusals", InfoOf(refusal.code).name);
    m_state->log.Add(request.id, "no_endpoint", refusal.reason);
    return refusal;
  }
  DispatchChoice started = m_state->Start(request, candidates[choice->index]);
  m_state->log.Add(request.id, "endpoint_selected",
                   "endpoint=" + started.endpoint + " version=" + started.version +
                       (choice->trial ? " trial" : ""));
  return started;
}

void Dispatcher::Ended(std::uint64_t run, const RunResult& result) {
  Run ended;
  {
    const std::lock_guard<std::mutex> lock(m_state->mutex);
    const auto found = m_state->runs.find(run);
    if (found == m_state->runs.end()) return;
    ended = std::move(found->second);
    m_state->runs.erase(found);
  }
  m_state->metrics.Count("runs", NameOf(kDispatchEndNames, result.end));
  if (result.end == DispatchEnd::kNotConnected || result.end == DispatchEnd::kRefused ||
      result.end == DispatchEnd::kRefusedLeaving) {
    m_state->endpoints.CountNotStarted(ended.endpoint);
  }
  if (SaysNothing(result.end)) return;
  m_state->endpoints.Handle(
      EndpointOutcome{ended.endpoint, OutcomeOf(result.end), result.token_interval});
}

}  // namespace fulmarpoint
