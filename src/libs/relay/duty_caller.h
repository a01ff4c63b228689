#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include "relay/duty_api.h"
#include "relay/relay_context.h"

namespace fulmarpoint {

/// Makes the calls of the singleton duties' holder to the platform's API, within the rate limit.
/// Used on the daemon's thread; must outlive its tasks.
class DutyCaller {
 public:
  /// Returns whether a call with the fencing token may be sent now.
  using MaySend = std::function<bool(std::uint64_t fencing_token)>;

  /// `may_send` is asked right before a request is passed to its connection, because the process
  /// may have been paused, or the lease lost and acquired again, meanwhile.
  DutyCaller(RelayContext& context, DutyApi api, MaySend may_send)
      : m_context(context), m_api(std::move(api)), m_may_send(std::move(may_send)) {}

  /// Sends nothing from now on. Calls in progress no longer use the context, which may be
  /// destroyed.
  void Stop() { m_stopped = true; }
  Task<DutyCallResult> SendUsageReport(std::uint64_t fencing_token, UsageReport report);
  Task<DutyCallResult> SendEngineOrder(std::uint64_t fencing_token, EngineOrder order);

 private:
  Task<DutyCallResult> Send(std::uint64_t fencing_token, HttpClientRequest request,
                            std::string subject);
  Task<void> WaitForTurn();

  RelayContext& m_context;
  DutyApi m_api;
  MaySend m_may_send;
  TimePoint m_next_call{};
  bool m_stopped = false;
};

}  // namespace fulmarpoint
