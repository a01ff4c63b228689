#include "server/daemon.h"

#include <atomic>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "coordination/credit_holder.h"
#include "http_api/problem_reply.h"
#include "server/admin_routes.h"
#include "server/admission_gate.h"
#include "server/call_peers.h"
#include "server/catalogue_routes.h"
#include "server/control_plane_driver.h"
#include "server/credit_driver.h"
#include "server/credit_sources.h"
#include "server/dispatcher.h"
#include "server/drain_driver.h"
#include "server/endpoint_registry.h"
#include "server/gossip_exchange.h"
#include "server/http_request_handler.h"
#include "server/instance_list_client.h"
#include "server/lookup.h"
#include "server/object_client.h"
#include "server/peer_service.h"
#include "server/request_drivers.h"
#include "server/request_log.h"
#include "server/rollout_driver.h"
#include "server/running_requests.h"
#include "server/services.h"
#include "server/table_client.h"
#include "state/admission_table.h"
#include "state/burn_table.h"
#include "state/credit_table.h"
#include "state/rollout_table.h"
#include "state/suspect_table.h"
#include "transport/http_client.h"
#include "transport/http_server.h"
#include "transport/worker_pool.h"
#include "utils/logging.h"
#include "utils/metrics.h"

namespace fulmarpoint {

namespace {

/// Returns a value that is higher than that of earlier processes on the same instance, unless the
/// wall clock was set back; the random bits make it unique in any case.
std::uint64_t NewIncarnation() {
  return (static_cast<std::uint64_t>(WallNow()) << 16) | (std::random_device{}() & 0xffff);
}

HttpServerLimits ToLimits(const LimitSettings& settings) {
  HttpServerLimits limits;
  limits.body_bytes = settings.body_bytes;
  limits.total_body_bytes = settings.total_body_bytes;
  limits.connections = settings.connections;
  limits.connections_per_address = settings.connections_per_address;
  limits.head_timeout = settings.head_timeout;
  return limits;
}

CallerBuffersSettings ToBufferSettings(const BufferSettings& settings) {
  CallerBuffersSettings buffers;
  buffers.stream_high_water = settings.stream_bytes;
  buffers.stream_low_water = settings.stream_bytes / 4;
  buffers.organisation_budget = settings.organisation_bytes;
  buffers.daemon_budget = settings.daemon_bytes;
  return buffers;
}

/// Notifies the crash suspects which endpoint processes respond and which are lost.
void ConnectSuspects(EndpointRegistry& endpoints, Dispatcher& dispatcher) {
  endpoints.SetListener([&dispatcher](const EndpointHealthAction& action) {
    const EndpointCrashed* crashed = std::get_if<EndpointCrashed>(&action);
    if (crashed == nullptr) return;
    dispatcher.HandleSuspects(EndpointProcessLost{crashed->endpoint, crashed->lost_incarnation});
  });
  endpoints.SetProcessListener(
      [&dispatcher](const EndpointId& endpoint, std::uint64_t incarnation, bool alive) {
        if (alive) {
          dispatcher.HandleSuspects(EndpointProcessAlive{endpoint, incarnation});
        } else {
          dispatcher.HandleSuspects(EndpointProcessLost{endpoint, incarnation});
        }
      });
}

/// Returns whether this daemon is the owner of an endpoint among the daemons in `lookup`.
bool OwnsEndpoint(const LookupDirectory& lookup, const InstanceId& self,
                  const EndpointId& endpoint) {
  std::vector<InstanceId> daemons = {InstanceId{self.name, 0}};
  for (const EntryDaemon& daemon : lookup.Daemons()) {
    if (!daemon.leaving && daemon.name != self.name) daemons.push_back({daemon.name, 0});
  }
  return CreditOwnerOf(endpoint, daemons).name == self.name;
}

}  // namespace

/// Members are constructed in this order. The destructor stops the threads before any member is
/// destroyed.
struct Daemon::State {
  explicit State(Settings own_settings);
  ~State();

  const Settings settings;
  const InstanceId self;
  WorkerPool pool;
  HttpClient http;
  TableClient tables;
  ObjectClient objects;
  InstanceListClient instances;
  Metrics metrics;
  RequestLog request_log;
  RunningRequests running;
  CatalogueView catalogue;
  LookupDirectory lookup;
  EventIdCodec event_ids;
  RolloutTable rollouts;
  SuspectTable suspects;
  BurnTable burn;
  AdmissionTable admission;
  CreditTable credits;
  EndpointRegistry endpoints;
  Dispatcher dispatcher;
  RequestDrivers drivers;
  Services services;
  AdmissionGate gate;
  AdminRoutes admin;
  HttpRequestHandler request_handler;
  PeerService peers;
  ControlPlaneDriver control;
  GossipExchange gossip;
  RolloutDriver rollout_driver;
  CreditDriver credit_driver;
  HttpServer server;
  DrainDriver drain;
  std::atomic<bool> stopped{false};
  std::atomic<bool> destroyed{false};

  /// Connects the drivers with each other. Call before anything runs.
  void Connect();
  /// Runs the work that is due every second.
  Task<void> RunPeriodicTasks();
};

Daemon::State::State(Settings own_settings)
    : settings(std::move(own_settings)),
      self{settings.daemon.name, NewIncarnation()},
      pool(settings.daemon.workers),
      http(pool.GetExecutor(), {}),
      tables(http, settings.platform.tables, settings.platform.timeout),
      objects(http, settings.platform.objects, settings.platform.timeout),
      instances(http, settings.platform.instances, settings.platform.timeout),
      request_log(settings.request_records),
      running(settings.limits.requests),
      event_ids(settings.secrets.shared_key, settings.secrets.previous_shared_key),
      rollouts(self),
      credits(self),
      endpoints(http, instances, settings.polling, metrics),
      dispatcher(endpoints, rollouts, suspects, metrics, request_log,
                 settings.daemon.failure_domain),
      drivers(pool.GetExecutor(), ToBufferSettings(settings.buffers), tables, self),
      services{settings,    self,      pool.GetExecutor(), http,      tables,    objects,
               instances,   endpoints, dispatcher,         catalogue, lookup,    metrics,
               request_log, running,   rollouts,           burn,      event_ids, drivers},
      gate(services, admission),
      admin(services),
      request_handler(services, admin, gate),
      peers(services),
      control(services, peers),
      gossip(services, control),
      rollout_driver(services, peers, control,
                     [this](const BadVersionNotice& notice) { gossip.Publish(notice); }),
      credit_driver(self, credits, MakeCreditSources(services, admission, peers)),
      server(
          pool.GetExecutor(), ToLimits(settings.limits),
          [this](HttpExchange& exchange) { return request_handler.Handle(exchange); },
          RejectionReply),
      drain(services, {[this]() {
                         lookup.ExcludeSelf();
                         control.Leave(false);
                       },
                       [this]() { request_handler.RejectNewWork(); },
                       [this]() {
                         server.StopAccepting();
                         control.Leave(true);
                         stopped = true;
                       }}) {}

void Daemon::State::Connect() {
  catalogue.SetListener([this](const CatalogueSnapshot& snapshot) {
    std::vector<CatalogueEntry> entries;
    for (const auto& [name, service] : snapshot.services) {
      if (service->entry->rollout) entries.push_back(*service->entry);
    }
    rollouts.SetEntries(entries);
  });
  ConnectSuspects(endpoints, dispatcher);
  dispatcher.SetOwnership(
      [this](const EndpointId& endpoint) { return OwnsEndpoint(lookup, self, endpoint); });
  gossip.Connect();
  rollout_driver.Connect();
  ConnectCallPeers(services, peers, control);
  if (!settings.use_credits) return;
  dispatcher.SetCredits(credits);
  gate.SetCredits(credits);
  control.SetMemberHandler([this](const MemberUpdate& member) { credit_driver.OnMember(member); });
  peers.SetFrameHandler(PeerFrameKind::kCredits, [this](std::string body) -> Task<std::string> {
    co_return credit_driver.Answer(body);
  });
}

Task<void> Daemon::State::RunPeriodicTasks() {
  while (!destroyed) {
    co_await Sleep(std::chrono::seconds(1));
    if (destroyed) co_return;
    dispatcher.HandleSuspects(SuspectTimerFired{});
    metrics.SetGauge("buffer_bytes", "", static_cast<double>(drivers.buffers.HeldBytes()));
  }
}

Daemon::State::~State() {
  destroyed = true;
  drivers.buffers.Stop();
  drivers.calls.Stop();
  gate.Stop();
  rollout_driver.Stop();
  credit_driver.Stop();
  control.Stop();
  endpoints.Stop();
  server.Close();
  pool.Stop();
}

Daemon::Daemon(Settings settings) : m_state(std::make_unique<State>(std::move(settings))) {}

Daemon::~Daemon() = default;

std::error_code Daemon::Start() {
  State& state = *m_state;
  RegisterLocalRoutes(state.admin, state.services);
  state.admin.Register("POST /v1/admin/drain", [&state](const HttpRequest&) -> Task<HttpReply> {
    state.drain.RequestStop();
    const nlohmann::json body = {{"draining", true}};
    co_return JsonReply(202, body);
  });
  state.admin.Register("GET /v1/admin/rollouts", [&state](const HttpRequest&) {
    return state.rollout_driver.AnswerRollouts();
  });
  RegisterCatalogueRoutes(state.admin, state.services, state.control);
  state.control.SetSupersededHandler([&state]() { state.drain.RequestStop(); });
  state.Connect();
  const std::error_code error = state.peers.OpenJoinPort(
      state.settings.listen.http,
      [&state](const std::string& address) { return state.server.Listen(address); });
  if (error) {
    Log(LogLevel::kError, "listen_failed",
        {{"address", state.settings.listen.http}, {"reason", error.message()}});
    return error;
  }
  state.drivers.buffers.Start();
  state.drivers.calls.Start();
  state.lookup.SetKeys([&state]() -> std::optional<IssuedKeys> {
    CallCoordinator& calls = state.drivers.calls;
    return IssuedKeys{calls.IssueKeyPrefix(), calls.KeyValidity()};
  });
  state.gate.Start();
  Spawn(MakeStrand(state.pool.GetExecutor()), [&state]() { return state.RunPeriodicTasks(); });
  const std::error_code peer_error = state.control.Start(state.server.Address());
  if (peer_error) return peer_error;
  state.rollout_driver.Start();
  if (state.settings.use_credits) state.credit_driver.Start(state.pool.GetExecutor());
  state.endpoints.Start(state.pool.GetExecutor());
  Log(LogLevel::kInfo, "started",
      {{"daemon", ToString(state.services.self)}, {"http", state.server.Address()}});
  return {};
}

void Daemon::RequestStop() { m_state->drain.RequestStop(); }

bool Daemon::Stopped() const { return m_state->stopped; }

std::string Daemon::HttpAddress() const { return m_state->server.Address(); }

Services& Daemon::SharedServices() { return m_state->services; }

}  // namespace fulmarpoint
