#include "server/http_front.h"

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
constexpr Duration kRetryElsewhere = std::chrono::seconds(1);

bool StartsWith(std::string_view text, std::string_view prefix) {
  return text.substr(0, prefix.size()) == prefix;
}

HttpReply ToReply(const Refusal& refusal) {
  return ProblemReply(refusal.code, refusal.detail, refusal.retry_after);
}

/// Refusals that concern the whole daemon.
std::optional<Refusal> CheckDaemon(const Services& services, const CatalogueEntry& entry,
                                   bool refusing, const RunningRequests::Entry& running) {
  if (refusing) {
    return Refusal{ResultCode::kDraining, "this daemon is stopping; use another of the lookup",
                   kRetryElsewhere};
  }
  if (!services.catalogue.MayServe(entry)) {
    return Refusal{
        ResultCode::kStale,
        "this daemon can't prove that its catalogue is current; use another of the lookup",
        kRetryElsewhere};
  }
  if (!running.Accepted()) {
    return Refusal{ResultCode::kOverloaded, "this daemon has no room for another request",
                   kRetryElsewhere};
  }
  return std::nullopt;
}

/// Counts a request that was accepted.
void Record(Services& services, const RequestId& id, const OrganisationId& organisation,
            const CatalogueEntry& entry, const SessionResult& result) {
  const std::string_view name = result.caller_gone ? "caller_gone" : InfoOf(result.code).name;
  services.metrics.Count("requests", name);
  services.request_log.End(id, name);
  if (result.caller_gone) return;
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

Task<SessionResult> AnswerNotAdmitted(HttpExchange& exchange, std::optional<Refusal> refusal) {
  SessionResult result;
  result.caller_gone = exchange.ClientDisconnected();
  if (refusal && !result.caller_gone) {
    result.code = refusal->code;
    HttpReply reply = ToReply(*refusal);
    co_await exchange.Respond(std::move(reply));
  }
  co_return result;
}

/// Returns the refusal, changed if it says *not run* although an earlier send with the same key may
/// have run.
Task<Refusal> QualifyRefusal(Services& services, const CallRequest& request, Refusal refusal) {
  if (InfoOf(refusal.code).execution != Execution::kNotRun) co_return refusal;
  const bool unused = co_await IsKeyUnused(services, request);
  if (unused) co_return refusal;
  refusal.detail = "refused as " + std::string(InfoOf(refusal.code).name) +
                   "; send it again with the same Idempotency-Key";
  refusal.code = ResultCode::kRefusedUnchecked;
  co_return refusal;
}

}  // namespace

HttpFront::HttpFront(Services& services, AdminRoutes& admin, AdmissionGate& gate)
    : m_services(services), m_admin(admin), m_gate(gate) {}

Task<void> HttpFront::Handle(HttpExchange& exchange) {
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

Task<void> HttpFront::Complete(HttpExchange& exchange) {
  Checked<GenerationRequest> checked = CheckGeneration(m_services, exchange.Request());
  RunningRequests::Entry running = m_services.running.Begin();
  GenerationRequest* request = std::get_if<GenerationRequest>(&checked);
  std::optional<Refusal> refusal;
  if (request == nullptr) {
    refusal = std::get<Refusal>(checked);
  } else {
    refusal = CheckDaemon(m_services, *request->entry, m_refusing, running);
  }
  if (refusal) {
    m_services.metrics.Count("requests", InfoOf(refusal->code).name);
    HttpReply reply = ToReply(*refusal);
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
  if (slot->refusal || exchange.ClientDisconnected()) {
    const SessionResult refused = co_await AnswerNotAdmitted(exchange, slot->refusal);
    Record(m_services, id, organisation, *entry, refused);
    co_return;
  }
  // The prompt is in the request; the body would stay in memory for the whole stream.
  exchange.TakeBody();
  request->running = &running;
  const SessionResult result = co_await RunGeneration(m_services, std::move(*request), exchange);
  Record(m_services, id, organisation, *entry, result);
}

Task<void> HttpFront::Call(HttpExchange& exchange) {
  Checked<CallRequest> checked = CheckCall(m_services, exchange.Request());
  RunningRequests::Entry running = m_services.running.Begin();
  CallRequest* request = std::get_if<CallRequest>(&checked);
  std::optional<Refusal> refusal;
  if (request == nullptr) {
    refusal = std::get<Refusal>(checked);
  } else {
    refusal = CheckDaemon(m_services, *request->entry, m_refusing, running);
  }
  if (refusal) {
    if (request != nullptr) {
      Refusal qualified = co_await QualifyRefusal(m_services, *request, *refusal);
      refusal = std::move(qualified);
    }
    m_services.metrics.Count("requests", InfoOf(refusal->code).name);
    HttpReply reply = ToReply(*refusal);
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
  if (slot->refusal || exchange.ClientDisconnected()) {
    refusal = slot->refusal;
    if (refusal) {
      Refusal qualified = co_await QualifyRefusal(m_services, *request, *refusal);
      refusal = std::move(qualified);
    }
    const SessionResult refused = co_await AnswerNotAdmitted(exchange, refusal);
    Record(m_services, id, organisation, *entry, refused);
    co_return;
  }
  exchange.TakeBody();
  const SessionResult result = co_await RunCall(m_services, std::move(*request), exchange);
  Record(m_services, id, organisation, *entry, result);
}

HttpReply HttpFront::AnswerOther(const HttpExchange& exchange, std::string_view path) const {
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

HttpReply HttpFront::Ready() const {
  const bool has_catalogue = m_services.catalogue.Current()->revision > 0;
  const bool has_endpoints = m_services.endpoints.Ready();
  // An entry without `when_stale = "serve"` shows whether the catalogue is proven current.
  const bool is_current = m_services.catalogue.MayServe(CatalogueEntry{});
  const bool has_slots = has_catalogue && has_endpoints && m_gate.HasHadSlots();
  const bool ready = has_slots && is_current && !m_refusing;
  const Json body = {{"ready", ready},
                     {"catalogue", has_catalogue},
                     {"catalogue_current", is_current},
                     {"instance_list", has_endpoints},
                     {"slots", has_slots},
                     {"draining", m_services.lookup.Leaving()}};
  return JsonReply(ready ? 200 : 503, body);
}

}  // namespace fulmarpoint
