#include "server/admin_routes.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "http_api/problem_reply.h"
#include "http_api/url.h"
#include "server/api_key.h"
#include "server/endpoint_registry.h"
#include "server/request_log.h"
#include "state/burn_table.h"

namespace fulmarpoint {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kRequestsPath = "/v1/admin/requests/";

double Milliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

Json ToJson(const EndpointRecord& record, TimePoint now) {
  Json models = Json::array();
  for (const LoadedModel& loaded : record.load.models) {
    models.push_back({{"model", loaded.model}, {"version", loaded.version}});
  }
  Json json = {{"name", record.id},
               {"address", record.address},
               {"kind", NameOf(kInstanceKindNames, record.kind)},
               {"failure_domain", record.failure_domain},
               {"state", NameOf(kEndpointStateNames, record.health.state)},
               {"reported", record.health.reported},
               {"slots", record.health.slots},
               {"active", record.health.active},
               {"queued", record.health.queued},
               {"speed_weight", record.health.speed_weight},
               {"models", models},
               {"version", record.load.version}};
  if (record.health.reported) {
    json["report_age_ms"] = Milliseconds(now - record.health.last_report);
  }
  return json;
}

Json ToJson(const RequestRecord& record) {
  Json decisions = Json::array();
  for (const RequestDecision& decision : record.decisions) {
    decisions.push_back({{"after_ms", Milliseconds(decision.after)},
                         {"decision", decision.name},
                         {"reason", decision.reason}});
  }
  return {{"request", record.id},
          {"organisation", record.organisation},
          {"service", record.service},
          {"started_at_unix_ms", record.started_at},
          {"result", record.result.empty() ? Json() : Json(record.result)},
          {"decisions", decisions},
          {"decisions_left_out", record.decisions_left_out}};
}

Task<HttpReply> AnswerEndpoints(Services& services) {
  Json list = Json::array();
  const TimePoint now = SteadyNow();
  for (const EndpointRecord& record : services.endpoints.All()) list.push_back(ToJson(record, now));
  const Json body = {{"endpoints", list}};
  co_return JsonReply(200, body);
}

Task<HttpReply> AnswerRequest(Services& services, HttpRequest request) {
  const std::string path(PathOf(request.target));
  const std::string id =
      path.size() > kRequestsPath.size() ? path.substr(kRequestsPath.size()) : "";
  const std::optional<RequestRecord> record = services.request_log.Find(id);
  if (!record) {
    const std::string detail = "request " + id + " is not among the latest requests of this daemon";
    co_return ProblemReply(ResultCode::kNotFound, detail);
  }
  const Json body = ToJson(*record);
  co_return JsonReply(200, body);
}

Task<HttpReply> AnswerBurn(Services& services) {
  HttpReply reply;
  reply.headers.push_back({"Content-Type", "application/json"});
  reply.body = ToJson(services.burn.Report(services.self.name, SteadyNow()));
  co_return reply;
}

}  // namespace

void AdminRoutes::Register(const std::string& route, Handler handler) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_handlers[route] = std::move(handler);
}

bool AdminRoutes::IsOperator(const HttpHeaders& headers) const {
  const std::optional<std::string> hash = KeyHashOf(headers);
  const std::vector<std::string>& known = m_services.settings.secrets.operator_key_hashes;
  return hash && std::find(known.begin(), known.end(), *hash) != known.end();
}

std::optional<AdminRoutes::Handler> AdminRoutes::Find(std::string_view method,
                                                      std::string_view path) const {
  const std::string route = std::string(method) + " " + std::string(path);
  const std::lock_guard<std::mutex> lock(m_mutex);
  for (const auto& [key, handler] : m_handlers) {
    if (route == key) return handler;
    if (route.size() > key.size() && route.compare(0, key.size(), key) == 0 &&
        route[key.size()] == '/') {
      return handler;
    }
  }
  return std::nullopt;
}

Task<HttpReply> AdminRoutes::Answer(HttpRequest request) {
  if (!IsOperator(request.headers)) {
    co_return ProblemReply(ResultCode::kUnauthorized,
                           "send an operator's key as Authorization: Bearer KEY");
  }
  const std::optional<Handler> handler = Find(request.method, PathOf(request.target));
  if (!handler) {
    const std::string detail = request.method + " " + request.target + " is not an operator route";
    co_return ProblemReply(ResultCode::kNotFound, detail);
  }
  co_return co_await (*handler)(std::move(request));
}

void RegisterLocalRoutes(AdminRoutes& routes, Services& services) {
  routes.Register("GET /v1/admin/endpoints",
                  [&services](const HttpRequest&) { return AnswerEndpoints(services); });
  routes.Register("GET /v1/admin/burn",
                  [&services](const HttpRequest&) { return AnswerBurn(services); });
  routes.Register("GET /v1/admin/requests", [&services](HttpRequest request) {
    return AnswerRequest(services, std::move(request));
  });
}

}  // namespace fulmarpoint
