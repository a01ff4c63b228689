#include "server/daemon.h"

#include <atomic>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "server/admin_routes.h"
#include "server/catalogue_routes.h"
#include "server/control_plane_driver.h"
#include "server/dispatcher.h"
#include "server/drain_driver.h"
#include "server/endpoint_registry.h"
#include "server/http_front.h"
#include "server/instance_list_client.h"
#include "server/lookup.h"
#include "server/metrics.h"
#include "server/object_client.h"
#include "server/peer_service.h"
#include "server/problem_reply.h"
#include "server/request_log.h"
#include "server/running_requests.h"
#include "server/services.h"
#include "server/table_client.h"
#include "transport/http_client.h"
#include "transport/http_server.h"
#include "transport/worker_pool.h"
#include "utils/logging.h"

namespace fulmarpoint {

namespace {

/// Later processes on the same instance get a higher value unless the wall clock was set back; the
/// random part tells them apart in any case.
std::uint64_t NewIncarnation() {
  return (static_cast<std::uint64_t>(WallNow()) << 16) | (std::random_device{}() & 0xffff);
}

HttpServerLimits ToLimits(const LimitSettings& settings) {
  HttpServerLimits limits;
  limits.body_bytes = settings.body_bytes;
  limits.total_body_bytes = settings.total_body_bytes;
  limits.connections = settings.connections;
  limits.connections_per_address = settings.connections_per_address;
  limits.request_time = settings.request_time;
  return limits;
}

}  // namespace

/// The order of the members is the order of their construction; the threads are stopped before any
/// of them is destroyed.
struct Daemon::State {
  explicit State(Settings own_settings);
  ~State();

  const Settings settings;
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
  EndpointRegistry endpoints;
  Dispatcher dispatcher;
  Services services;
  AdminRoutes admin;
  HttpFront front;
  PeerService peers;
  ControlPlaneDriver control;
  HttpServer server;
  DrainDriver drain;
  std::atomic<bool> stopped{false};
};

Daemon::State::State(Settings own_settings)
    : settings(std::move(own_settings)),
      pool(settings.daemon.workers),
      http(pool.GetExecutor(), {}),
      tables(http, settings.platform.tables, settings.platform.timeout),
      objects(http, settings.platform.objects, settings.platform.timeout),
      instances(http, settings.platform.instances, settings.platform.timeout),
      request_log(settings.request_records),
      running(settings.limits.requests),
      event_ids(settings.secrets.shared_key, settings.secrets.previous_shared_key),
      endpoints(http, instances, settings.polling, metrics),
      dispatcher(endpoints, metrics, request_log, settings.daemon.failure_domain),
      services{settings,
               {settings.daemon.name, NewIncarnation()},
               pool.GetExecutor(),
               http,
               tables,
               objects,
               instances,
               endpoints,
               dispatcher,
               catalogue,
               lookup,
               metrics,
               request_log,
               running,
               event_ids},
      admin(services),
      front(services, admin),
      peers(services),
      control(services, peers),
      server(
          pool.GetExecutor(), ToLimits(settings.limits),
          [this](HttpExchange& exchange) { return front.Handle(exchange); }, RejectionReply),
      drain(services, {[this]() {
                         lookup.LeaveLookups();
                         control.Leave(false);
                       },
                       [this]() { front.RefuseNewWork(); },
                       [this]() {
                         server.StopAccepting();
                         control.Leave(true);
                         stopped = true;
                       }}) {}

Daemon::State::~State() {
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
  RegisterCatalogueRoutes(state.admin, state.services, state.control);
  state.control.SetSupersededHandler([&state]() { state.drain.RequestStop(); });
  const std::error_code error = state.server.Listen(state.settings.listen.http);
  if (error) {
    Log(LogLevel::kError, "listen_failed",
        "address=" + state.settings.listen.http + " reason=\"" + error.message() + "\"");
    return error;
  }
  const std::error_code peer_error = state.control.Start(state.server.Address());
  if (peer_error) return peer_error;
  state.endpoints.Start(state.pool.GetExecutor());
  Log(LogLevel::kInfo, "started",
      "daemon=" + ToString(state.services.self) + " http=" + state.server.Address());
  return {};
}

void Daemon::RequestStop() { m_state->drain.RequestStop(); }

bool Daemon::Stopped() const { return m_state->stopped; }

std::string Daemon::HttpAddress() const { return m_state->server.Address(); }

Services& Daemon::SharedServices() { return m_state->services; }

}  // namespace fulmarpoint
