#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "coordination/call.h"
#include "server/call_coordinator.h"
#include "server/call_session.h"
#include "server/dispatcher.h"
#include "server/running_requests.h"
#include "transport/http_client.h"
#include "transport/notification.h"

namespace fulmarpoint {

/// Performs the I/O of one `Call`. Runs on its own strand, because it continues after the caller
/// was answered in order to record a late answer and the outcome. Keeps itself alive until the call
/// has ended.
class CallDriver : public std::enable_shared_from_this<CallDriver> {
 public:
  /// Called once on the driver's strand, unless the caller disconnects first.
  using Reply = std::function<void(CallReply reply, Duration retry_after)>;

  CallDriver(Services& services, CallRequest request, CallProtection protection, Reply reply);

  void Start();
  /// Reports that the caller has disconnected. Thread-safe.
  void OnCallerDisconnected();
  /// Returns "org/service", the scope of daemon-issued keys.
  static std::string ScopeOf(const CallRequest& request);

 private:
  static Task<void> Run(std::shared_ptr<CallDriver> self);
  void Push(Call::Event event);
  /// Returns a function that pushes an event from any thread.
  std::function<void(Call::Event)> EventPusher();
  void HandleEvent(const Call::Event& event);
  Duration HandleDueTimers();

  void Execute(const call::SelectEndpoint& action);
  void Execute(const call::Claim& action);
  void Execute(const call::ReleaseClaim& action);
  void Execute(const call::Send& action);
  void Execute(const call::CloseAttempt& action);
  void Execute(const call::Answer& action);
  void Execute(const call::RejectRequest& action);
  void Execute(const call::PublishOutcome& action);
  void Execute(const call::RecordOutcome& action);
  void Execute(const call::StoreObject& action);
  void Execute(const call::ReadObject& action);
  void Execute(const call::QueryOwner& action);
  void Execute(const call::ReadClaim& action);
  void Execute(const call::SetTimer& action);

  Task<void> SendRequest(std::uint32_t attempt, HttpClientRequest request);
  Task<void> StoreBody(call::StoreObject action);
  Task<void> ReadBody(call::ReadObject action);
  Task<void> ReadRow(call::ReadClaim action);
  Task<void> QueryPeer(call::QueryOwner action);
  /// Starts a coroutine that keeps this object alive.
  void SpawnKeepingAlive(std::function<Task<void>()> start);
  void EndAttempt(DispatchEnd end);
  CallConfig MakeConfig(CallProtection protection) const;

  Services& m_services;
  CallRequest m_request;
  Reply m_reply;
  Executor m_strand;
  Notification m_wake;
  Call m_call;
  CallProtection m_protection;
  std::deque<Call::Event> m_events;
  std::map<std::uint32_t, TimePoint> m_timers;
  std::optional<DispatchChoice> m_choice;
  TimePoint m_sent;
  /// Keeps a planned shutdown waiting until the outcome is known.
  std::unique_ptr<RunningRequests::Entry> m_running;
};

}  // namespace fulmarpoint
