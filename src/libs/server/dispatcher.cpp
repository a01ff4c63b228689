#include "server/dispatcher.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <random>
#include <utility>

#include "coordination/resume_budget.h"
#include "coordination/retry_budget.h"
#include "server/endpoint_registry.h"
#include "server/request_log.h"
#include "state/credit_table.h"
#include "state/rollout_table.h"
#include "state/suspect_table.h"
#include "utils/logging.h"
#include "utils/metrics.h"

namespace fulmarpoint {

namespace {

// Repeated calls may add a tenth to the traffic of a service.
constexpr double kRetryShare = 0.1;
constexpr double kRetryBurst = 20;

// Wait for prefill of a request that finds a free slot, and for each request queued before it.
constexpr Duration kPrefillWait = std::chrono::milliseconds(460);
constexpr Duration kWaitForEachQueued = std::chrono::milliseconds(250);

// A held request is decided within about a second, when the notices of all daemons have arrived.
constexpr Duration kRetryHeld = std::chrono::milliseconds(100);
// A resumed generation that found no credit asks again after this time.
constexpr Duration kRetryWithoutCredit = std::chrono::milliseconds(100);
constexpr Duration kDemandLifetime = std::chrono::seconds(1);
constexpr Duration kForgetHeld = std::chrono::seconds(10);

/// A run that has not ended.
struct Run {
  EndpointId endpoint;
  std::string failure_domain;
  VersionName version;
  ServiceName service;
  std::string route;
  bool first = true;
  bool chosen_by_rollout = false;
};

/// Times at which runs of a fingerprint were first and last held.
struct Held {
  TimePoint first = SteadyNow();
  TimePoint last;
};

/// The version of a request and who chose it.
struct VersionChoice {
  VersionName version;
  bool by_rollout = false;
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

bool NeverRan(DispatchEnd end) {
  return end == DispatchEnd::kNotConnected || end == DispatchEnd::kRefused ||
         end == DispatchEnd::kRefusedLeaving;
}

AttemptEnd ToRunEnd(DispatchEnd end) {
  switch (end) {
    case DispatchEnd::kCompleted:
    case DispatchEnd::kFailed:
      return AttemptEnd::kCompleted;
    case DispatchEnd::kLost:
      return AttemptEnd::kLost;
    default:
      return AttemptEnd::kCancelled;
  }
}

bool IsUsable(const EndpointCandidate& candidate) {
  return candidate.route.health.state == EndpointState::kLive;
}

DispatchRefusal Refusal(ResultCode code, std::string reason) {
  DispatchRefusal refusal;
  refusal.code = code;
  refusal.reason = std::move(reason);
  return refusal;
}

RouteRequest ToRoute(const DispatchRequest& request, const VersionName& version,
                     const std::string& failure_domain) {
  RouteRequest route;
  route.version = version;
  route.failure_domain = failure_domain;
  route.avoided_domain = request.avoided_domain;
  route.prompt_tokens = request.prompt_tokens;
  route.priority = PriorityOf(*request.entry);
  route.excluded = request.excluded;
  route.may_try_suspect = request.may_try_suspect;
  return route;
}

}  // namespace

Priority PriorityOf(const CatalogueEntry& entry) {
  return entry.service_class == ServiceClass::kLatency ? Priority::kInteractive : Priority::kNormal;
}

struct Dispatcher::State {
  State(EndpointRegistry& registry, RolloutTable& rollout_table, SuspectTable& suspect_table,
        Metrics& counters, RequestLog& request_log, std::string domain)
      : endpoints(registry),
        rollouts(rollout_table),
        suspects(suspect_table),
        metrics(counters),
        log(request_log),
        failure_domain(std::move(domain)),
        random(std::random_device{}()),
        resume_budget({}, Random(random())) {}

  VersionChoice ChooseVersion(const DispatchRequest& request,
                              const std::vector<EndpointCandidate>& candidates);
  DispatchResult ChooseOf(const DispatchRequest& request, const VersionChoice& version,
                          const std::vector<EndpointCandidate>& candidates);
  std::optional<RouteChoice> Route(const std::vector<RouteCandidate>& routes,
                                   const RouteRequest& request);
  /// Takes the budget of a repeated run at an endpoint; returns its earliest time, or nothing.
  std::optional<TimePoint> TakeBudget(const DispatchRequest& request, const EndpointId& endpoint);
  DispatchRefusal RefuseVersion(const DispatchRequest& request, const VersionName& version,
                                const std::vector<EndpointCandidate>& candidates) const;
  DispatchChoice Start(const DispatchRequest& request, const VersionChoice& version,
                       const EndpointCandidate& candidate, std::uint64_t run, TimePoint not_before);
  void ReportToRollout(const Run& run, const RunResult& result);
  /// Starts the run for the crash suspects; returns false if it may not be sent there.
  bool TryStartSuspect(const DispatchRequest& request, const RouteCandidate& candidate,
                       std::uint64_t run);
  /// Returns how long runs of a fingerprint have been held.
  Duration HeldFor(Fingerprint fingerprint, TimePoint now);
  void Execute(const std::vector<CrashSuspectsAction>& actions);

  EndpointRegistry& endpoints;
  RolloutTable& rollouts;
  SuspectTable& suspects;
  Metrics& metrics;
  RequestLog& log;
  const std::string failure_domain;
  NoticePublisher publisher;
  SuspectPublisher suspect_publisher;
  Ownership ownership;
  CreditTable* credits = nullptr;

  std::mutex mutex;
  Random random;
  ResumeBudget resume_budget;
  std::map<ServiceName, RetryBudget> retry_budgets;
  std::atomic<std::uint64_t> next_run{1};
  std::map<std::uint64_t, Run> runs;
  std::map<Fingerprint, Held> held_since;
  /// Requests that found no credit, by service.
  std::map<ServiceName, std::map<std::string, TimePoint>> without_credit;
};

VersionChoice Dispatcher::State::ChooseVersion(const DispatchRequest& request,
                                               const std::vector<EndpointCandidate>& candidates) {
  const CatalogueEntry& entry = *request.entry;
  if (request.version) return {*request.version, false};
  if (!entry.rollout) return {entry.version, false};
  const VersionName& to = entry.rollout->to;
  const auto usable =
      std::count_if(candidates.begin(), candidates.end(), [&](const EndpointCandidate& candidate) {
        return candidate.route.version == to && IsUsable(candidate) &&
               rollouts.MayUse(entry.service, to, candidate.route.endpoint);
      });
  const VersionName chosen = rollouts.ChooseVersion(entry, static_cast<int>(usable), SteadyNow());
  return {chosen, chosen == to};
}

std::optional<RouteChoice> Dispatcher::State::Route(const std::vector<RouteCandidate>& routes,
                                                    const RouteRequest& request) {
  const std::lock_guard<std::mutex> lock(mutex);
  return ChooseEndpoint(routes, request, random);
}

std::optional<TimePoint> Dispatcher::State::TakeBudget(const DispatchRequest& request,
                                                       const EndpointId& endpoint) {
  const TimePoint now = SteadyNow();
  const CatalogueEntry& entry = *request.entry;
  const std::lock_guard<std::mutex> lock(mutex);
  if (entry.kind == ServiceKind::kModel) {
    if (!request.repeated) return now;
    return resume_budget.Take(entry.service, endpoint, now);
  }
  RetryBudget& budget =
      retry_budgets.try_emplace(entry.service, kRetryShare, kRetryBurst).first->second;
  if (!request.repeated) {
    budget.OnFirstAttempt();
    return now;
  }
  if (!budget.TryTake()) return std::nullopt;
  return now;
}

DispatchRefusal Dispatcher::State::RefuseVersion(
    const DispatchRequest& request, const VersionName& version,
    const std::vector<EndpointCandidate>& candidates) const {
  DispatchRefusal refusal =
      Refusal(ResultCode::kNoEndpoint, "no usable endpoint of version " + version + " among " +
                                           std::to_string(candidates.size()) + " candidates, " +
                                           std::to_string(request.excluded.size()) + " excluded");
  refusal.version_gone = true;
  for (const EndpointCandidate& candidate : candidates) {
    if (candidate.route.version != version) continue;
    if (candidate.route.health.state == EndpointState::kLeaving) continue;
    refusal.version_gone = false;
    if (IsUsable(candidate)) refusal.code = ResultCode::kOverloaded;
  }
  return refusal;
}

DispatchResult Dispatcher::State::ChooseOf(const DispatchRequest& request,
                                           const VersionChoice& version,
                                           const std::vector<EndpointCandidate>& candidates) {
  std::vector<RouteCandidate> routes;
  for (const EndpointCandidate& candidate : candidates) {
    routes.push_back(candidate.route);
    if (credits == nullptr) continue;
    routes.back().free_credits = credits->Free(candidate.route.endpoint, SteadyNow());
  }
  RouteRequest route = ToRoute(request, version.version, failure_domain);
  for (const RouteCandidate& candidate : routes) {
    if (!rollouts.MayUse(request.entry->service, version.version, candidate.endpoint)) {
      route.excluded.push_back(candidate.endpoint);
    }
  }
  bool held = false;
  while (const std::optional<RouteChoice> choice = Route(routes, route)) {
    const EndpointId& endpoint = routes[choice->index].endpoint;
    route.excluded.push_back(endpoint);
    const std::uint64_t run = next_run++;
    if (!TryStartSuspect(request, routes[choice->index], run)) {
      held = true;
      continue;
    }
    // Another request may have begun the trial meanwhile.
    const bool trial_taken = choice->trial && !endpoints.BeginTrial(endpoint);
    // So may another request have taken the last credit.
    const bool has_credit =
        !trial_taken && (credits == nullptr || credits->Take(endpoint, SteadyNow()));
    const std::optional<TimePoint> not_before =
        has_credit ? TakeBudget(request, endpoint) : std::nullopt;
    if (not_before) return Start(request, version, candidates[choice->index], run, *not_before);
    Execute(suspects.Handle(AttemptEnded{run, AttemptEnd::kCancelled}, SteadyNow()));
    if (has_credit) {
      if (credits != nullptr) credits->Return(endpoint);
      return Refusal(ResultCode::kOverloaded, "the budget of repeated attempts is used up");
    }
  }
  DispatchRefusal refusal = RefuseVersion(request, version.version, candidates);
  if (credits != nullptr && refusal.code == ResultCode::kOverloaded) {
    if (request.repeated) refusal.retry_after = kRetryWithoutCredit;
    const std::lock_guard<std::mutex> lock(mutex);
    without_credit[request.entry->service][ToString(request.id)] = SteadyNow();
  }
  if (held) {
    refusal.held = true;
    refusal.version_gone = false;
    refusal.retry_after = kRetryHeld;
    refusal.reason = "the request ran at an endpoint that crashed and waits for one of its own";
  }
  return refusal;
}

Duration Dispatcher::State::HeldFor(Fingerprint fingerprint, TimePoint now) {
  const std::lock_guard<std::mutex> lock(mutex);
  std::erase_if(held_since, [&](const auto& item) { return now - item.second.last > kForgetHeld; });
  const auto found = held_since.find(fingerprint);
  return found == held_since.end() ? Duration::zero() : now - found->second.first;
}

bool Dispatcher::State::TryStartSuspect(const DispatchRequest& request,
                                        const RouteCandidate& candidate, std::uint64_t run) {
  const AttemptStarted started{run, request.fingerprint, candidate.endpoint,
                               candidate.health.incarnation};
  std::vector<CrashSuspectsAction> actions;
  const bool owned = !ownership || ownership(candidate.endpoint);
  const TimePoint now = SteadyNow();
  const bool may =
      suspects.TryStart(started, owned, HeldFor(request.fingerprint, now), now, actions);
  Execute(actions);
  const std::lock_guard<std::mutex> lock(mutex);
  if (may) {
    held_since.erase(request.fingerprint);
  } else {
    held_since[request.fingerprint].last = now;
  }
  return may;
}

void Dispatcher::State::Execute(const std::vector<CrashSuspectsAction>& actions) {
  for (const CrashSuspectsAction& action : actions) {
    if (const PublishSuspectGossip* publish = std::get_if<PublishSuspectGossip>(&action)) {
      if (suspect_publisher) suspect_publisher(publish->message);
      continue;
    }
    const SuspicionChanged& changed = std::get<SuspicionChanged>(action);
    const std::string_view name = NameOf(kSuspicionStateNames, changed.state);
    metrics.Count("suspicion_changes", name);
    Log(LogLevel::kWarning, "suspicion", {{"fingerprint", changed.fingerprint}, {"state", name}});
  }
}

DispatchChoice Dispatcher::State::Start(const DispatchRequest& request,
                                        const VersionChoice& version,
                                        const EndpointCandidate& candidate, std::uint64_t run,
                                        TimePoint not_before) {
  DispatchChoice choice;
  choice.run = run;
  choice.endpoint = candidate.route.endpoint;
  choice.address = candidate.address;
  choice.failure_domain = candidate.route.failure_domain;
  choice.version = candidate.route.version;
  choice.incarnation = candidate.route.health.incarnation;
  choice.predicted_wait = kPrefillWait + candidate.route.health.queued * kWaitForEachQueued;
  choice.not_before = not_before;
  endpoints.CountStarted(choice.endpoint);
  const std::lock_guard<std::mutex> lock(mutex);
  runs.emplace(choice.run,
               Run{choice.endpoint, choice.failure_domain, choice.version, request.entry->service,
                   request.route, !request.repeated, version.by_rollout});
  return choice;
}

void Dispatcher::State::ReportToRollout(const Run& run, const RunResult& result) {
  if (result.end == DispatchEnd::kCancelled) return;
  if (NeverRan(result.end)) {
    if (run.chosen_by_rollout && run.first) rollouts.UndoChoice(run.service);
    return;
  }
  VersionOutcome outcome;
  outcome.route = run.route;
  outcome.endpoint = run.endpoint;
  outcome.failure_domain = run.failure_domain;
  outcome.error = result.end != DispatchEnd::kCompleted;
  outcome.latency = result.latency;
  outcome.token_interval = result.token_interval;
  const std::optional<BadVersionNotice> message =
      rollouts.AddOutcome(run.service, run.version, std::move(outcome), SteadyNow());
  if (!message) return;
  Log(LogLevel::kWarning, "version_bad",
      {{"service", message->service}, {"version", message->version}, {"reason", message->reason}});
  if (publisher) publisher(*message);
}

Dispatcher::Dispatcher(EndpointRegistry& endpoints, RolloutTable& rollouts, SuspectTable& suspects,
                       Metrics& metrics, RequestLog& log, std::string failure_domain)
    : m_state(std::make_unique<State>(endpoints, rollouts, suspects, metrics, log,
                                      std::move(failure_domain))) {}

Dispatcher::~Dispatcher() = default;

void Dispatcher::SetNoticePublisher(NoticePublisher publisher) {
  m_state->publisher = std::move(publisher);
}

void Dispatcher::SetSuspectPublisher(SuspectPublisher publisher) {
  m_state->suspect_publisher = std::move(publisher);
}

void Dispatcher::HandleSuspects(const CrashSuspectsEvent& event) {
  m_state->Execute(m_state->suspects.Handle(event, SteadyNow()));
}

void Dispatcher::SetCredits(CreditTable& credits) { m_state->credits = &credits; }

void Dispatcher::SetOwnership(Ownership ownership) { m_state->ownership = std::move(ownership); }

DispatchResult Dispatcher::Choose(const DispatchRequest& request) {
  if (m_state->suspects.State(request.fingerprint) == SuspicionState::kQuarantined) {
    m_state->log.Add(request.id, "blocked", "the request crashed the endpoints that ran it");
    return Refusal(ResultCode::kCrashesEndpoints, "the request crashed the endpoints that ran it");
  }
  const std::vector<EndpointCandidate> candidates = m_state->endpoints.Candidates(*request.entry);
  VersionChoice version = m_state->ChooseVersion(request, candidates);
  DispatchResult result = m_state->ChooseOf(request, version, candidates);
  if (version.by_rollout && std::holds_alternative<DispatchRefusal>(result)) {
    m_state->rollouts.UndoChoice(request.entry->service);
    version = {request.entry->version, false};
    result = m_state->ChooseOf(request, version, candidates);
  }
  if (const DispatchRefusal* refusal = std::get_if<DispatchRefusal>(&result)) {
    m_state->metrics.Count("dispatch_refusals", InfoOf(refusal->code).name);
    m_state->log.Add(request.id, "no_endpoint", refusal->reason);
    return result;
  }
  const DispatchChoice& choice = std::get<DispatchChoice>(result);
  m_state->log.Add(request.id, "endpoint_selected",
                   "endpoint=" + choice.endpoint + " version=" + choice.version +
                       (version.by_rollout ? " by=rollout" : "") +
                       (request.repeated ? " repeated" : ""));
  return result;
}

int Dispatcher::CreditDemand(const ServiceName& service) {
  const TimePoint oldest = SteadyNow() - kDemandLifetime;
  const std::lock_guard<std::mutex> lock(m_state->mutex);
  const auto found = m_state->without_credit.find(service);
  if (found == m_state->without_credit.end()) return 0;
  std::erase_if(found->second, [&](const auto& item) { return item.second < oldest; });
  const int count = static_cast<int>(found->second.size());
  if (count == 0) m_state->without_credit.erase(found);
  return count;
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
  if (m_state->credits != nullptr) m_state->credits->Return(ended.endpoint);
  if (NeverRan(result.end)) m_state->endpoints.CountNotStarted(ended.endpoint);
  m_state->ReportToRollout(ended, result);
  m_state->Execute(m_state->suspects.Handle(AttemptEnded{run, ToRunEnd(result.end)}, SteadyNow()));
  if (result.end == DispatchEnd::kCancelled || result.end == DispatchEnd::kRefused) return;
  m_state->endpoints.Handle(
      EndpointOutcome{ended.endpoint, OutcomeOf(result.end), result.token_interval});
}

}  // namespace fulmarpoint
