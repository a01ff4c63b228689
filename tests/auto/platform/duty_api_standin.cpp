#include "duty_api_standin.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>

namespace fulmarpoint {

namespace {

using Json = nlohmann::json;

constexpr char kUsagePath[] = "/usage";
constexpr int kAccepted = 200;
constexpr int kFenced = 409;
constexpr int kThrottled = 429;
constexpr Duration kPollInterval = std::chrono::milliseconds(2);

DutyApiCall ParseCall(const HttpRequest& request) {
  const Json body = Json::parse(request.body);
  DutyApiCall call;
  call.subject = request.target;
  if (request.target != kUsagePath) {
    call.subject +=
        "/" + body.at("service").get<std::string>() + "/" + body.at("zone").get<std::string>();
  }
  call.holder = FindHeader(request.headers, "Fulmarpoint-Duty-Holder").value_or("");
  call.token =
      std::stoull(std::string(FindHeader(request.headers, "Fulmarpoint-Fence-Token").value_or("")));
  call.body = request.body;
  call.received = SteadyNow();
  return call;
}

}  // namespace

DutyApiStandin::DutyApiStandin(const Executor& executor)
    : m_executor(executor),
      m_server(
          executor, HttpServerLimits(), [this](HttpExchange& exchange) { return Handle(exchange); },
          [](HttpRejection) {
            return HttpReply{400, {}, ""};
          }) {
  m_server.Listen("127.0.0.1:0");
}

std::vector<DutyApiCall> DutyApiStandin::CallsWith(int status) const {
  std::vector<DutyApiCall> found;
  std::copy_if(m_calls.begin(), m_calls.end(), std::back_inserter(found),
               [status](const DutyApiCall& call) { return call.status == status; });
  return found;
}

DutyApiCall DutyApiStandin::LastCall() const {
  if (!m_calls.empty()) return m_calls.back();
  DutyApiCall none;
  none.status = -1;
  return none;
}

std::uint64_t DutyApiStandin::Reported(const std::string& organisation) const {
  std::uint64_t requests = 0;
  for (const auto& [window, counts] : m_reports) {
    requests += Json::parse(counts).value(organisation, std::uint64_t{0});
  }
  return requests;
}

Task<void> DutyApiStandin::Handle(HttpExchange& exchange) {
  DutyApiCall call = ParseCall(exchange.Request());
  Check(call);
  const DutyApiBehaviour behaviour = m_behaviour;
  if (behaviour == DutyApiBehaviour::kExecute) call.status = Execute(call);
  if (behaviour == DutyApiBehaviour::kFence) call.status = kFenced;
  if (behaviour == DutyApiBehaviour::kThrottle) call.status = kThrottled;
  if (call.status == kFenced) m_refused.insert({call.subject, call.token});
  m_calls.push_back(call);
  if (call.status != 0) {
    HttpReply reply;
    reply.status = call.status;
    co_await exchange.Respond(std::move(reply));
    co_return;
  }
  if (behaviour == DutyApiBehaviour::kExecuteLate) {
    Spawn(m_executor, [this, call]() -> Task<void> {
      co_await Sleep(late_by);
      Execute(call);
      ++m_late_calls;
    });
  }
  while (!exchange.ClientDisconnected()) co_await Sleep(kPollInterval);
}

int DutyApiStandin::Execute(const DutyApiCall& call) {
  std::uint64_t& token = m_executed_tokens[call.subject];
  if (call.token < token) return kFenced;
  token = call.token;
  if (call.subject != kUsagePath) return kAccepted;
  const Json body = Json::parse(call.body);
  const std::string counts = body.at("counts").dump();
  const auto [report, is_new] = m_reports.try_emplace(body.at("window"), counts);
  if (!is_new && report->second != counts) AddViolation("two reports on a window differ", call);
  return kAccepted;
}

void DutyApiStandin::Check(const DutyApiCall& call) {
  std::uint64_t& highest = m_received_tokens[call.subject];
  if (call.token < highest) AddViolation("the token has decreased", call);
  highest = std::max(highest, call.token);
  const std::string& holder = m_holders.try_emplace(call.token, call.holder).first->second;
  if (holder != call.holder) AddViolation("two holders have the same token", call);
  const bool was_refused = m_refused.contains({call.subject, call.token});
  if (was_refused) AddViolation("a refused token was used again", call);
}

void DutyApiStandin::AddViolation(const std::string& rule, const DutyApiCall& call) {
  if (!m_violation.empty()) return;
  m_violation = rule + ": " + call.subject + " " + call.holder + " " + std::to_string(call.token) +
                " " + call.body;
}

}  // namespace fulmarpoint
