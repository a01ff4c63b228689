#include "application_standin.h"

#include <utility>

#include "transport/notification.h"
#include "verification/token_function.h"

namespace fulmarpoint::standin {

namespace {

constexpr std::size_t kEventTextBytes = 64;

std::string HeaderOf(const HttpRequest& request, std::string_view name) {
  return std::string(FindHeader(request.headers, name).value_or(""));
}

}  // namespace

ApplicationStandin::ApplicationStandin(const Executor& executor, const std::string& name,
                                       bool exit_on_crash, ApplicationOptions options)
    : m_options(std::move(options)),
      m_server(
          executor, name, exit_on_crash,
          {.handle = [this](HttpExchange& exchange) { return Handle(exchange); },
           .control = [this](const std::string& action,
                             const nlohmann::json& request) { return Control(action, request); },
           .state = [this]() { return State(); },
           .on_crash = [this]() { ++m_incarnation; }}),
      m_incarnation(static_cast<std::uint64_t>(WallNow())) {}

Task<void> ApplicationStandin::Handle(HttpExchange& exchange) {
  if (exchange.Request().target == "/v1/load") {
    co_await exchange.Respond(JsonReply(200, LoadReport()));
    co_return;
  }
  if (m_leaving && m_rejects_when_leaving) {
    co_await exchange.Respond(ErrorReply(503, "leaving"));
    co_return;
  }
  ++m_active;
  co_await Run(exchange);
  --m_active;
}

Task<void> ApplicationStandin::SimulateWork() {
  double factor = m_server.SlowFactor();
  if (m_active > m_options.slots) factor *= static_cast<double>(m_active) / m_options.slots;
  const double half = static_cast<double>(m_options.service_time.count()) * factor / 2;
  co_await Sleep(Duration(static_cast<Duration::rep>(half)));
  co_await m_server.WaitWhilePaused();
}

Task<void> ApplicationStandin::Run(HttpExchange& exchange) {
  const HttpRequest& request = exchange.Request();
  const std::uint64_t incarnation = m_incarnation;
  const nlohmann::json fields = {{"text", request.body.substr(0, kEventTextBytes)},
                                 {"request_id", HeaderOf(request, "X-Request-Id")},
                                 {"idempotency_key", HeaderOf(request, "Idempotency-Key")},
                                 {"method", request.method},
                                 {"target", request.target},
                                 {"version", m_options.version}};
  m_server.Events().Add("started", fields);
  const bool fails = m_fail_every != 0 && ++m_requests % m_fail_every == 0;
  co_await SimulateWork();
  if (fails) {
    co_await exchange.Respond(ErrorReply(500, "failed before any effect"));
    co_return;
  }
  if (incarnation != m_incarnation) co_return;
  if (request.method != "GET" && request.method != "HEAD") {
    m_server.Events().Add("effect", fields);
    m_effects.push_back(fields);
    if (m_replies_to_drop > 0) {
      --m_replies_to_drop;
      co_await DropReply(exchange);
      co_return;
    }
  }
  co_await SimulateWork();
  if (m_server.IsStalled(request.peer_address)) {
    co_await DropReply(exchange);
    co_return;
  }
  HttpReply reply{200,
                  {{"Content-Type", "application/json"}},
                  AnswerTo(request.method, request.target, request.body)};
  co_await exchange.Respond(std::move(reply));
}

Task<void> ApplicationStandin::DropReply(HttpExchange& exchange) {
  m_server.Events().Add("reply_lost", {{"target", exchange.Request().target}});
  if (m_hang_when_dropping || m_server.IsStalled(exchange.Request().peer_address)) {
    Notification gone(co_await CurrentExecutor());
    exchange.OnClientDisconnect([&gone]() { gone.Notify(); });
    co_await gone.Wait();
    co_return;
  }
  // Sends the head only, so that the connection closes within the reply.
  co_await exchange.StartStream(200, HttpHeaders());
}

nlohmann::json ApplicationStandin::LoadReport() const {
  return {{"incarnation", m_incarnation}, {"slots", m_options.slots},
          {"active", m_active},           {"queued", 0},
          {"leaving", m_leaving},         {"version", m_options.version}};
}

nlohmann::json ApplicationStandin::State() const {
  return {{"name", m_server.Name()}, {"load", LoadReport()}, {"effects", m_effects}};
}

bool ApplicationStandin::Control(const std::string& action, const nlohmann::json& request) {
  if (action == "leaving") {
    m_leaving = request.value("on", true);
    m_rejects_when_leaving = request.value("refuse", false);
  } else if (action == "lose_replies") {
    m_replies_to_drop = request.value("count", 1);
    m_hang_when_dropping = request.value("hang", false);
  } else if (action == "fail_every") {
    m_fail_every = request.value("count", std::uint64_t{0});
  } else {
    return false;
  }
  return true;
}

}  // namespace fulmarpoint::standin
