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

/// Translates the actions of one `Call` to I/O. Runs on a strand of its own, because it goes on
/// after the caller has its answer: a late answer and the outcome are still recorded. Keeps itself
/// alive until the call has ended.
class CallDriver : public std::enable_shared_from_this<CallDriver> {
 public:
  /// Called once on the driver's strand, unless the caller goes first.
  using Reply = std::function<void(CallReply reply, Duration retry_after)>;

  CallDriver(Services& services, CallRequest request, CallProtection protection, Reply reply);

  void Start();
  /// The caller does not wait any more. Call on any thread.
  void CallerGone();
  /// "org/service", the scope of daemon-issued keys.
  static std::string ScopeOf(const CallRequest& request);

 private:
  static Task<void> Run(std::shared_ptr<CallDriver> self);
  void Push(Call::Event event);
  /// Returns a function that pushes an event from any thread.
  std::function<void(Call::Event)> Pusher();
  void Feed(const Call::Event& event);
  Duration FeedTimers();

  void Do(const call::SelectEndpoint& action);
  void Do(const call::Claim& action);
  void Do(const call::ReleaseClaim& action);
  void Do(const call::Send& action);
  void Do(const call::CloseAttempt& action);
  void Do(const call::Answer& action);
  void Do(const call::RejectRequest& action);
  void Do(const call::PublishOutcome& action);
  void Do(const call::RecordOutcome& action);
  void Do(const call::StoreObject& action);
  void Do(const call::ReadObject& action);
  void Do(const call::QueryOwner& action);
  void Do(const call::ReadClaim& action);
  void Do(const call::SetTimer& action);

  Task<void> SendRequest(std::uint32_t attempt, HttpClientRequest request);
  Task<void> StoreBody(call::StoreObject action);
  Task<void> ReadBody(call::ReadObject action);
  Task<void> ReadRow(call::ReadClaim action);
  Task<void> AskPeer(call::QueryOwner action);
  /// Starts a coroutine that keeps this object alive.
  void Go(std::function<Task<void>()> start);
  void EndRun(DispatchEnd end);
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
  /// Keeps the process running until the outcome is known.
  std::unique_ptr<RunningRequests::Entry> m_running;
};

}  // namespace fulmarpoint
