#include "endpoint_standin.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace fulmarpoint {

namespace {

constexpr Duration kPollInterval = std::chrono::milliseconds(2);
constexpr char kSeal[] = "Fulmarpoint-Server-Seal";
constexpr char kRequestId[] = "Fulmarpoint-Request-Id";

std::string HeaderOf(const HttpRequest& request, const char* name) {
  return std::string(FindHeader(request.headers, name).value_or(""));
}

HttpReply Refusal(const std::string& request_id) {
  return {503, {{"Fulmarpoint-Not-Run", "1"}, {kRequestId, request_id}}, ""};
}

HttpReply BackupReply(const std::string& name) {
  return {200, {}, nlohmann::json{{"handle", name}, {"createRev", 1}}.dump()};
}

HttpReply Misdirection() { return {421, {{"Fulmarpoint-Instance-Id", "another"}}, ""}; }

HttpReply Success(const std::string& request_id, const std::string& id) {
  return {
      200, {{kRequestId, request_id}, {kSeal, "seal-" + id}, {"X-Kept", "yes"}}, "body of " + id};
}

HttpHeaders StreamHeaders(const std::string& request_id, const std::string& id) {
  return {{"Content-Type", "text/event-stream"}, {kRequestId, request_id}, {kSeal, "seal-" + id}};
}

std::string EventText(int number, std::size_t padding = 0) {
  return "id: " + std::to_string(number) + "\ndata: e" + std::to_string(number) +
         std::string(padding, '.') + "\n\n";
}

}  // namespace

std::string AllEvents(int first, int last) {
  std::string text;
  for (int number = first; number <= last; ++number) text += EventText(number);
  return text;
}

EndpointStandin::EndpointStandin(const Executor& executor, std::string id)
    : m_id(std::move(id)),
      m_server(
          executor, HttpServerLimits(), [this](HttpExchange& exchange) { return Handle(exchange); },
          [](HttpRejection) {
            return HttpReply{400, {}, ""};
          }) {
  m_server.Listen("127.0.0.1:0");
}

std::string EndpointRow(const std::string& address, const std::string& service,
                        const std::string& domain, const std::string& state,
                        const std::string& version) {
  return nlohmann::json{{"service", service}, {"address", address}, {"zone", domain},
                        {"version", version}, {"slots", 8},         {"state", state},
                        {"coldLeftMs", 0},    {"seq", 1},           {"born", 1000}}
      .dump();
}

std::string EndpointStandin::Row(const std::string& service, const std::string& domain,
                                 const std::string& state) const {
  return EndpointRow(Address(), service, domain, state, version);
}

std::string EndpointStandin::Header(std::size_t request, const char* name) const {
  return HeaderOf(seen.at(request).request, name);
}

Task<void> EndpointStandin::Handle(HttpExchange& exchange) {
  const std::string& target = exchange.Request().target;
  if (target == "/fulmarpoint/kv-move") {
    const nlohmann::json call = nlohmann::json::parse(exchange.Request().body);
    backup_targets.push_back(call.at("to").get<std::string>());
    co_await exchange.Respond(BackupReply("copy-" + std::to_string(backup_targets.size())));
    co_return;
  }
  if (target.rfind("/fulmarpoint/kv-handle/", 0) == 0) {
    freed_backups.push_back(target.substr(target.rfind('/') + 1));
    co_await exchange.Respond(HttpReply());
    co_return;
  }
  seen.push_back({exchange.Request()});
  const std::size_t index = seen.size() - 1;
  const std::string request_id = HeaderOf(exchange.Request(), kRequestId);
  if (Crashes(exchange.Request())) {
    co_await Crash(exchange);
    co_return;
  }
  if (behaviour == EndpointBehaviour::kReject) {
    co_await exchange.Respond(WithExtraHeaders(Refusal(request_id)));
  } else if (behaviour == EndpointBehaviour::kMisdirect) {
    co_await exchange.Respond(Misdirection());
  } else if (exchange.Request().target.substr(0, 8) == "/stream/" && !AnswersWithoutEvents()) {
    co_await AnswerStream(exchange, request_id);
  } else {
    co_await AnswerCall(exchange, request_id);
  }
  seen[index].caller_disconnected = exchange.ClientDisconnected();
}

HttpReply EndpointStandin::WithExtraHeaders(HttpReply reply) const {
  reply.headers.insert(reply.headers.end(), extra_headers.begin(), extra_headers.end());
  return reply;
}

bool EndpointStandin::Crashes(const HttpRequest& request) const {
  if (behaviour != EndpointBehaviour::kCrash) return false;
  const std::string prompt = HeaderOf(request, "Fulmarpoint-Prompt-Prefix");
  const bool has_part = !crashing_part.empty() && prompt.find(crashing_part) != std::string::npos;
  return has_part || request.target == crashing_target;
}

Task<void> EndpointStandin::Crash(HttpExchange& exchange) {
  m_server.Close();
  co_await WaitUntilCallerDisconnected(exchange);
}

Task<void> EndpointStandin::AnswerCall(HttpExchange& exchange, std::string request_id) {
  HttpReply reply = WithExtraHeaders(Success(request_id, m_id));
  switch (behaviour) {
    case EndpointBehaviour::kFail:
      reply.status = 500;
      break;
    case EndpointBehaviour::kUnsealed:
      // Removes the header `kSeal`.
      reply.headers.erase(reply.headers.begin() + 1);
      break;
    case EndpointBehaviour::kStray:
      // Changes the header `kRequestId`.
      reply.headers[0].value = "another";
      break;
    case EndpointBehaviour::kStall:
      co_await WaitUntilCallerDisconnected(exchange);
      co_return;
    case EndpointBehaviour::kPause:
      co_await Sleep(pause);
      break;
    case EndpointBehaviour::kBreak:
      co_await exchange.StartStream(200, reply.headers);
      co_await exchange.WriteChunk("half of the bo");
      co_return;
    default:
      break;
  }
  co_await exchange.Respond(std::move(reply));
}

bool EndpointStandin::AnswersWithoutEvents() const {
  return behaviour == EndpointBehaviour::kFail || behaviour == EndpointBehaviour::kUnsealed ||
         behaviour == EndpointBehaviour::kStray;
}

Task<void> EndpointStandin::AnswerStream(HttpExchange& exchange, std::string request_id) {
  const std::string after = HeaderOf(exchange.Request(), "Last-Event-Id");
  const int first = after.empty() ? 1 : std::stoi(after) + 1;
  sent = 0;
  has_finished_stream = false;
  for (int number = first; number <= total_events && !exchange.ClientDisconnected(); ++number) {
    const bool reached = sent == events_before_fault;
    if (reached && behaviour == EndpointBehaviour::kStall) {
      co_await WaitUntilCallerDisconnected(exchange);
      co_return;
    }
    if (reached && behaviour == EndpointBehaviour::kPause) co_await Sleep(pause);
    if (reached && behaviour == EndpointBehaviour::kBreak) {
      if (sent > 0) co_await exchange.WriteChunk("id: " + std::to_string(number) + "\nda");
      exchange.CloseAfterReply();
      co_return;
    }
    ++sent;
    if (reached && behaviour == EndpointBehaviour::kSkip) continue;
    if (!exchange.Started()) {
      HttpReply head = WithExtraHeaders({200, StreamHeaders(request_id, m_id), ""});
      co_await exchange.StartStream(200, std::move(head.headers));
    }
    co_await exchange.WriteChunk(EventText(number, event_padding));
    co_await Sleep(event_interval);
  }
  if (exchange.Started()) co_await exchange.FinishStream();
  has_finished_stream = true;
}

Task<void> EndpointStandin::WaitUntilCallerDisconnected(HttpExchange& exchange) {
  while (!exchange.ClientDisconnected()) co_await Sleep(kPollInterval);
}

}  // namespace fulmarpoint
