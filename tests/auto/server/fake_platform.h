#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

#include "protocol/catalogue_item.h"
#include "server/api_key.h"
#include "server/settings.h"
#include "transport/http_server.h"
#include "transport/worker_pool.h"

namespace fulmarpoint {

/// Table service, instance list, one model engine and one application engine on one loopback port,
/// as small as the tests of the daemon allow.
class FakePlatform {
 public:
  explicit FakePlatform(int tokens = 5)
      : m_tokens(tokens),
        m_server(
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
  int StreamsOpened() const { return m_streams; }
  /// Tokens from here on wait until `Release`.
  void HoldTokens() { m_hold = true; }
  void Release() { m_hold = false; }

  Settings MakeSettings() const {
    Settings settings;
    settings.daemon.name = "d1";
    settings.daemon.failure_domain = "a";
    settings.listen = {"127.0.0.1:0", "127.0.0.1:0"};
    settings.platform.tables = settings.platform.objects = settings.platform.instances = Address();
    settings.secrets.shared_key = std::string(32, 'k');
    settings.secrets.operator_key_hashes = {Sha256Hex("operator")};
    settings.polling.load = std::chrono::milliseconds(50);
    settings.keep_seconds = 1;
    // A daemon waits for its first credits; tests of other things do without them.
    settings.use_credits = false;
    settings.drain.margin = Duration::zero();
    return settings;
  }

 private:
  using Json = nlohmann::json;

  static std::string Entry(const std::string& service, const std::string& kind) {
    Json entry = {
        {"service", service},
        {"owner", "ops"},
        {"kind", kind},
        {"version", "v1"},
        {"versions", {"v1"}},
        {"idempotent_routes", Json::array()},
        {"organisations",
         {{{"organisation", "org-" + kind}, {"key_hashes", {Sha256Hex("key-" + kind)}}}}}};
    if (kind == "model") entry["model"] = "draft";
    if (kind == "application") entry["idempotent_routes"] = {"GET /items"};
    return entry.dump();
  }

  /// The rows that a daemon would have written as revision 1.
  Json Rows() const {
    Json rows = Json::array();
    const auto add = [&rows](const std::string& key, const std::string& value) {
      rows.push_back({{"key", key}, {"value", EncodeRow({key, 1, 1, value})}, {"version", 1}});
    };
    add(kHeadKey, "");
    for (const auto& [service, kind] :
         std::map<std::string, std::string>{{"assistant", "model"}, {"orders", "application"}}) {
      const Parsed<CatalogueEntry> entry = ParseCatalogueEntryJson(Entry(service, kind));
      for (const auto& [key, value] : ItemsOf(entry.Value())) add(key, value);
    }
    return {{"rows", rows}, {"version", 1}};
  }

  Json Instances() const {
    Json list = Json::array();
    for (const char* kind : {"engine", "application"}) {
      list.push_back({{"name", std::string(kind) + "-1"},
                      {"address", Address()},
                      {"kind", kind},
                      {"state", "live"},
                      {"failure_domain", "a"},
                      {"region", "r"}});
    }
    return list;
  }

  Task<void> Handle(HttpExchange& exchange) {
    const std::string target = exchange.Request().target;
    HttpReply reply;
    if (target == "/instances") {
      reply.body = Instances().dump();
    } else if (target == "/tables/catalogue/rows/head") {
      reply.body = Rows()["rows"][0].dump();
    } else if (target.rfind("/tables/catalogue/rows", 0) == 0) {
      reply.body = Rows().dump();
    } else if (target == "/v1/load") {
      const Json load = {{"incarnation", 7},
                         {"slots", 4},
                         {"active", 0},
                         {"queued", 0},
                         {"leaving", false},
                         {"version", "v1"},
                         {"models", {{{"model", "draft"}, {"version", "v1"}}}}};
      reply.body = load.dump();
    } else if (target == "/v1/streams") {
      co_await Stream(exchange);
      co_return;
    } else {
      reply.status = 404;
    }
    co_await exchange.Respond(std::move(reply));
  }

  Task<void> Stream(HttpExchange& exchange) {
    ++m_streams;
    HttpHeaders headers = {{"Content-Type", "text/event-stream"}};
    co_await exchange.StartStream(200, std::move(headers));
    for (int i = 0; i < m_tokens; ++i) {
      while (m_hold && !exchange.ClientDisconnected()) co_await Sleep(std::chrono::milliseconds(5));
      const Json data = {{"position", i}, {"token", "t" + std::to_string(i)}};
      if (co_await exchange.WriteChunk("data: " + data.dump() + "\n\n")) co_return;
    }
    const Json data = {{"done", true}, {"total", m_tokens}};
    co_await exchange.WriteChunk("data: " + data.dump() + "\n\n");
    co_await exchange.FinishStream();
  }

  const int m_tokens;
  std::atomic<int> m_streams{0};
  std::atomic<bool> m_hold{false};
  WorkerPool m_pool{1};
  HttpServer m_server;
};

}  // namespace fulmarpoint
