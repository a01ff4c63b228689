#include "server/endpoint_registry.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <utility>

#include "protocol/identifiers.h"
#include "utils/logging.h"
#include "utils/metrics.h"
#include "utils/overloaded.h"

namespace fulmarpoint {

namespace {

// Load polls are spread over this many parts of the polling interval.
constexpr std::uint64_t kPollPhases = 10;

struct Endpoint {
  ListedInstance listed;
  LoadReport load;
  bool polling = false;
  int started_since_report = 0;
};

bool Lists(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

struct EndpointRegistry::State : std::enable_shared_from_this<EndpointRegistry::State> {
  State(HttpClient& client, InstanceListClient& list_client, PollingSettings polling,
        Metrics& counters)
      : http(client), list(list_client), settings(polling), metrics(counters) {}

  Task<void> PollList();
  Task<void> PollLoads(Executor executor);
  Task<void> PollLoad(ListedInstance listed);
  void ApplyList(const std::vector<ListedInstance>& instances);
  void ApplyLoad(const EndpointId& id, const LoadReport& load, int started_before);
  void ApplyPollFailure(const EndpointId& id, bool refused);
  void Publish(const std::vector<EndpointHealthAction>& actions);
  std::vector<ListedInstance> Due(std::uint64_t phase);
  void AddCandidates(const Endpoint& endpoint, const CatalogueEntry& entry, TimePoint now,
                     std::vector<EndpointCandidate>& candidates) const;

  HttpClient& http;
  InstanceListClient& list;
  const PollingSettings settings;
  Metrics& metrics;
  Listener listener;
  ProcessListener process_listener;
  std::atomic<bool> stopped{false};
  std::atomic<bool> ready{false};

  mutable std::mutex mutex;
  EndpointHealth health;
  std::map<EndpointId, Endpoint> endpoints;
  std::vector<ListedInstance> daemons;
};

Task<void> EndpointRegistry::State::PollList() {
  const std::shared_ptr<State> self = shared_from_this();
  while (!stopped) {
    const InstanceList read = co_await list.Read();
    if (stopped) break;
    metrics.Count("instance_list_reads", read.error ? "failed" : "ok");
    if (!read.error) ApplyList(read.instances);
    co_await Sleep(settings.instance_list);
  }
}

void EndpointRegistry::State::ApplyList(const std::vector<ListedInstance>& instances) {
  const TimePoint now = SteadyNow();
  std::vector<EndpointHealthAction> actions;
  {
    const std::lock_guard<std::mutex> lock(mutex);
    std::set<EndpointId> names;
    daemons.clear();
    for (const ListedInstance& instance : instances) {
      if (instance.kind == InstanceKind::kDaemon) {
        daemons.push_back(instance);
        continue;
      }
      names.insert(instance.name);
      Endpoint& endpoint = endpoints[instance.name];
      endpoint.listed = instance;
      // The speed of an engine is compared with that of the engines with the same model.
      const std::string group = endpoint.load.models.empty()
                                    ? std::string(NameOf(kInstanceKindNames, instance.kind))
                                    : endpoint.load.models.front().model;
      health.Handle(EndpointListed{instance.name, group, instance.leaving}, now, actions);
    }
    for (auto item = endpoints.begin(); item != endpoints.end();) {
      if (!names.contains(item->first)) {
        health.Handle(EndpointUnlisted{item->first}, now, actions);
      }
      // The health module keeps an entry for a while, so that the state of an endpoint that leaves
      // the list and returns is not lost.
      const bool forgotten = !names.contains(item->first) && !health.View(item->first, now);
      item = forgotten ? endpoints.erase(item) : std::next(item);
    }
  }
  ready = true;
  Publish(actions);
}

Task<void> EndpointRegistry::State::PollLoads(Executor executor) {
  const std::shared_ptr<State> self = shared_from_this();
  for (std::uint64_t phase = 0; !stopped; phase = (phase + 1) % kPollPhases) {
    for (ListedInstance& listed : Due(phase)) {
      Spawn(MakeStrand(executor),
            [self, instance = std::move(listed)]() { return self->PollLoad(instance); });
    }
    co_await Sleep(settings.load / kPollPhases);
  }
}

std::vector<ListedInstance> EndpointRegistry::State::Due(std::uint64_t phase) {
  std::vector<ListedInstance> due;
  const std::lock_guard<std::mutex> lock(mutex);
  for (auto& [id, endpoint] : endpoints) {
    // A new endpoint is polled at once.
    const bool reported = endpoint.load.incarnation != 0;
    if (endpoint.polling || (reported && StableHash(id) % kPollPhases != phase)) continue;
    endpoint.polling = true;
    due.push_back(endpoint.listed);
  }
  return due;
}

Task<void> EndpointRegistry::State::PollLoad(ListedInstance listed) {
  const std::shared_ptr<State> self = shared_from_this();
  int started_before = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex);
    const auto found = endpoints.find(listed.name);
    if (found != endpoints.end()) started_before = found->second.started_since_report;
  }
  HttpClientRequest request;
  request.address = listed.address;
  request.target = "/v1/load";
  request.timeout = settings.load_timeout;
  HttpResult result = co_await http.Send(request);
  if (result.error && !stopped) {
    // The pooled connection may be broken although the endpoint works.
    request.new_connection = true;
    result = co_await http.Send(request);
  }
  if (stopped) co_return;
  if (result.error || result.reply.status != 200) {
    metrics.Count("load_polls", "failed");
    ApplyPollFailure(listed.name, result.error && result.nothing_written);
    co_return;
  }
  const Parsed<LoadReport> load = ParseLoadReport(result.reply.body);
  metrics.Count("load_polls", load ? "ok" : "malformed");
  if (load) {
    ApplyLoad(listed.name, load.Value(), started_before);
  } else {
    ApplyPollFailure(listed.name, false);
  }
}

void EndpointRegistry::State::ApplyLoad(const EndpointId& id, const LoadReport& load,
                                        int started_before) {
  std::vector<EndpointHealthAction> actions;
  {
    const std::lock_guard<std::mutex> lock(mutex);
    const auto found = endpoints.find(id);
    if (found == endpoints.end()) return;
    found->second.polling = false;
    found->second.load = load;
    found->second.started_since_report =
        std::max(0, found->second.started_since_report - started_before);
    const EndpointLoadReported report{
        id,          load.incarnation, load.slots,         load.active,
        load.queued, load.leaving,     load.token_interval};
    health.Handle(report, SteadyNow(), actions);
  }
  Publish(actions);
  if (process_listener) process_listener(id, load.incarnation, true);
}

void EndpointRegistry::State::ApplyPollFailure(const EndpointId& id, bool refused) {
  std::vector<EndpointHealthAction> actions;
  std::uint64_t incarnation = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex);
    const auto found = endpoints.find(id);
    if (found == endpoints.end()) return;
    found->second.polling = false;
    incarnation = found->second.load.incarnation;
    // A slow answer does not count as a failure; if no answer arrives for long, the last report
    // becomes too old.
    if (!refused) return;
    health.Handle(EndpointOutcome{id, EndpointOutcomeKind::kFailure, {}}, SteadyNow(), actions);
  }
  Publish(actions);
  if (process_listener && incarnation != 0) process_listener(id, incarnation, false);
}

void EndpointRegistry::State::Publish(const std::vector<EndpointHealthAction>& actions) {
  for (const EndpointHealthAction& action : actions) {
    if (const auto* change = std::get_if<EndpointStateChanged>(&action)) {
      const std::string_view to = NameOf(kEndpointStateNames, change->to);
      metrics.Count("endpoint_state_changes", to);
      Log(LogLevel::kInfo, "endpoint_state",
          {{"endpoint", change->endpoint}, {"state", to}, {"reason", change->reason}});
    }
    if (listener) listener(action);
  }
}

void EndpointRegistry::State::AddCandidates(const Endpoint& endpoint, const CatalogueEntry& entry,
                                            TimePoint now,
                                            std::vector<EndpointCandidate>& candidates) const {
  const std::optional<EndpointHealthView> view = health.View(endpoint.listed.name, now);
  if (!view || !view->reported) return;
  EndpointCandidate candidate;
  candidate.address = endpoint.listed.address;
  candidate.token_interval = endpoint.load.token_interval;
  candidate.route.endpoint = endpoint.listed.name;
  candidate.route.failure_domain = endpoint.listed.failure_domain;
  candidate.route.health = *view;
  candidate.route.started_since_report = endpoint.started_since_report;
  if (entry.kind == ServiceKind::kApplication) {
    if (endpoint.listed.kind != InstanceKind::kApplication) return;
    if (!endpoint.load.services.empty() && !Lists(endpoint.load.services, entry.service)) return;
    if (!Lists(entry.versions, endpoint.load.version)) return;
    candidate.route.version = endpoint.load.version;
    candidates.push_back(std::move(candidate));
    return;
  }
  if (endpoint.listed.kind != InstanceKind::kEngine) return;
  for (const LoadedModel& loaded : endpoint.load.models) {
    if (loaded.model != entry.model || !Lists(entry.versions, loaded.version)) continue;
    candidate.route.version = loaded.version;
    candidates.push_back(candidate);
  }
}

EndpointRegistry::EndpointRegistry(HttpClient& http, InstanceListClient& list,
                                   PollingSettings settings, Metrics& metrics)
    : m_state(std::make_shared<State>(http, list, settings, metrics)) {}

EndpointRegistry::~EndpointRegistry() { Stop(); }

void EndpointRegistry::SetListener(Listener listener) { m_state->listener = std::move(listener); }

void EndpointRegistry::SetProcessListener(ProcessListener listener) {
  m_state->process_listener = std::move(listener);
}

void EndpointRegistry::Start(const Executor& executor) {
  Spawn(MakeStrand(executor), [state = m_state]() { return state->PollList(); });
  Spawn(MakeStrand(executor), [state = m_state, executor]() { return state->PollLoads(executor); });
}

void EndpointRegistry::Stop() { m_state->stopped = true; }

bool EndpointRegistry::Ready() const { return m_state->ready; }

void EndpointRegistry::Handle(const EndpointHealthEvent& event) {
  std::vector<EndpointHealthAction> actions;
  {
    const std::lock_guard<std::mutex> lock(m_state->mutex);
    m_state->health.Handle(event, SteadyNow(), actions);
  }
  m_state->Publish(actions);
}

void EndpointRegistry::CountStarted(const EndpointId& endpoint) {
  const std::lock_guard<std::mutex> lock(m_state->mutex);
  const auto found = m_state->endpoints.find(endpoint);
  if (found != m_state->endpoints.end()) ++found->second.started_since_report;
}

void EndpointRegistry::CountNotStarted(const EndpointId& endpoint) {
  const std::lock_guard<std::mutex> lock(m_state->mutex);
  const auto found = m_state->endpoints.find(endpoint);
  if (found == m_state->endpoints.end()) return;
  int& started = found->second.started_since_report;
  started = std::max(0, started - 1);
}

bool EndpointRegistry::BeginTrial(const EndpointId& endpoint) {
  const std::lock_guard<std::mutex> lock(m_state->mutex);
  return m_state->health.BeginTrial(endpoint, SteadyNow());
}

std::vector<EndpointCandidate> EndpointRegistry::Candidates(const CatalogueEntry& entry) const {
  const TimePoint now = SteadyNow();
  std::vector<EndpointCandidate> candidates;
  const std::lock_guard<std::mutex> lock(m_state->mutex);
  for (const auto& [id, endpoint] : m_state->endpoints) {
    m_state->AddCandidates(endpoint, entry, now, candidates);
  }
  return candidates;
}

std::optional<EndpointRecord> EndpointRegistry::Find(const EndpointId& endpoint) const {
  const TimePoint now = SteadyNow();
  const std::lock_guard<std::mutex> lock(m_state->mutex);
  const auto found = m_state->endpoints.find(endpoint);
  if (found == m_state->endpoints.end()) return std::nullopt;
  const ListedInstance& listed = found->second.listed;
  EndpointRecord record{listed.name,   listed.address,     listed.kind, listed.failure_domain,
                        listed.region, found->second.load, {}};
  const std::optional<EndpointHealthView> view = m_state->health.View(endpoint, now);
  if (view) record.health = *view;
  return record;
}

std::vector<EndpointRecord> EndpointRegistry::All() const {
  std::vector<EndpointId> names;
  {
    const std::lock_guard<std::mutex> lock(m_state->mutex);
    for (const auto& [id, endpoint] : m_state->endpoints) names.push_back(id);
  }
  std::vector<EndpointRecord> records;
  for (const EndpointId& name : names) {
    std::optional<EndpointRecord> record = Find(name);
    if (record) records.push_back(std::move(*record));
  }
  return records;
}

std::vector<ListedInstance> EndpointRegistry::Daemons() const {
  const std::lock_guard<std::mutex> lock(m_state->mutex);
  return m_state->daemons;
}

}  // namespace fulmarpoint
