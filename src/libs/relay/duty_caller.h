#pragma once

#include <functional>

#include "relay/duty_api.h"
#include "relay/relay_context.h"

namespace fulmarpoint {

/// Makes the calls of the singleton duties' holder to the platform's API, within the rate limit.
/// Used on the daemon's thread; must outlive its tasks.
class DutyCaller {
 public:
  /// `may_send` is asked right before a request is passed to its connection, because the process
  /// may have been paused meanwhile.
  DutyCaller(RelayContext& context, DutyApi api, std::function<bool()> may_send)
      : m_context(context), m_api(std::move(api)), m_may_send(std::move(may_send)) {}

  Task<DutyCallResult> SendUsageReport(std::uint64_t fencing_token, UsageReport report);
  Task<DutyCallResult> SendEngineOrder(std::uint64_t fencing_token, EngineOrder order);

 private:
  Task<DutyCallResult> Send(HttpClientRequest request, std::string subject);
  Task<void> WaitForTurn();

  RelayContext& m_context;
  DutyApi m_api;
  std::function<bool()> m_may_send;
  TimePoint m_next_call{};
};

}  // namespace fulmarpoint
