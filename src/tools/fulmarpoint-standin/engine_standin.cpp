#include "engine_standin.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "protocol/identifiers.h"
#include "verification/token_function.h"

namespace fulmarpoint::standin {

namespace {

constexpr Duration kStreamRetention = std::chrono::seconds(30);
constexpr Duration kReportInterval = std::chrono::milliseconds(50);
// Slowdown of an engine with more requests than its slots and queue hold.
constexpr double kOverloadFactor = 10.0;
constexpr std::size_t kEventTextBytes = 64;
const char kStreamsPath[] = "/v1/streams/";

std::vector<std::string> Words(const std::string& text) {
  std::istringstream input(text);
  std::vector<std::string> words;
  for (std::string word; input >> word;) words.push_back(word);
  return words;
}

Duration Scale(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

/// Returns a number that is higher for requests that are served first.
int PriorityOf(const nlohmann::json& priority) {
  if (priority.is_number_integer()) return priority.get<int>();
  if (priority == "high") return 1;
  return priority == "low" ? -1 : 0;
}

std::string TokenLine(std::uint64_t position, const std::string& token) {
  const nlohmann::json data = {{"position", position}, {"token", token}};
  return "data: " + data.dump() + "\n\n";
}

std::string EndLine(std::uint64_t total) {
  const nlohmann::json data = {{"done", true}, {"total", total}};
  return "data: " + data.dump() + "\n\n";
}

}  // namespace

struct EngineStandin::Stream {
  explicit Stream(const Executor& executor) : admitted(executor) {}

  std::string id;
  std::string model;
  std::string version;
  std::string prompt;
  std::vector<std::string> context_tokens;
  std::uint64_t seed = 0;
  std::uint64_t start = 0;
  std::uint64_t generated = 0;
  std::uint64_t total = 0;
  int priority = 0;
  bool has_slot = false;
  bool ended = false;
  bool cancelled = false;
  int readers = 0;
  TimePoint last_reader;
  Notification admitted;
  std::set<Notification*> reader_notifications;

  std::string Token(std::uint64_t position) const {
    return TokenAt(model, version, prompt, seed, position);
  }
  void NotifyReaders() {
    for (Notification* reader : reader_notifications) reader->Notify();
  }
};

EngineStandin::EngineStandin(const Executor& executor, const std::string& name, bool exit_on_crash,
                             EngineOptions options)
    : m_options(std::move(options)),
      m_server(
          executor, name, exit_on_crash,
          {.handle = [this](HttpExchange& exchange) { return Handle(exchange); },
           .control = [this](const std::string& action,
                             const nlohmann::json& request) { return Control(action, request); },
           .state = [this]() { return State(); },
           .on_crash = [this]() { OnCrash(); }}),
      m_cache(m_options.cache_tokens),
      m_incarnation(static_cast<std::uint64_t>(WallNow())),
      m_versions(m_options.versions.begin(), m_options.versions.end()) {
  Spawn(executor, [this]() { return UpdateLoadReports(); });
}

Task<void> EngineStandin::Handle(HttpExchange& exchange) {
  const HttpRequest& request = exchange.Request();
  const Target target = ParseTarget(request.target);
  if (target.path == "/v1/load") {
    co_await exchange.Respond(JsonReply(200, DelayedLoadReport()));
  } else if (target.path == "/v1/cache-events") {
    co_await exchange.Respond(
        JsonReply(200, m_cache.EventsSince(QueryNumber(target, "since"), SteadyNow())));
  } else if (target.path == "/v1/orders" && request.method == "POST") {
    co_await HandleOrder(exchange);
  } else if (target.path == "/v1/streams" && request.method == "POST") {
    co_await StartStream(exchange);
  } else if (target.path.starts_with(kStreamsPath)) {
    const std::string id = target.path.substr(sizeof kStreamsPath - 1);
    if (request.method == "DELETE") {
      Cancel(id);
      co_await exchange.Respond(EmptyReply());
    } else {
      co_await ReconnectStream(exchange, id, QueryNumber(target, "from"));
    }
  } else {
    co_await exchange.Respond(ErrorReply(404, "not found"));
  }
}

bool EngineStandin::FailsByVersion(const std::string& version) {
  const auto fault = m_version_faults.find(version);
  if (fault == m_version_faults.end() || fault->second.fail_every == 0) return false;
  return ++fault->second.requests % fault->second.fail_every == 0;
}

Task<void> EngineStandin::StartStream(HttpExchange& exchange) {
  const nlohmann::json request =
      nlohmann::json::parse(exchange.TakeBody(), nullptr, /*allow_exceptions=*/false);
  if (!request.is_object() || !request.contains("stream")) {
    co_await exchange.Respond(ErrorReply(400, "malformed"));
    co_return;
  }
  const std::string version = request.value("version", std::string());
  const std::string model = request.value("model", std::string());
  const bool leaving = m_leaving && m_rejects_when_leaving;
  if (leaving || !m_versions.contains(version) || model != m_options.model) {
    m_server.Events().Add("refused", {{"version", version}});
    const char* reason = leaving ? "leaving" : "version not loaded";
    co_await exchange.Respond(ErrorReply(503, reason));
    co_return;
  }
  const StreamPointer stream = std::make_shared<Stream>(m_server.GetExecutor());
  stream->id = request.value("stream", std::string());
  stream->model = m_options.model;
  stream->version = version;
  stream->prompt = request.value("prompt", std::string());
  stream->seed = request.value("seed", std::uint64_t{0});
  stream->total = request.value("max_tokens", std::uint64_t{16});
  stream->priority = PriorityOf(request.value("priority", nlohmann::json()));
  const auto prefix = request.value("prefix_tokens", std::vector<std::string>());
  stream->start = prefix.size();
  stream->generated = prefix.size();
  stream->context_tokens = Words(stream->prompt);
  for (std::uint64_t i = 0; i < prefix.size(); ++i) {
    stream->context_tokens.push_back(prefix[i]);
    if (prefix[i] != stream->Token(i)) stream->seed = StableHash(prefix[i], stream->seed + 1);
  }
  m_server.Events().Add("started", {{"text", stream->prompt.substr(0, kEventTextBytes)},
                                    {"stream", stream->id},
                                    {"version", version},
                                    {"from", stream->start}});
  ++m_counters[prefix.empty() ? "streams" : "resumed_streams"];
  if (FailsByVersion(version)) {
    co_await exchange.Respond(ErrorReply(500, "generation failed"));
    co_return;
  }
  m_streams[stream->id] = stream;
  stream->last_reader = SteadyNow();
  Spawn(m_server.GetExecutor(), [this, stream]() { return Generate(stream); });
  co_await WriteTokens(exchange, stream, stream->start);
}

Task<void> EngineStandin::ReconnectStream(HttpExchange& exchange, const std::string& id,
                                          std::uint64_t from) {
  const auto found = m_streams.find(id);
  if (found == m_streams.end() || found->second->cancelled || from < found->second->start) {
    co_await exchange.Respond(ErrorReply(404, "no such stream"));
    co_return;
  }
  const StreamPointer stream = found->second;
  m_server.Events().Add("reconnected", {{"text", stream->prompt.substr(0, kEventTextBytes)},
                                        {"stream", id},
                                        {"version", stream->version},
                                        {"from", from}});
  ++m_counters["reconnects"];
  co_await WriteTokens(exchange, stream, from);
}

Task<void> EngineStandin::WriteTokens(HttpExchange& exchange, StreamPointer stream,
                                      std::uint64_t from) {
  const std::string peer = exchange.Request().peer_address;
  Notification wake(co_await CurrentExecutor());
  exchange.OnClientDisconnect([&wake]() { wake.Notify(); });
  HttpHeaders headers = {{"Content-Type", "text/event-stream"}};
  if (co_await exchange.StartStream(200, std::move(headers))) co_return;
  ++stream->readers;
  stream->reader_notifications.insert(&wake);
  bool complete = false;
  while (!exchange.ClientDisconnected()) {
    co_await m_server.WaitWhilePaused();
    const bool stalled = m_server.IsStalled(peer);
    if (!stalled && stream->cancelled) break;
    if (!stalled && from < stream->generated) {
      if (co_await exchange.WriteChunk(TokenLine(from, stream->Token(from)))) break;
      ++from;
      continue;
    }
    if (!stalled && stream->ended) {
      complete = !co_await exchange.WriteChunk(EndLine(stream->total));
      break;
    }
    co_await wake.Wait();
  }
  stream->reader_notifications.erase(&wake);
  --stream->readers;
  stream->last_reader = SteadyNow();
  if (complete) co_await exchange.FinishStream();
}

Task<void> EngineStandin::Generate(StreamPointer stream) {
  const auto position =
      std::find_if(m_waiting.begin(), m_waiting.end(),
                   [&](const StreamPointer& other) { return other->priority < stream->priority; });
  m_waiting.insert(position, stream);
  AdmitWaiting();
  co_await stream->admitted.Wait();
  if (!stream->cancelled) co_await ProduceTokens(stream);
  if (stream->has_slot) {
    stream->has_slot = false;
    --m_active;
    AdmitWaiting();
  }
  stream->ended = !stream->cancelled;
  stream->NotifyReaders();
  if (stream->cancelled) co_return;
  m_server.Events().Add(
      "ended", {{"text", stream->prompt.substr(0, kEventTextBytes)}, {"stream", stream->id}});
  co_await Sleep(kStreamRetention);
  const auto found = m_streams.find(stream->id);
  if (found != m_streams.end() && found->second == stream) m_streams.erase(found);
}

Task<void> EngineStandin::ProduceTokens(const StreamPointer& stream) {
  const std::size_t cached =
      m_cache.Use(stream->model, stream->version, stream->context_tokens, SteadyNow());
  const std::size_t uncached = stream->context_tokens.size() - cached;
  m_counters["prefill_tokens"] += uncached;
  m_counters["cached_prefill_tokens"] += cached;
  const Duration prefill = m_options.prefill_per_token * static_cast<Duration::rep>(uncached);
  co_await Sleep(Scale(prefill, SlowFactor(stream->version)));
  while (stream->generated < stream->total && !stream->cancelled) {
    co_await Sleep(Scale(m_options.token_interval, SlowFactor(stream->version)));
    co_await m_server.WaitWhilePaused();
    if (stream->cancelled) co_return;
    const TimePoint now = SteadyNow();
    if (stream->readers == 0 && now - stream->last_reader > kStreamRetention) {
      Cancel(stream->id);
      co_return;
    }
    ++stream->generated;
    ++m_counters["tokens"];
    stream->NotifyReaders();
    if (!m_crash_trigger.empty() && stream->prompt.find(m_crash_trigger) != std::string::npos) {
      m_server.Crash(std::chrono::seconds(2));
      co_return;
    }
  }
}

double EngineStandin::SlowFactor(const std::string& version) const {
  double factor = m_server.SlowFactor();
  const auto fault = m_version_faults.find(version);
  if (fault != m_version_faults.end()) factor *= fault->second.slow;
  const std::size_t held = static_cast<std::size_t>(m_active) + m_waiting.size();
  const auto capacity = static_cast<std::size_t>(m_options.slots) +
                        static_cast<std::size_t>(m_options.slowdown_queue_length);
  return held > capacity ? factor * kOverloadFactor : factor;
}

void EngineStandin::AdmitWaiting() {
  while (m_active < m_options.slots && !m_waiting.empty()) {
    const StreamPointer stream = m_waiting.front();
    m_waiting.pop_front();
    stream->has_slot = true;
    ++m_active;
    stream->admitted.Notify();
  }
}

void EngineStandin::Cancel(const std::string& id) {
  const auto found = m_streams.find(id);
  if (found == m_streams.end()) return;
  const StreamPointer stream = found->second;
  m_streams.erase(found);
  if (!stream->ended) ++m_counters["cancelled"];
  stream->cancelled = true;
  std::erase(m_waiting, stream);
  stream->admitted.Notify();
  stream->NotifyReaders();
}

void EngineStandin::OnCrash() {
  while (!m_streams.empty()) Cancel(m_streams.begin()->first);
  m_cache.Clear();
  m_reports.clear();
  m_leaving = false;
  m_highest_fencing_token = 0;
  ++m_incarnation;
}

void EngineStandin::LoadVersion(const std::string& version) {
  Spawn(m_server.GetExecutor(), [this, version]() -> Task<void> {
    co_await Sleep(m_options.version_load_time);
    m_versions.insert(version);
    m_server.Events().Add("loaded", {{"version", version}});
  });
}

Task<void> EngineStandin::HandleOrder(HttpExchange& exchange) {
  const nlohmann::json order =
      nlohmann::json::parse(exchange.TakeBody(), nullptr, /*allow_exceptions=*/false);
  if (!order.is_object()) {
    co_await exchange.Respond(ErrorReply(400, "malformed"));
    co_return;
  }
  const std::uint64_t token = order.value("fencing_token", std::uint64_t{0});
  const bool stale = token < m_highest_fencing_token;
  nlohmann::json fields = order;
  fields["stale"] = stale;
  m_server.Events().Add("order", fields);
  if (stale && m_options.enforces_fencing) {
    co_await exchange.Respond(ErrorReply(409, "stale fencing token"));
    co_return;
  }
  m_highest_fencing_token = std::max(m_highest_fencing_token, token);
  const std::string action = order.value("action", std::string());
  const std::string version = order.value("version", std::string());
  if (action == "load") LoadVersion(version);
  if (action == "unload") m_versions.erase(version);
  if (action == "role") m_role = order.value("role", m_role);
  co_await exchange.Respond(OkReply());
}

Task<void> EngineStandin::UpdateLoadReports() {
  while (true) {
    const TimePoint now = SteadyNow();
    m_reports.emplace_back(now, LoadReport());
    while (m_reports.size() > 1 && m_reports[1].first + m_options.load_report_delay <= now) {
      m_reports.pop_front();
    }
    co_await Sleep(kReportInterval);
  }
}

nlohmann::json EngineStandin::DelayedLoadReport() const {
  return m_reports.empty() ? LoadReport() : m_reports.front().second;
}

nlohmann::json EngineStandin::LoadReport() const {
  nlohmann::json models = nlohmann::json::array();
  for (const std::string& version : m_versions) {
    models.push_back(
        {{"model", m_options.model}, {"version", version}, {"adapters", nlohmann::json::array()}});
  }
  const double slow = SlowFactor("");
  return {{"incarnation", m_incarnation},
          {"slots", m_options.slots},
          {"active", m_active},
          {"queued", m_waiting.size()},
          {"leaving", m_leaving},
          {"models", models},
          {"cache_sequence", m_cache.Sequence()},
          {"token_interval_us", Scale(m_options.token_interval, slow).count()},
          {"role", m_role},
          {"fencing", m_options.enforces_fencing ? "obeyed" : "ignored"}};
}

nlohmann::json EngineStandin::State() const {
  return {{"name", m_server.Name()}, {"load", LoadReport()}, {"counters", m_counters}};
}

bool EngineStandin::Control(const std::string& action, const nlohmann::json& request) {
  if (action == "leaving") {
    m_leaving = request.value("on", true);
    m_rejects_when_leaving = request.value("refuse", false);
  } else if (action == "version") {
    VersionFault& fault = m_version_faults[request.value("version", std::string())];
    fault.slow = request.value("slow", 1.0);
    fault.fail_every = request.value("fail_every", std::uint64_t{0});
  } else if (action == "crash_on") {
    m_crash_trigger = request.value("text", std::string());
  } else if (action == "cache_events") {
    m_cache.SetEventDelay(std::chrono::milliseconds(request.value("delay_ms", 0)));
    m_cache.DropEvents(request.value("drop", std::uint64_t{0}));
  } else if (action == "fencing") {
    m_options.enforces_fencing = request.value("obey", true);
  } else if (action == "load_lag") {
    m_options.load_report_delay = std::chrono::milliseconds(request.value("ms", 0));
  } else {
    return false;
  }
  return true;
}

}  // namespace fulmarpoint::standin
