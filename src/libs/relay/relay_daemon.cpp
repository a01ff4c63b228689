#include "relay/relay_daemon.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "coordination/drain.h"
#include "http_api/url.h"
#include "relay/caller_request_handler.h"
#include "relay/duty_counters.h"
#include "relay/endpoint_connection_pool.h"
#include "relay/peer_connections.h"
#include "relay/peer_exchange.h"
#include "relay/peer_registration.h"
#include "relay/peer_server.h"
#include "relay/poison_request_detector.h"
#include "relay/prompt_finder.h"
#include "relay/reachability_monitor.h"
#include "relay/relay_context.h"
#include "relay/relay_rollouts.h"
#include "relay/relay_tables.h"
#include "relay/retry_quota_borrower.h"
#include "relay/singleton_duties.h"
#include "transport/http_server.h"
#include "utils/logging.h"
#include "utils/overloaded.h"

namespace fulmarpoint {

namespace {

constexpr Duration kHousekeepingInterval = std::chrono::milliseconds(500);

constexpr Duration kBodyTimeout = std::chrono::seconds(30);
constexpr std::size_t kMaxUrlBytes = std::size_t{16} * 1024;
// Each HTTP server accepts at most this fraction of the connections, so that callers leave some for
// endpoints, the store and lookups.
constexpr std::size_t kServerConnectionDivisor = 2;
// Allowance for callers that use a lookup answer longer than its time to live.
constexpr int kLookupLifetimeFactor = 3;
// Remaining streams are closed this long before the process is killed.
constexpr Duration kForcedStopMargin = std::chrono::milliseconds(1200);
// Interval of the checks whether callers have received their last replies before the daemon stops.
constexpr Duration kConnectionCheckInterval = std::chrono::milliseconds(5);
constexpr std::size_t kMaxLookupAddresses = 64;
// Daemons that became isolated within this time of each other lost their path by the same fault.
constexpr Duration kSameIsolationTime = std::chrono::seconds(1);
// On the metrics address.
constexpr std::string_view kDutiesPath = "/duties";

HttpServerLimits LimitsOf(const RelaySettings& settings, const CallerLimits& callers) {
  HttpServerLimits limits;
  limits.head_bytes = callers.head_bytes;
  limits.body_bytes = callers.body_bytes;
  limits.total_body_bytes = settings.max_body_bytes;
  limits.url_bytes = std::min(callers.head_bytes, kMaxUrlBytes);
  limits.connections = settings.max_connections / kServerConnectionDivisor;
  limits.connections_per_address = limits.connections;
  limits.head_timeout = callers.head_time;
  limits.body_timeout = kBodyTimeout;
  limits.idle_timeout = callers.idle_timeout;
  return limits;
}

DrainOptions DrainOptionsOf(const RelaySettings& settings) {
  DrainOptions options;
  options.lookup_lifetime = settings.lookup_ttl * kLookupLifetimeFactor;
  options.margin = Duration::zero();
  options.limit =
      std::max(Duration::zero(), settings.stop_grace - kForcedStopMargin - options.lookup_lifetime);
  return options;
}

PeerRecord RecordOf(const RelayContext& context, const std::string& peer_address) {
  PeerRecord record;
  record.name = context.settings.name;
  record.incarnation = context.incarnation;
  record.peer_address = peer_address;
  record.caller_address = context.settings.caller_address;
  record.failure_domain = context.settings.failure_domain;
  record.cores = context.settings.cores;
  return record;
}

}  // namespace

struct RelayDaemon::State : std::enable_shared_from_this<RelayDaemon::State> {
  State(const Executor& executor, RelaySettings settings, RelayWire wire, Store store,
        RelaySources own_sources, std::uint64_t own_seed);

  std::error_code Open();
  std::error_code OpenPeerPorts();
  PeerServer::Handlers PeerHandlers();
  std::error_code OpenServer(std::unique_ptr<HttpServer>& server, const std::string& address,
                             HttpServerLimits limits, HttpHandler handler);
  RelayTables::Handlers TableHandlers();
  Task<void> Housekeeping();
  Task<void> AnswerLookup(HttpExchange& exchange);
  std::vector<std::string> LookupAddresses(TimePoint now);
  Task<void> AnswerReadiness(HttpExchange& exchange);
  Task<void> AnswerMetrics(HttpExchange& exchange);
  void HandleDrain(const Drain::Event& event);
  void Perform(const Drain::Action& action);
  Task<void> FinishStop();
  /// Returns when requests that are still in progress are cut.
  TimePoint CutTime() const {
    return stop_requested + context.settings.stop_grace - kForcedStopMargin;
  }
  void LogReadiness();
  void OnIsolationChange(bool is_isolated);
  bool IsReady() const {
    return context.IsServing() && !context.leaving && !context.ShouldRedirect();
  }

  RelayContext context;
  EndpointConnectionPool endpoint_connections;
  CallerRequestHandler caller_handler;
  PeerExchange peer_exchange;
  PeerConnections peer_connections;
  RetryQuotaBorrower retry_quotas;
  PromptFinder prompts;
  PoisonRequestDetector poison_requests;
  RelayRollouts rollouts;
  DutyCounters duty_counters;
  SingletonDuties duties;
  ReachabilityMonitor reachability_monitor;
  RelayTables tables;
  std::unique_ptr<PeerServer> peer_server;
  std::unique_ptr<PeerRegistration> registration;
  std::unique_ptr<HttpServer> caller_server;
  std::unique_ptr<HttpServer> lookup_server;
  std::unique_ptr<HttpServer> readiness_server;
  std::unique_ptr<HttpServer> metrics_server;
  std::unique_ptr<Drain> drain;
  std::function<void()> on_stopped;
  TimePoint stop_requested{};
  bool was_ready = false;
  bool stopped = false;
};

RelayDaemon::State::State(const Executor& executor, RelaySettings settings, RelayWire wire,
                          Store store, RelaySources own_sources, std::uint64_t own_seed)
    : context(std::move(settings), std::move(wire), std::move(store), executor, own_seed),
      caller_handler(context, endpoint_connections),
      peer_exchange(context),
      peer_connections(executor),
      retry_quotas(context, peer_connections),
      prompts(context, peer_exchange, peer_connections),
      poison_requests(context, peer_exchange),
      rollouts(context, peer_exchange, peer_connections, own_sources.encode_rollout_status,
               own_seed),
      duty_counters(InstanceId{context.settings.name, context.incarnation},
                    context.settings.duties),
      duties(context, peer_exchange, peer_connections, context.wire.duties, own_seed),
      reachability_monitor(context, [this](bool is_isolated) { OnIsolationChange(is_isolated); }),
      tables(context, peer_connections, std::move(own_sources), TableHandlers(), own_seed) {
  context.poison_requests = &poison_requests;
  context.rollouts = &rollouts;
  context.duties = &duties;
  if (context.settings.duties.IsEnabled()) context.duty_counters = &duty_counters;
  context.on_reachability_evidence = [this]() { reachability_monitor.OnEvidence(); };
  context.on_heartbeat_payload_changed = [this]() { peer_exchange.SendHeartbeatSoon(); };
  context.borrow_retry_quota = [this](ServiceName service) {
    return retry_quotas.Borrow(std::move(service));
  };
  context.on_prompt_location = [this](std::uint64_t prompt, const EndpointId& endpoint) {
    prompts.SendPromptLocation(prompt, endpoint);
  };
  context.look_up_prompt = [this](std::uint64_t prompt) { return prompts.LookUp(prompt); };
  context.on_requests_changed = [this]() {
    if (drain) HandleDrain(Drain::RequestsLeft{context.requests});
  };
}

std::error_code RelayDaemon::State::Open() {
  const RelaySettings& settings = context.settings;
  const HttpServerLimits limits = LimitsOf(settings, CallerLimits());
  std::error_code error = OpenPeerPorts();
  if (!error) {
    error = OpenServer(caller_server, settings.caller_address, limits,
                       [this](HttpExchange& exchange) { return caller_handler.Handle(exchange); });
  }
  if (!error) {
    error = OpenServer(lookup_server, settings.lookup_address, limits,
                       [this](HttpExchange& exchange) { return AnswerLookup(exchange); });
  }
  if (!error) {
    error = OpenServer(readiness_server, settings.ready_address, limits,
                       [this](HttpExchange& exchange) { return AnswerReadiness(exchange); });
  }
  if (!error) {
    error = OpenServer(metrics_server, settings.metrics_address, limits,
                       [this](HttpExchange& exchange) { return AnswerMetrics(exchange); });
  }
  return error;
}

/// Opens TCP and UDP on the same port, because a peer's record holds only one address.
std::error_code RelayDaemon::State::OpenPeerPorts() {
  peer_server = std::make_unique<PeerServer>(context.executor, PeerHandlers());
  return peer_exchange.Start(context.settings.peer_address, [this](const std::string& address) {
    return peer_server->Listen(address);
  });
}

RelayTables::Handlers RelayDaemon::State::TableHandlers() {
  RelayTables::Handlers handlers;
  handlers.on_configuration = [this]() {
    caller_server->SetLimits(LimitsOf(context.settings, context.table->Limits()));
  };
  handlers.on_peers = [this](const std::vector<TableWatcher::Change>& changes) {
    for (const TableWatcher::Change& change : changes) registration->OnChange(change);
    peer_exchange.SendHeartbeatSoon();
  };
  handlers.on_peers_confirmed = [this](std::uint64_t epoch) { registration->OnConfirmed(epoch); };
  return handlers;
}

PeerServer::Handlers RelayDaemon::State::PeerHandlers() {
  PeerServer::Handlers handlers;
  handlers.replica = [this](TableReplicaRequest request) {
    return tables.AnswerPeer(std::move(request));
  };
  handlers.prompt = [this](const PromptLocationQuery& query) { return prompts.Answer(query); };
  handlers.rollout = [this](const RolloutReport& report) { return rollouts.Answer(report); };
  handlers.duties = [this](const DutyPoll& poll) { return duties.Answer(poll); };
  handlers.retry_quota = [this](const RetryQuotaRequest& request) {
    return retry_quotas.Lend(request);
  };
  return handlers;
}

std::error_code RelayDaemon::State::OpenServer(std::unique_ptr<HttpServer>& server,
                                               const std::string& address, HttpServerLimits limits,
                                               HttpHandler handler) {
  if (address.empty()) return {};
  server = std::make_unique<HttpServer>(context.executor, limits, std::move(handler),
                                        &CallerRequestHandler::RejectionReply);
  const std::error_code error = server->Listen(address);
  if (error) {
    Log(LogLevel::kError, "listen_failed", {{"address", address}, {"reason", error.message()}});
  }
  return error;
}

Task<void> RelayDaemon::State::Housekeeping() {
  const std::shared_ptr<State> self = shared_from_this();
  while (!stopped) {
    co_await Sleep(kHousekeepingInterval);
    const TimePoint now = SteadyNow();
    endpoint_connections.CloseExpired(now);
    context.endpoints.Forget(now);
    context.streams.Forget(now);
    poison_requests.Housekeep();
    LogReadiness();
    FlushLog();
  }
}

/// Returns the daemons that callers may use. If all are isolated, those that became so last: none
/// can serve requests, and callers that spread over all of them would leave the one to which the
/// path returns first.
std::vector<std::string> RelayDaemon::State::LookupAddresses(TimePoint now) {
  std::vector<std::string> addresses = context.peers.CallerAddresses(now);
  const std::optional<TimePoint> isolated_since = context.reachability.IsolatedSince();
  if (!context.leaving && !isolated_since) addresses.push_back(context.settings.caller_address);
  if (!addresses.empty() || !isolated_since) return addresses;
  PeerDirectory::LastReady last =
      context.peers.LastReadyDaemons(kSameIsolationTime, *isolated_since, now);
  if (last.includes_self && !context.leaving) {
    last.addresses.push_back(context.settings.caller_address);
  }
  return std::move(last.addresses);
}

/// Callers learn of it by lookups at any daemon, so the others must know.
void RelayDaemon::State::OnIsolationChange(bool is_isolated) {
  peer_exchange.SendHeartbeatSoon();
  registration->SetIsolated(is_isolated);
}

void RelayDaemon::State::LogReadiness() {
  const bool is_ready = IsReady();
  if (is_ready == was_ready) return;
  was_ready = is_ready;
  const std::optional<Duration> age = context.freshness.Age(BootNow());
  Log(LogLevel::kInfo, is_ready ? "ready" : "not_ready",
      {{"endpoints", context.endpoints.Size()},
       {"proof_age_ms", age ? std::to_string(age->count() / 1000) : "none"}});
}

Task<void> RelayDaemon::State::AnswerLookup(HttpExchange& exchange) {
  if (!context.wire.is_lookup(exchange.Request())) {
    co_await exchange.Respond(RelayProblem(ResultCode::kNotFound, "only lookups are served here"));
    co_return;
  }
  LookupAnswer answer;
  answer.ttl = context.settings.lookup_ttl;
  if (context.IsServing()) answer.addresses = LookupAddresses(SteadyNow());
  if (answer.addresses.empty()) {
    co_await exchange.Respond(RelayProblem(ResultCode::kStale, "ask another daemon"));
    co_return;
  }
  std::shuffle(answer.addresses.begin(), answer.addresses.end(), context.random);
  if (answer.addresses.size() > kMaxLookupAddresses) {
    answer.addresses.resize(kMaxLookupAddresses);
  }
  co_await exchange.Respond(context.wire.encode_lookup(answer));
}

Task<void> RelayDaemon::State::AnswerReadiness(HttpExchange& exchange) {
  if (!context.wire.is_readiness_check(exchange.Request())) {
    co_await exchange.Respond(RelayProblem(ResultCode::kNotFound, "only readiness is served here"));
    co_return;
  }
  if (IsReady()) {
    co_await exchange.Respond(HttpReply());
  } else {
    co_await exchange.Respond(RelayProblem(ResultCode::kStale, "not ready"));
  }
}

Task<void> RelayDaemon::State::AnswerMetrics(HttpExchange& exchange) {
  context.metrics.SetGauge("relay_requests_in_progress", {}, static_cast<double>(context.requests));
  HttpReply reply;
  if (PathOf(exchange.Request().target) == kDutiesPath) {
    reply.headers.push_back({"Content-Type", "application/json"});
    reply.body = duties.StatusJson();
  } else {
    reply.headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
    reply.body = context.metrics.Text();
  }
  co_await exchange.Respond(std::move(reply));
}

void RelayDaemon::State::HandleDrain(const Drain::Event& event) {
  std::vector<Drain::Action> actions;
  drain->Handle(event, SteadyNow(), actions);
  for (const Drain::Action& action : actions) Perform(action);
}

void RelayDaemon::State::Perform(const Drain::Action& action) {
  std::visit(Overloaded{
                 [this](const Drain::LeaveLookups&) {
                   context.leaving = true;
                   caller_server->CloseConnectionsAfterReply();
                   registration->Deregister();
                   duties.Release();
                   peer_exchange.SendHeartbeatSoon();
                 },
                 [this](const Drain::RejectNewWork&) {
                   context.cut_at = CutTime();
                   caller_server->StopAccepting();
                   if (lookup_server) lookup_server->StopAccepting();
                 },
                 [this](const Drain::HandOffStreams&) {
                   // Callers resume at other daemons after the last event they received.
                   caller_server->Close();
                 },
                 [this](const Drain::Exit&) {
                   Spawn(context.executor,
                         [self = shared_from_this()]() { return self->FinishStop(); });
                 },
                 [this](const Drain::SetTimer& timer) {
                   Spawn(context.executor, [self = shared_from_this(), timer]() -> Task<void> {
                     co_await Sleep(std::max(Duration::zero(), timer.at - SteadyNow()));
                     if (!self->stopped) self->HandleDrain(Drain::TimerFired{});
                   });
                 },
             },
             action);
}

/// Reports the stop once all callers have received their last replies, or when the time for that
/// has passed. If the process ended earlier, a request that a caller sends meanwhile would make the
/// kernel reset the connection and drop the rest of the reply.
Task<void> RelayDaemon::State::FinishStop() {
  const TimePoint limit = CutTime();
  while (caller_server->ConnectionCount() > 0 && SteadyNow() < limit && !stopped) {
    co_await Sleep(kConnectionCheckInterval);
  }
  if (stopped) co_return;
  Log(LogLevel::kInfo, "stopped", {{"requests", context.requests}});
  if (on_stopped) on_stopped();
}

RelayDaemon::RelayDaemon(const Executor& executor, RelaySettings settings, RelayWire wire,
                         Store store, RelaySources sources, std::uint64_t seed)
    : m_state(std::make_shared<State>(executor, std::move(settings), std::move(wire),
                                      std::move(store), std::move(sources), seed)) {}

RelayDaemon::~RelayDaemon() {
  m_state->stopped = true;
  m_state->tables.Stop();
}

std::error_code RelayDaemon::Start() {
  State& state = *m_state;
  const std::error_code error = state.Open();
  if (error) return error;
  if (state.caller_server) state.context.settings.caller_address = state.caller_server->Address();
  PeerRecord own_record = RecordOf(state.context, state.peer_exchange.Address());
  state.registration = std::make_unique<PeerRegistration>(state.context, own_record);
  state.registration->Start();
  state.tables.Start(std::move(own_record));
  state.duties.Start();
  state.reachability_monitor.Start();
  Spawn(state.context.executor, [shared = m_state]() { return shared->Housekeeping(); });
  Log(LogLevel::kInfo, "started",
      {{"name", state.context.settings.name},
       {"incarnation", state.context.incarnation},
       {"callers", state.context.settings.caller_address}});
  return {};
}

void RelayDaemon::RequestStop(std::function<void()> on_stopped) {
  State& state = *m_state;
  if (state.drain) return;
  state.on_stopped = std::move(on_stopped);
  state.stop_requested = SteadyNow();
  Log(LogLevel::kInfo, "stopping", {{"requests", state.context.requests}});
  state.drain = std::make_unique<Drain>(DrainOptionsOf(state.context.settings));
  state.HandleDrain(Drain::RequestsLeft{state.context.requests});
  state.HandleDrain(Drain::StopRequested{});
}

void RelayDaemon::ApplySettings(const RelaySettings& settings) {
  const RelaySettings& current = m_state->context.settings;
  RelaySettings applied = settings;
  applied.name = current.name;
  applied.caller_address = current.caller_address;
  applied.lookup_address = current.lookup_address;
  applied.ready_address = current.ready_address;
  applied.peer_address = current.peer_address;
  applied.metrics_address = current.metrics_address;
  applied.duties = current.duties;
  applied.queues_streams = current.queues_streams;
  if (applied == current) return;
  m_state->context.SetSettings(std::move(applied));
  m_state->tables.OnSettingsChanged();
  const std::shared_ptr<const RelayTable>& table = m_state->context.table;
  m_state->caller_server->SetLimits(LimitsOf(current, table ? table->Limits() : CallerLimits()));
  Log(LogLevel::kInfo, "settings_reloaded",
      {{"name", current.name},
       {"key_revocation_ms", current.key_revocation_time.count() / 1000},
       {"serves_expired", current.when_freshness_expired == ExpiredConfigurationPolicy::kServe}});
}

std::string RelayDaemon::CallerAddress() const { return m_state->caller_server->Address(); }

std::string RelayDaemon::LookupAddress() const { return m_state->lookup_server->Address(); }

std::string RelayDaemon::MetricsAddress() const { return m_state->metrics_server->Address(); }

bool RelayDaemon::ReplicatesFromPeer() const { return m_state->tables.ReplicatesFromPeer(); }

bool RelayDaemon::IsServing() const { return m_state->context.IsServing(); }

}  // namespace fulmarpoint
