#include "server/call_session.h"

#include <memory>
#include <optional>
#include <utility>

#include "coordination/idempotency_key.h"
#include "http_api/problem_reply.h"
#include "server/call_driver.h"
#include "server/request_drivers.h"
#include "server/table_client.h"
#include "transport/notification.h"

namespace fulmarpoint {

namespace {

/// Where the reply of a call arrives, on the strand of the caller's connection.
struct PendingReply {
  explicit PendingReply(const Executor& executor) : strand(executor), wake(executor) {}

  void Set(CallReply value, Duration wait) {
    reply = std::move(value);
    retry_after = wait;
    wake.Notify();
  }

  Executor strand;
  Notification wake;
  std::optional<CallReply> reply;
  Duration retry_after{};
};

using PendingReplyPtr = std::shared_ptr<PendingReply>;

CallDriver::Reply ReplyTo(const PendingReplyPtr& pending) {
  return [pending](CallReply reply, Duration retry_after) {
    Post(pending->strand,
         [pending, reply = std::move(reply), retry_after]() { pending->Set(reply, retry_after); });
  };
}

CallReply ReplyOf(const ClaimRecord& outcome) {
  switch (outcome.state) {
    case ClaimState::kDone:
      return {ResultCode::kOk, outcome.answer};
    case ClaimState::kUnknown:
      return {ResultCode::kOutcomeUnknown, {}};
    case ClaimState::kClaimed:
      // The first call with this key was not sent.
      return {ResultCode::kNoEndpoint, {}};
  }
  return {ResultCode::kInternal, {}};
}

std::shared_ptr<CallDriver> StartDriver(Services& services, CallRequest request,
                                        CallProtection protection, const PendingReplyPtr& pending) {
  auto driver =
      std::make_shared<CallDriver>(services, std::move(request), protection, ReplyTo(pending));
  driver->Start();
  return driver;
}

/// Asks the owner of a daemon-issued key to run or look up the call.
Task<void> ForwardToOwner(Services& services, CallRequest request, InstanceId owner,
                          PendingReplyPtr pending) {
  const CallPeers& peers = services.drivers.calls.Peers();
  const Duration wait = std::max(request.deadline - SteadyNow(), Duration(1));
  ForwardedCall call;
  call.owner = std::move(owner);
  call.organisation = request.organisation;
  call.service = request.entry->service;
  call.method = request.method;
  call.target = request.target;
  for (const HttpHeader& header : request.headers) {
    call.headers.emplace_back(header.name, header.value);
  }
  call.body = std::move(request.body);
  call.idempotency_key = request.idempotency_key;
  call.request_hash = request.fingerprint;
  call.wait_ms = static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(wait).count());
  CallReply reply = co_await peers.forward(std::move(call), wait);
  pending->Set(std::move(reply), Duration::zero());
}

/// Starts a call with a daemon-issued key, or sets the reply if there is nothing to start. A call
/// that was forwarded is not forwarded again.
std::shared_ptr<CallDriver> StartIssued(Services& services, CallRequest request,
                                        const PendingReplyPtr& pending, bool may_forward) {
  const CallDriver::Reply set = ReplyTo(pending);
  const IssuedKeyResult result = services.drivers.calls.BeginIssued(
      CallDriver::ScopeOf(request), request.idempotency_key, request.fingerprint,
      [set](const ClaimRecord& outcome) { set(ReplyOf(outcome), Duration::zero()); });
  switch (result.state) {
    case IssuedKeyState::kRun:
      return StartDriver(services, std::move(request), CallProtection::kIssued, pending);
    case IssuedKeyState::kRunning:
      break;
    case IssuedKeyState::kFinished:
      pending->Set(ReplyOf(result.outcome), Duration::zero());
      break;
    case IssuedKeyState::kOtherOwner:
      // Another process of this daemon's name no longer exists.
      if (!may_forward || !services.drivers.calls.Peers().forward ||
          result.owner.name == services.self.name) {
        pending->Set(CallReply{}, Duration::zero());
        break;
      }
      Spawn(pending->strand, [&services, request, owner = result.owner, pending]() {
        return ForwardToOwner(services, request, owner, pending);
      });
      break;
    case IssuedKeyState::kReused:
      pending->Set({ResultCode::kKeyReused, {}}, Duration::zero());
      break;
    case IssuedKeyState::kExpired:
      pending->Set({ResultCode::kKeyExpired, {}}, Duration::zero());
      break;
    case IssuedKeyState::kMalformed:
      pending->Set({ResultCode::kBadRequest, {}}, Duration::zero());
      break;
    case IssuedKeyState::kFull:
      pending->Set({ResultCode::kMemoryLimit, {}}, Duration::zero());
      break;
  }
  return nullptr;
}

std::shared_ptr<CallDriver> StartCall(Services& services, CallRequest request,
                                      const PendingReplyPtr& pending) {
  if (request.idempotent_route) {
    return StartDriver(services, std::move(request), CallProtection::kIdempotent, pending);
  }
  if (HasIssuedForm(request.idempotency_key)) {
    return StartIssued(services, std::move(request), pending, true);
  }
  if (IsKeyTooOld(request.idempotency_key, WallNow())) {
    pending->Set({ResultCode::kKeyExpired, {}}, Duration::zero());
    return nullptr;
  }
  return StartDriver(services, std::move(request), CallProtection::kClaimed, pending);
}

/// Waits for the reply; the deadline also ends a wait for another caller's call.
Task<void> WaitForReply(PendingReplyPtr pending, TimePoint deadline, const HttpExchange& exchange) {
  // The driver itself answers at the deadline.
  constexpr Duration kMargin = std::chrono::milliseconds(500);
  while (!pending->reply && !exchange.ClientDisconnected()) {
    const Duration left = deadline + kMargin - SteadyNow();
    if (left <= Duration::zero()) break;
    co_await pending->wake.WaitFor(left);
  }
  if (!pending->reply) pending->reply = CallReply{ResultCode::kOutcomeUnknown, {}};
}

}  // namespace

Task<bool> IsKeyUnused(Services& services, const CallRequest& request) {
  if (request.idempotency_key.empty()) co_return true;
  const std::string scope = CallDriver::ScopeOf(request);
  if (HasIssuedForm(request.idempotency_key)) {
    co_return services.drivers.calls.IsUnusedIssued(scope, request.idempotency_key);
  }
  std::string key = scope + "/" + request.idempotency_key;
  const RowRead read = co_await services.tables.Read(kClaimTable, std::move(key));
  const bool has_row = read.row && read.row->value;
  co_return !read.error && !has_row && !IsKeyTooOld(request.idempotency_key, WallNow());
}

Task<SessionResult> RunCall(Services& services, CallRequest request, HttpExchange& exchange) {
  const TimePoint started = SteadyNow();
  const TimePoint deadline = request.deadline;
  const Executor strand = co_await CurrentExecutor();
  const PendingReplyPtr pending = std::make_shared<PendingReply>(strand);
  exchange.OnClientDisconnect([pending]() { pending->wake.Notify(); });
  const std::shared_ptr<CallDriver> driver = StartCall(services, std::move(request), pending);
  co_await WaitForReply(pending, deadline, exchange);
  SessionResult result;
  result.caller_gone = exchange.ClientDisconnected();
  if (result.caller_gone) {
    if (driver) driver->CallerGone();
    co_return result;
  }
  result.code = pending->reply->code;
  result.call = SteadyNow() - started;
  HttpReply reply = ProblemReply(result.code, "the call was not answered", pending->retry_after);
  if (result.code == ResultCode::kOk) {
    reply = HttpReply{};
    reply.status = pending->reply->answer.status;
    const std::string& type = pending->reply->answer.content_type;
    if (!type.empty()) reply.headers.push_back({"Content-Type", type});
    reply.body = std::move(pending->reply->answer.body);
  }
  co_await exchange.Respond(std::move(reply));
  co_return result;
}

Task<CallReply> RunForwardedCall(Services& services, CallRequest request) {
  const TimePoint deadline = request.deadline;
  const Executor strand = co_await CurrentExecutor();
  const PendingReplyPtr pending = std::make_shared<PendingReply>(strand);
  StartIssued(services, std::move(request), pending, false);
  while (!pending->reply && SteadyNow() < deadline) {
    co_await pending->wake.WaitFor(std::max(deadline - SteadyNow(), Duration(1)));
  }
  co_return pending->reply.value_or(CallReply{ResultCode::kOutcomeUnknown, {}});
}

}  // namespace fulmarpoint
