#include "server/daemon.h"

#include <atomic>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "server/admin_routes.h"
#include "server/catalogue_loader.h"
#include "server/dispatcher.h"
#include "server/drain_driver.h"
#include "server/endpoint_registry.h"
#include "server/http_front.h"
#include "server/instance_list_client.h"
#include "server/lookup.h"
#include "server/metrics.h"
#include "server/object_client.h"
#include "server/problem_reply.h"
#include "server/request_drivers.h"
#include "server/request_log.h"
#include "server/running_requests.h"
#include "server/services.h"
#include "server/table_client.h"
#include "state/burn_table.h"
#include "state/rollout_table.h"
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

ReaderBuffersSettings ToBufferSettings(const BufferSettings& settings) {
  ReaderBuffersSettings buffers;
  buffers.stream_high_water = settings.stream_bytes;
  buffers.stream_low_water = settings.stream_bytes / 4;
  buffers.organisation_budget = settings.organisation_bytes;
  buffers.daemon_budget = settings.daemon_bytes;
  return buffers;
}

std::vector<EntryDaemon> ListedDaemons(const EndpointRegistry& endpoints) {
  std::vector<EntryDaemon> daemons;
  for (const ListedInstance& instance : endpoints.Daemons()) {
    daemons.push_back({instance.name, instance.address, instance.failure_domain, instance.leaving});
  }
  return daemons;
}

}  // namespace

/// The order of the members is the order of their construction; the threads are stopped before any
/// of them is destroyed.
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
  BurnTable burn;
  EndpointRegistry endpoints;
  Dispatcher dispatcher;
  RequestDrivers drivers;
  Services services;
  AdminRoutes admin;
  HttpFront front;
  CatalogueLoader loader;
  HttpServer server;
  DrainDriver drain;
  std::atomic<bool> stopped{false};
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
      endpoints(http, instances, settings.polling, metrics),
      dispatcher(endpoints, rollouts, metrics, request_log, settings.daemon.failure_domain),
      drivers(pool.GetExecutor(), ToBufferSettings(settings.buffers), tables, self),
      services{settings,    self,      pool.GetExecutor(), http,      tables,    objects,
               instances,   endpoints, dispatcher,         catalogue, lookup,    metrics,
               request_log, running,   rollouts,           burn,      event_ids, drivers},
      admin(services),
      front(services, admin),
      loader(services),
      server(
          pool.GetExecutor(), ToLimits(settings.limits),
          [this](HttpExchange& exchange) { return front.Handle(exchange); }, RejectionReply),
      drain(services, {[this]() { lookup.LeaveLookups(); }, [this]() { front.RefuseNewWork(); },
                       [this]() {
                         server.StopAccepting();
                         stopped = true;
                       }}) {}

Daemon::State::~State() {
  drivers.buffers.Stop();
  drivers.calls.Stop();
  loader.Stop();
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
  state.lookup.SetDaemons([&state]() { return ListedDaemons(state.endpoints); });
  const std::error_code error = state.server.Listen(state.settings.listen.http);
  if (error) {
    Log(LogLevel::kError, "listen_failed",
        "address=" + state.settings.listen.http + " reason=\"" + error.message() + "\"");
    return error;
  }
  state.catalogue.SetListener([&state](const CatalogueSnapshot& snapshot) {
    std::vector<CatalogueEntry> entries;
    for (const auto& [name, service] : snapshot.services) {
      if (service->entry->rollout) entries.push_back(*service->entry);
    }
    state.rollouts.SetEntries(entries);
  });
  state.drivers.buffers.Start();
  state.drivers.calls.Start();
  state.lookup.SetKeys([&state]() -> std::optional<IssuedKeys> {
    CallCoordinator& calls = state.drivers.calls;
    return IssuedKeys{calls.IssueKeyPrefix(), calls.KeyValidity()};
  });
  state.loader.Start();
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
