#include "platform_standin.h"

#include "transport/notification.h"

namespace fulmarpoint::standin {

namespace {

constexpr Duration kRateWindow = std::chrono::seconds(1);

std::string LastSegment(const std::string& path) { return path.substr(path.rfind('/') + 1); }

}  // namespace

PlatformStandin::PlatformStandin(const Executor& executor, const std::string& name,
                                 PlatformOptions options)
    : m_options(options),
      m_server(
          executor, name, /*exit_on_crash=*/true,
          {.handle = [this](HttpExchange& exchange) { return Handle(exchange); },
           .control = [this](const std::string& action,
                             const nlohmann::json& request) { return Control(action, request); },
           .state = [this]() { return State(); },
           // The services are durable; a crash only closes connections.
           .on_crash = []() {}}) {}

Task<void> PlatformStandin::Handle(HttpExchange& exchange) {
  const HttpRequest& request = exchange.Request();
  const Target target = ParseTarget(request.target);
  const bool is_write = request.method != "GET";
  if (target.path.starts_with("/tables/")) {
    co_await HandleStoreRequest(exchange, "tables", false, [&]() { return ReadTable(target); });
  } else if (target.path == "/transactions" && is_write) {
    co_await HandleStoreRequest(exchange, "tables", true,
                                [&]() { return Transaction(request.body); });
  } else if (target.path.starts_with("/objects/")) {
    const std::string key = PercentDecode(target.path.substr(std::string("/objects/").size()));
    co_await HandleStoreRequest(exchange, "objects", is_write, [&]() {
      if (!is_write) return ReadObject(key);
      m_objects[key] = request.body;
      return HttpReply{204, {}, ""};
    });
  } else if (target.path.starts_with("/weights/")) {
    co_await HandleStoreRequest(exchange, "weights", false,
                                [&]() { return DownloadWeights(target.path); });
  } else if (target.path == "/instances") {
    co_await exchange.Respond(Instances());
  } else {
    co_await exchange.Respond(ErrorReply(404, "not found"));
  }
}

bool PlatformStandin::IsWithinRate(RateWindow& window, int limit) {
  const TimePoint now = SteadyNow();
  if (now - window.start >= kRateWindow) window = {now, 0};
  return ++window.count <= limit;
}

Task<void> PlatformStandin::HandleStoreRequest(HttpExchange& exchange, const std::string& service,
                                               bool is_write, std::function<HttpReply()> apply) {
  const StoreFault fault = m_faults[service];
  if (fault.state == "down") {
    co_await exchange.Respond(ErrorReply(503, "unavailable"));
    co_return;
  }
  if (fault.state == "hang") {
    Notification gone(co_await CurrentExecutor());
    exchange.OnClientDisconnect([&gone]() { gone.Notify(); });
    co_await gone.Wait();
    co_return;
  }
  const bool allowed = is_write ? IsWithinRate(m_writes, m_options.writes_per_second)
                                : IsWithinRate(m_reads, m_options.reads_per_second);
  if (!allowed) {
    co_await exchange.Respond(ErrorReply(429, "rate limit"));
    co_return;
  }
  if (fault.state == "slow") co_await Sleep(fault.delay);
  HttpReply reply = apply();
  if (fault.state == "lose" && is_write) {
    m_server.Events().Add("reply_lost", {{"service", service}});
    co_await exchange.StartStream(200, HttpHeaders());
    co_return;
  }
  co_await exchange.Respond(std::move(reply));
}

HttpReply PlatformStandin::ReadTable(const Target& target) const {
  // Paths are /tables/T/rows and /tables/T/rows/K; a key may contain slashes.
  const std::string rest = target.path.substr(std::string("/tables/").size());
  const std::size_t slash = rest.find('/');
  const auto table = m_tables.find(PercentDecode(rest.substr(0, slash)));
  const std::string path = slash == std::string::npos ? "" : rest.substr(slash);
  const std::string row_prefix = "/rows/";
  if (path.starts_with(row_prefix)) {
    if (table == m_tables.end()) return JsonReply(404, {{"error", "no such row"}});
    const auto row = table->second.find(PercentDecode(path.substr(row_prefix.size())));
    if (row == table->second.end() || row->second.value.is_null()) {
      return JsonReply(404, {{"error", "no such row"}});
    }
    return JsonReply(200, {{"value", row->second.value}, {"version", row->second.version}});
  }
  if (path != "/rows") return JsonReply(404, {{"error", "not found"}});
  const std::uint64_t since = QueryNumber(target, "since");
  nlohmann::json rows = nlohmann::json::array();
  if (table != m_tables.end()) {
    for (const auto& [key, row] : table->second) {
      if (row.version <= since) continue;
      rows.push_back({{"key", key}, {"value", row.value}, {"version", row.version}});
    }
  }
  return JsonReply(200, {{"rows", rows}, {"version", m_version}});
}

HttpReply PlatformStandin::Transaction(const std::string& body) {
  const nlohmann::json request = nlohmann::json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!request.is_object() || !request.contains("operations")) {
    return JsonReply(400, {{"error", "malformed"}});
  }
  nlohmann::json conflicts = nlohmann::json::array();
  for (const nlohmann::json& operation : request["operations"]) {
    const std::string table = operation.value("table", std::string());
    const std::string key = operation.value("key", std::string());
    const Row row = m_tables[table][key];
    const std::uint64_t current = row.value.is_null() ? 0 : row.version;
    if (current == operation.value("expect", std::uint64_t{0})) continue;
    conflicts.push_back(
        {{"table", table}, {"key", key}, {"version", current}, {"value", row.value}});
  }
  if (!conflicts.empty()) return JsonReply(409, {{"conflicts", conflicts}});
  ++m_version;
  for (const nlohmann::json& operation : request["operations"]) {
    m_tables[operation.value("table", std::string())][operation.value("key", std::string())] = {
        operation.value("value", nlohmann::json()), m_version};
  }
  return JsonReply(200, {{"version", m_version}});
}

HttpReply PlatformStandin::ReadObject(const std::string& key) const {
  const auto found = m_objects.find(key);
  if (found == m_objects.end()) return JsonReply(404, {{"error", "no such object"}});
  return {200, {{"Content-Type", "application/octet-stream"}}, found->second};
}

HttpReply PlatformStandin::DownloadWeights(const std::string& path) {
  const TimePoint now = SteadyNow();
  if (now < m_next_weight_download) return JsonReply(429, {{"error", "rate limit"}});
  m_next_weight_download = now + m_options.weight_interval;
  return JsonReply(200, {{"version", LastSegment(path)}});
}

HttpReply PlatformStandin::Instances() const {
  const TimePoint visible = SteadyNow() - m_options.list_lag;
  nlohmann::json list = nlohmann::json::array();
  for (const auto& [at, entries] : m_instance_lists) {
    // The first list is the initial state, which is visible at once.
    if (at <= visible || &entries == &m_instance_lists.front().second) list = entries;
  }
  return JsonReply(200, list);
}

void PlatformStandin::SetInstances(nlohmann::json list) {
  m_instances = std::move(list);
  m_instance_lists.emplace_back(SteadyNow(), m_instances);
}

bool PlatformStandin::Control(const std::string& action, const nlohmann::json& request) {
  if (action == "store") {
    m_faults[request.value("service", std::string("tables"))] = {
        request.value("state", std::string("up")),
        std::chrono::milliseconds(request.value("delay_ms", 0))};
  } else if (action == "instances") {
    SetInstances(request.value("list", nlohmann::json::array()));
  } else if (action == "instance") {
    const std::string state = request.value("state", std::string("live"));
    nlohmann::json list = nlohmann::json::array();
    for (nlohmann::json entry : m_instances) {
      if (entry.value("name", std::string()) == request.value("name", std::string())) {
        if (state == "gone") continue;
        entry["state"] = state;
      }
      list.push_back(entry);
    }
    SetInstances(list);
  } else if (action == "list_lag") {
    m_options.list_lag = std::chrono::milliseconds(request.value("ms", 0));
  } else {
    return false;
  }
  return true;
}

nlohmann::json PlatformStandin::State() const {
  nlohmann::json tables = nlohmann::json::object();
  for (const auto& [name, rows] : m_tables) {
    for (const auto& [key, row] : rows) {
      tables[name][key] = {{"value", row.value}, {"version", row.version}};
    }
  }
  return {{"tables", tables}, {"instances", m_instances}, {"objects", m_objects.size()}};
}

}  // namespace fulmarpoint::standin
