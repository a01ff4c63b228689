#include "server/http_request_handler.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>
#include <variant>

#include "http_api/problem_reply.h"
#include "http_api/url.h"
#include "server/api_key.h"
#include "server/call_session.h"
#include "server/dispatcher.h"
#include "server/endpoint_registry.h"
#include "server/generation_session.h"
#include "server/lookup.h"
#include "server/request_checks.h"
#include "server/request_log.h"
#include "server/running_requests.h"
#include "state/burn_table.h"
#include "utils/metrics.h"

namespace fulmarpoint {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kServicesPath = "/v1/services/";
constexpr std::string_view kAdminPath = "/v1/admin/";
constexpr Duration kRetryDelay = std::chrono::seconds(1);

bool StartsWith(std::string_view text, std::string_view prefix) {
  return text.substr(0, prefix.size()) == prefix;
}

HttpReply ToReply(const Rejection& rejection) {
  return ProblemReply(rejection.code, rejection.detail, rejection.retry_after);
}

/// Returns a rejection if the daemon as a whole can't accept the request.
std::optional<Rejection> CheckDaemon(const Services& services, const CatalogueEntry& entry,
                                     bool rejects_new_work, const RunningRequests::Entry& running) {
  if (rejects_new_work) {
    return Rejection{ResultCode::kDraining,
                     "this daemon is stopping; use another daemon of the lookup", kRetryDelay};
  }
  if (!services.catalogue.MayServe(entry)) {
    return Rejection{
        ResultCode::kStale,
        "this daemon can't confirm that its catalogue is current; use another daemon of the lookup",
        kRetryDelay};
  }
  if (!running.IsAccepted()) {
    return Rejection{ResultCode::kOverloaded, "this daemon has no capacity for another request",
                     kRetryDelay};
  }
  return std::nullopt;
}

/// Records the result of an accepted request in metrics, request log and burn rates.
void RecordResult(Services& services, const RequestId& id, const OrganisationId& organisation,
                  const CatalogueEntry& entry, const SessionResult& result) {
  const std::string_view name =
      result.caller_disconnected ? "caller_gone" : InfoOf(result.code).name;
  services.metrics.Count("requests", name);
  services.request_log.End(id, name);
  if (result.caller_disconnected) return;
  FinishedRequest finished;
  finished.organisation = organisation;
  finished.service = entry.service;
  finished.kind = entry.kind;
  finished.code = result.code;
  finished.version = result.version;
  finished.endpoint = result.endpoint;
  finished.failure_domain = result.failure_domain;
  finished.first_token = result.first_token;
  finished.token_interval = result.token_interval;
  finished.longest_resume = result.longest_resume;
  finished.call = result.call;
  services.burn.Add(finished, entry.objectives, SteadyNow());
  if (result.first_token > Duration::zero()) {
    services.metrics.Observe("first_token", entry.service, result.first_token);
  }
  if (result.longest_resume > Duration::zero()) {
    services.metrics.Observe("resume", entry.service, result.longest_resume);
  }
  if (result.call > Duration::zero()) {
    services.metrics.Observe("call", entry.service, result.call);
  }
}

template <typename Request>
AdmissionTicket ToTicket(const Request& request) {
  AdmissionTicket ticket;
  ticket.id = request.id;
  ticket.organisation = request.organisation;
  ticket.entry = request.entry;
  ticket.weight = request.weight;
  ticket.max_concurrent = request.max_concurrent;
  ticket.priority = PriorityOf(*request.entry);
  ticket.deadline = request.deadline;
  return ticket;
}

Task<SessionResult> AnswerNotAdmitted(HttpExchange& exchange, std::optional<Rejection> rejection) {
  SessionResult result;
  result.caller_disconnected = exchange.ClientDisconnected();
  if (rejection && !result.caller_disconnected) {
    result.code = rejection->code;
    HttpReply reply = ToReply(*rejection);
    co_await exchange.Respond(std::move(reply));
  }
  co_return result;
}

/// Returns the rejection, changed if it states `not_run` although an earlier attempt with the same
/// key may have run.
Task<Rejection> QualifyRejection(Services& services, const CallRequest& request,
                                 Rejection rejection) {
  if (InfoOf(rejection.code).execution != Execution::kNotRun) co_return rejection;
  const bool unused = co_await IsKeyUnused(services, request);
  if (unused) co_return rejection;
  rejection.detail = "refused as " + std::string(InfoOf(rejection.code).name) +
                     "; send it again with the same Idempotency-Key";
  rejection.code = ResultCode::kRefusedUnchecked;
  co_return rejection;
}

}  // namespace

HttpRequestHandler::HttpRequestHandler(Services& services, AdminRoutes& admin, AdmissionGate& gate)
    : m_services(services), m_admin(admin), m_gate(gate) {}

Task<void> HttpRequestHandler::Handle(HttpExchange& exchange) {
  const std::string path(PathOf(exchange.Request().target));
  if (path == "/v1/completions" && exchange.Request().method == "POST") {
    co_await Complete(exchange);
  } else if (StartsWith(path, kServicesPath)) {
    co_await Call(exchange);
  } else if (StartsWith(path, kAdminPath)) {
    HttpReply reply = co_await m_admin.Answer(exchange.Request());
    co_await exchange.Respond(std::move(reply));
  } else {
    HttpReply reply = AnswerOther(exchange, path);
    co_await exchange.Respond(std::move(reply));
  }
}

Task<void> HttpRequestHandler::Complete(HttpExchange& exchange) {
  Checked<GenerationRequest> checked = CheckGeneration(m_services, exchange.Request());
  RunningRequests::Entry running = m_services.running.Begin();
  GenerationRequest* request = std::get_if<GenerationRequest>(&checked);
  std::optional<Rejection> rejection;
  if (request == nullptr) {
    rejection = std::get<Rejection>(checked);
  } else {
    rejection = CheckDaemon(m_services, *request->entry, m_rejects_new_work, running);
  }
  if (rejection) {
    m_services.metrics.Count("requests", InfoOf(rejection->code).name);
    HttpReply reply = ToReply(*rejection);
    co_await exchange.Respond(std::move(reply));
    co_return;
  }
  const RequestId id = request->id;
  const OrganisationId organisation = request->organisation;
  const std::shared_ptr<const CatalogueEntry> entry = request->entry;
  m_services.request_log.Begin(id, organisation, entry->service);
  AdmissionTicket ticket = ToTicket(*request);
  const std::unique_ptr<AdmissionGate::Slot> slot =
      co_await m_gate.WaitForSlot(std::move(ticket), exchange);
  if (slot->rejection || exchange.ClientDisconnected()) {
    const SessionResult rejected = co_await AnswerNotAdmitted(exchange, slot->rejection);
    RecordResult(m_services, id, organisation, *entry, rejected);
    co_return;
  }
  // `request` holds a copy of the prompt; the body would stay in memory for the whole stream.
  exchange.TakeBody();
  request->running = &running;
  const SessionResult result = co_await RunGeneration(m_services, std::move(*request), exchange);
  RecordResult(m_services, id, organisation, *entry, result);
}

Task<void> HttpRequestHandler::Call(HttpExchange& exchange) {
  Checked<CallRequest> checked = CheckCall(m_services, exchange.Request());
  RunningRequests::Entry running = m_services.running.Begin();
  CallRequest* request = std::get_if<CallRequest>(&checked);
  std::optional<Rejection> rejection;
  if (request == nullptr) {
    rejection = std::get<Rejection>(checked);
  } else {
    rejection = CheckDaemon(m_services, *request->entry, m_rejects_new_work, running);
  }
  if (rejection) {
    if (request != nullptr) {
      Rejection qualified = co_await QualifyRejection(m_services, *request, *rejection);
      rejection = std::move(qualified);
    }
    m_services.metrics.Count("requests", InfoOf(rejection->code).name);
    HttpReply reply = ToReply(*rejection);
    co_await exchange.Respond(std::move(reply));
    co_return;
  }
  const RequestId id = request->id;
  const OrganisationId organisation = request->organisation;
  const std::shared_ptr<const CatalogueEntry> entry = request->entry;
  m_services.request_log.Begin(id, organisation, entry->service);
  AdmissionTicket ticket = ToTicket(*request);
  const std::unique_ptr<AdmissionGate::Slot> slot =
      co_await m_gate.WaitForSlot(std::move(ticket), exchange);
  if (slot->rejection || exchange.ClientDisconnected()) {
    rejection = slot->rejection;
    if (rejection) {
      Rejection qualified = co_await QualifyRejection(m_services, *request, *rejection);
      rejection = std::move(qualified);
    }
    const SessionResult rejected = co_await AnswerNotAdmitted(exchange, rejection);
    RecordResult(m_services, id, organisation, *entry, rejected);
    co_return;
  }
  exchange.TakeBody();
  const SessionResult result = co_await RunCall(m_services, std::move(*request), exchange);
  RecordResult(m_services, id, organisation, *entry, result);
}

HttpReply HttpRequestHandler::AnswerOther(const HttpExchange& exchange,
                                          std::string_view path) const {
  const HttpRequest& request = exchange.Request();
  const bool is_get = request.method == "GET";
  if (is_get && path == "/healthz") return JsonReply(200, Json{{"status", "ok"}});
  if (is_get && path == "/readyz") return Ready();
  if (is_get && path == "/metrics") {
    HttpReply reply;
    reply.headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
    reply.body = m_services.metrics.Text();
    return reply;
  }
  if (is_get && path == "/v1/lookup") {
    const std::string ip = request.peer_address.substr(0, request.peer_address.rfind(':'));
    return AnswerLookup(m_services, request.target, KeyHashOf(request.headers).value_or(ip));
  }
  return ProblemReply(ResultCode::kNotFound,
                      request.method + " " + std::string(path) + " is not a route of this daemon");
}

HttpReply HttpRequestHandler::Ready() const {
  const bool has_catalogue = m_services.catalogue.Current()->revision > 0;
  const bool has_endpoints = m_services.endpoints.Ready();
  // For an entry without `when_stale = "serve"`, `MayServe` returns whether the catalogue is
  // confirmed current.
  const bool is_current = m_services.catalogue.MayServe(CatalogueEntry{});
  const bool has_slots = has_catalogue && has_endpoints && m_gate.HasHadSlots();
  const bool ready = has_slots && is_current && !m_rejects_new_work;
  const Json body = {{"ready", ready},
                     {"catalogue", has_catalogue},
                     {"catalogue_current", is_current},
                     {"instance_list", has_endpoints},
                     {"slots", has_slots},
                     {"draining", m_services.lookup.IsExcluded()}};
  return JsonReply(ready ? 200 : 503, body);
}

}  // namespace fulmarpoint
