#include "standin_server.h"

#include <cstdio>
#include <cstdlib>
#include <utility>

#include "transport/notification.h"

namespace fulmarpoint::standin {

namespace {

constexpr Duration kPausePollInterval = std::chrono::milliseconds(5);
// The HTTP server closes idle connections after this time, so older peers can be dropped.
constexpr Duration kPeerLifetime = std::chrono::seconds(120);
constexpr int kCrashExitStatus = 70;

}  // namespace

Target ParseTarget(const std::string& target) {
  Target parsed;
  const std::size_t question = target.find('?');
  parsed.path = target.substr(0, question);
  if (question == std::string::npos) return parsed;
  std::size_t begin = question + 1;
  while (begin < target.size()) {
    const std::size_t end = std::min(target.find('&', begin), target.size());
    const std::string part = target.substr(begin, end - begin);
    const std::size_t equals = part.find('=');
    if (equals != std::string::npos) parsed.query[part.substr(0, equals)] = part.substr(equals + 1);
    begin = end + 1;
  }
  return parsed;
}

std::string PercentDecode(const std::string& text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      decoded += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

std::uint64_t QueryNumber(const Target& target, const std::string& name) {
  const auto found = target.query.find(name);
  return found == target.query.end() ? 0 : std::strtoull(found->second.c_str(), nullptr, 10);
}

HttpReply JsonReply(int status, const nlohmann::json& body) {
  return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

HttpReply ErrorReply(int status, const std::string& error) {
  return JsonReply(status, {{"error", error}});
}

HttpReply OkReply() { return JsonReply(200, {{"ok", true}}); }

HttpReply EmptyReply() { return {204, {}, ""}; }

StandinServer::StandinServer(Executor executor, std::string name, bool exit_on_crash,
                             Callbacks callbacks)
    : m_executor(std::move(executor)),
      m_name(std::move(name)),
      m_exit_on_crash(exit_on_crash),
      m_callbacks(std::move(callbacks)) {}

void StandinServer::Open() {
  HttpServerLimits limits;
  limits.body_bytes = std::size_t{16} * 1024 * 1024;
  m_server = std::make_unique<HttpServer>(
      m_executor, limits, [this](HttpExchange& exchange) { return Handle(exchange); },
      [](HttpRejection) {
        return JsonReply(400, {{"error", "rejected"}});
      });
}

std::error_code StandinServer::Listen(const std::string& address) {
  Open();
  const std::error_code error = m_server->Listen(address);
  if (!error) m_address = m_server->Address();
  return error;
}

Task<void> StandinServer::WaitWhilePaused() {
  while (m_paused) co_await Sleep(kPausePollInterval);
}

void StandinServer::Crash(std::optional<Duration> restart_after) {
  if (m_exit_on_crash && !restart_after) std::_Exit(kCrashExitStatus);
  m_events.Add("crashed", {{"endpoint", m_name}});
  m_callbacks.on_crash();
  m_last_request_by_peer.clear();
  m_stalled_peers.clear();
  m_paused = false;
  m_server->Close();
  if (!restart_after) return;
  Spawn(m_executor, [this, delay = *restart_after]() -> Task<void> {
    co_await Sleep(delay);
    Open();
    const std::error_code error = m_server->Listen(m_address);
    if (error)
      std::fprintf(stderr, "%s: cannot listen after the restart: %s\n", m_address.c_str(),
                   error.message().c_str());
    m_events.Add("restarted", {{"endpoint", m_name}});
  });
}

Task<void> StandinServer::WaitUntilClientDisconnects(HttpExchange& exchange) {
  Notification gone(co_await CurrentExecutor());
  exchange.OnClientDisconnect([&gone]() { gone.Notify(); });
  co_await gone.Wait();
}

Task<void> StandinServer::Handle(HttpExchange& exchange) {
  const Target target = ParseTarget(exchange.Request().target);
  if (target.path.starts_with("/control")) {
    co_await HandleControl(exchange, target);
    co_return;
  }
  const TimePoint now = SteadyNow();
  std::erase_if(m_last_request_by_peer,
                [now](const auto& seen) { return now - seen.second > kPeerLifetime; });
  const std::string peer = exchange.Request().peer_address;
  m_last_request_by_peer[peer] = now;
  co_await WaitWhilePaused();
  if (IsStalled(peer)) {
    co_await WaitUntilClientDisconnects(exchange);
    co_return;
  }
  if (m_rejects_requests && target.path != "/v1/load") {
    co_await exchange.Respond(ErrorReply(503, "refused"));
    co_return;
  }
  bool malformed = false;
  try {
    co_await m_callbacks.handle(exchange);
  } catch (const nlohmann::json::exception&) {
    // A field of the request has the wrong type.
    malformed = true;
  }
  if (malformed && !exchange.Started()) co_await exchange.Respond(ErrorReply(400, "malformed"));
}

bool StandinServer::PerformAction(const std::string& action, const nlohmann::json& request) {
  if (action == "pause") {
    m_paused = true;
  } else if (action == "resume") {
    m_paused = false;
  } else if (action == "slow") {
    m_slow_factor = request.value("factor", 1.0);
  } else if (action == "refuse") {
    m_rejects_requests = request.value("on", true);
  } else if (action == "silence") {
    for (const auto& [peer, at] : m_last_request_by_peer) m_stalled_peers.insert(peer);
  } else {
    return m_callbacks.control(action, request);
  }
  return true;
}

Task<void> StandinServer::HandleControl(HttpExchange& exchange, const Target& target) {
  if (exchange.Request().method == "GET") {
    nlohmann::json body;
    if (target.path == "/control/events") {
      body = {{"name", m_name}, {"events", m_events.Since(QueryNumber(target, "since"))}};
    } else {
      body = m_callbacks.state();
    }
    co_await exchange.Respond(JsonReply(200, body));
    co_return;
  }
  const nlohmann::json request =
      nlohmann::json::parse(exchange.Request().body, nullptr, /*allow_exceptions=*/false);
  const bool valid = request.is_object() && request.contains("action");
  const std::string action = valid ? request.value("action", std::string()) : std::string();
  if (action == "crash") {
    std::optional<Duration> restart;
    if (request.contains("restart_after_ms")) {
      restart = std::chrono::milliseconds(request.value("restart_after_ms", 0));
    }
    if (restart || !m_exit_on_crash) co_await exchange.Respond(OkReply());
    Crash(restart);
    co_return;
  }
  m_events.Add("control", {{"action", action}});
  const bool known = valid && PerformAction(action, request);
  HttpReply reply = OkReply();
  if (!known) reply = ErrorReply(400, "unknown action \"" + action + "\"");
  co_await exchange.Respond(std::move(reply));
}

}  // namespace fulmarpoint::standin
