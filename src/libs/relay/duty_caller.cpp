#include "relay/duty_caller.h"

#include <algorithm>
#include <memory>
#include <string>
#include <utility>

#include "transport/http_client_exchange.h"
#include "utils/logging.h"

namespace fulmarpoint {

namespace {

constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);
constexpr Duration kReplyTimeout = std::chrono::seconds(1);
// Leaves the rest of the API's rate to a holder that this one replaces.
constexpr double kRateShare = 0.5;

DutyIdentity IdentityOf(const RelayContext& context, std::uint64_t fencing_token) {
  return {context.settings.name, fencing_token};
}

}  // namespace

Task<DutyCallResult> DutyCaller::SendUsageReport(std::uint64_t fencing_token, UsageReport report) {
  HttpClientRequest request =
      m_api.encode_usage_report(IdentityOf(m_context, fencing_token), report);
  co_return co_await Send(fencing_token, std::move(request),
                          "usage/" + std::to_string(report.window));
}

Task<DutyCallResult> DutyCaller::SendEngineOrder(std::uint64_t fencing_token, EngineOrder order) {
  HttpClientRequest request =
      m_api.encode_engine_order(IdentityOf(m_context, fencing_token), order);
  co_return co_await Send(fencing_token, std::move(request),
                          "engines/" + order.service + "/" + order.failure_domain);
}

Task<void> DutyCaller::WaitForTurn() {
  const TimePoint now = SteadyNow();
  const Duration interval(
      static_cast<Duration::rep>(1e6 / (kRateShare * m_context.settings.duties.calls_per_second)));
  const TimePoint turn = std::max(now, m_next_call);
  m_next_call = turn + interval;
  if (turn > now) co_await Sleep(turn - now);
}

Task<DutyCallResult> DutyCaller::Send(std::uint64_t fencing_token, HttpClientRequest request,
                                      std::string subject) {
  co_await WaitForTurn();
  if (m_stopped) co_return DutyCallResult::kNotSent;
  HttpClientExchange connection(m_context.executor, HttpClientExchange::Options());
  const std::string address = m_context.settings.duties.api_address;
  std::error_code error = co_await connection.Connect(address, kConnectTimeout);
  if (m_stopped) co_return DutyCallResult::kNotSent;
  DutyCallResult result = DutyCallResult::kNotSent;
  std::string reason = error ? error.message() : "the lease has ended";
  if (!error && m_may_send(fencing_token)) {
    request.address = address;
    connection.Start(std::move(request));
    HttpReply reply;
    error = co_await connection.ReadHead(reply, kReplyTimeout);
    if (m_stopped) co_return DutyCallResult::kUnknown;
    result = error ? DutyCallResult::kUnknown : m_api.decode_result(reply.status);
    reason = error ? error.message() : "status " + std::to_string(reply.status);
  }
  m_context.metrics.Count("duty_calls", NameOf(kDutyCallResultNames, result));
  if (result != DutyCallResult::kAccepted) {
    Log(LogLevel::kWarning, "duty_call_failed",
        {{"subject", subject},
         {"result", NameOf(kDutyCallResultNames, result)},
         {"reason", reason}});
  }
  co_return result;
}

}  // namespace fulmarpoint
