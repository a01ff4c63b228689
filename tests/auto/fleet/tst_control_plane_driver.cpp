#include <criterion/criterion.h>

#include <future>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "server/api_key.h"
#include "server/daemon.h"
#include "simulation/simulated_table_service.h"
#include "transport/http_client.h"
#include "transport/http_server.h"
#include "transport/worker_pool.h"

using namespace fulmarpoint;
using Json = nlohmann::json;

namespace {

const char kCatalogue[] = R"(
[[service]]
service = "assistant"
owner = "ops"
kind = "model"
model = "draft"
version = "v1"
  [service.limits]
  max_concurrent = %d
)";

std::string Catalogue(int max_concurrent) {
  char text[400];
  std::snprintf(text, sizeof text, kCatalogue, max_concurrent);
  return text;
}

/// Fake table service and instance list on one loopback port.
class FakePlatform {
 public:
  FakePlatform()
      : m_server(
            m_pool.GetExecutor(), {}, [this](HttpExchange& exchange) { return Handle(exchange); },
            [](HttpRejection) {
              return HttpReply{400, {}, ""};
            }) {
    if (m_server.Listen("127.0.0.1:0")) std::abort();
  }
  ~FakePlatform() {
    m_server.Close();
    m_pool.Stop();
  }
  FakePlatform(const FakePlatform&) = delete;
  FakePlatform& operator=(const FakePlatform&) = delete;

  std::string Address() const { return m_server.Address(); }
  void StopTables() { m_tables_down = true; }
  void List(const std::string& name, const std::string& address) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_instances.push_back({{"name", name},
                           {"address", address},
                           {"kind", "daemon"},
                           {"state", "live"},
                           {"failure_domain", "a"},
                           {"region", "r"}});
  }

 private:
  static Json ToJson(const TableRow& row) {
    return {{"key", row.key}, {"value", row.value}, {"version", row.version}};
  }

  Task<void> Handle(HttpExchange& exchange) {
    HttpReply reply = Answer(exchange.Request());
    co_await exchange.Respond(std::move(reply));
  }

  HttpReply Answer(const HttpRequest& request) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (request.target == "/instances") return {200, {}, m_instances.dump()};
    if (m_tables_down) return {503, {}, ""};
    if (request.target == "/transactions") return Transact(request.body);
    const std::size_t table_end = request.target.find('/', 8);
    const std::string table = request.target.substr(8, table_end - 8);
    const std::string rest = request.target.substr(table_end);
    if (rest.starts_with("/rows/")) {
      const std::optional<TableRow> row = m_table.Read(table, rest.substr(6));
      return row ? HttpReply{200, {}, ToJson(*row).dump()} : HttpReply{404, {}, ""};
    }
    Json rows = Json::array();
    for (const TableRow& row : m_table.ReadSince(table, std::stoull(rest.substr(12)))) {
      rows.push_back(ToJson(row));
    }
    return {200, {}, Json{{"rows", rows}, {"version", m_table.Version()}}.dump()};
  }

  HttpReply Transact(const std::string& body) {
    std::vector<TableOperation> operations;
    const Json json = Json::parse(body);
    for (const Json& item : json["operations"]) {
      operations.push_back({item["table"], item["key"], item["expect"], item["value"]});
    }
    const std::optional<std::uint64_t> version = m_table.Transact(operations);
    if (!version) return {409, {}, R"({"conflicts":[]})"};
    return {200, {}, Json{{"version", *version}}.dump()};
  }

  std::mutex m_mutex;
  SimulatedTableService m_table;
  Json m_instances = Json::array();
  std::atomic<bool> m_tables_down{false};
  WorkerPool m_pool{1};
  HttpServer m_server;
};

struct Cluster {
  explicit Cluster(int count) {
    for (int i = 0; i < count; ++i) {
      Settings settings;
      settings.daemon.name = "d" + std::to_string(i);
      settings.daemon.failure_domain = "a";
      settings.daemon.region = "r";
      settings.listen = {"127.0.0.1:0", "127.0.0.1:0"};
      settings.platform.tables = settings.platform.objects = settings.platform.instances =
          platform.Address();
      settings.secrets.shared_key = std::string(32, 'k');
      settings.secrets.operator_key_hashes = {Sha256Hex("operator")};
      daemons.push_back(std::make_unique<Daemon>(settings));
      cr_assert_not(daemons.back()->Start());
      platform.List(settings.daemon.name, daemons.back()->HttpAddress());
    }
  }
  ~Cluster() { pool.Stop(); }
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  HttpReply Send(int index, const std::string& method, const std::string& target,
                 const std::string& body = "") {
    HttpClientRequest request;
    request.address = daemons[static_cast<std::size_t>(index)]->HttpAddress();
    request.method = method;
    request.target = target;
    request.headers = {{"Authorization", "Bearer operator"}};
    request.body = body;
    request.timeout = std::chrono::seconds(30);
    const std::shared_ptr<std::promise<HttpReply>> promise =
        std::make_shared<std::promise<HttpReply>>();
    Spawn(pool.GetExecutor(), [this, request, promise]() -> Task<void> {
      const HttpResult result = co_await http.Send(request);
      promise->set_value(result.reply);
    });
    return promise->get_future().get();
  }

  Json Get(int index, const std::string& target) {
    return Json::parse(Send(index, "GET", target).body, nullptr, false);
  }

  /// If the condition never holds, the test's timeout ends the wait.
  void WaitFor(const std::function<bool()>& condition) {
    while (!condition()) std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }

  int AliveMembersOf(int index) {
    const Json answer = Get(index, "/v1/admin/members");
    int alive = 0;
    for (const Json& member : answer["members"]) alive += member["state"] == "alive" ? 1 : 0;
    return alive;
  }

  FakePlatform platform;
  std::vector<std::unique_ptr<Daemon>> daemons;
  WorkerPool pool{1};
  HttpClient http{pool.GetExecutor(), {}};
};

}  // namespace

// Guards against daemons that do not discover each other through the instance list, changes that do
// not reach all of them over sockets, and false reports to operators.
Test(control_plane_driver, change_reaches_all_daemons, .timeout = 120) {
  Cluster cluster(3);
  for (int i = 0; i < 3; ++i) {
    cluster.WaitFor([&] { return cluster.AliveMembersOf(i) == 3; });
  }
  HttpReply reply;
  cluster.WaitFor([&] {
    reply = cluster.Send(0, "PUT", "/v1/admin/catalogue", Catalogue(10));
    return reply.status == 200;
  });
  cr_assert_eq(Json::parse(reply.body)["status"], "accepted");
  const HttpReply second = cluster.Send(1, "PUT", "/v1/admin/catalogue", Catalogue(20));
  cr_assert_eq(second.status, 200, "%s", second.body.c_str());
  const Json report = Json::parse(second.body);
  cr_assert_eq(report["in_effect"].size(), 3u, "%s", second.body.c_str());
  for (int i = 0; i < 3; ++i) {
    const Json catalogue = cluster.Get(i, "/v1/admin/catalogue");
    cr_assert_geq(catalogue["revision"].get<std::uint64_t>(),
                  report["revision"].get<std::uint64_t>());
    cr_assert_eq(catalogue["service"][0]["limits"]["max_concurrent"], 20);
  }
  // A change that is based on an earlier revision is answered with the differences.
  const HttpReply late = cluster.Send(2, "PUT", "/v1/admin/catalogue?expect=1", Catalogue(30));
  cr_assert_eq(late.status, 409, "%s", late.body.c_str());
  cr_assert_eq(Json::parse(late.body)["differences"][0]["field"], "/limits/max_concurrent");
  const Json history = cluster.Get(0, "/v1/admin/catalogue/history");
  cr_assert_geq(history["revisions"].size(), 2u);
  const HttpReply invalid = cluster.Send(0, "PUT", "/v1/admin/catalogue", "[[service]]\n");
  cr_assert_eq(invalid.status, 422, "%d %s", invalid.status, invalid.body.c_str());
}

// Guards against daemons that stop serving, or report a false status of a change, without the table
// service.
Test(control_plane_driver, change_without_the_table_service_is_not_reported_as_done,
     .timeout = 120) {
  Cluster cluster(1);
  cluster.WaitFor(
      [&] { return cluster.Send(0, "PUT", "/v1/admin/catalogue", Catalogue(10)).status == 200; });
  cluster.platform.StopTables();
  const HttpReply reply = cluster.Send(0, "PUT", "/v1/admin/catalogue", Catalogue(20));
  cr_assert_eq(Json::parse(reply.body)["name"], "outcome_unknown", "%s", reply.body.c_str());
  cr_assert_eq(cluster.Get(0, "/v1/admin/catalogue")["revision"], 1);
}
