#include "server/call_peers.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "protocol/body_codec.h"
#include "protocol/peer_frame.h"
#include "server/call_session.h"
#include "server/catalogue_view.h"
#include "server/control_plane_driver.h"
#include "server/peer_service.h"
#include "server/request_checks.h"
#include "server/request_drivers.h"
#include "transport/notification.h"

namespace fulmarpoint {

namespace {

// First byte of a `kCall` frame.
constexpr char kAsk = 'a';
constexpr char kForward = 'f';
// A question waits no longer than this for a call that is running at the owner.
constexpr Duration kMaxWait = std::chrono::minutes(10);

template <typename Message>
std::string EncodeCall(char kind, const Message& message) {
  return std::string(1, kind) + internal::EncodeBody(message);
}

template <typename Message>
std::optional<Message> DecodeCall(std::string_view body) {
  if (body.empty()) return std::nullopt;
  const Parsed<Message> message = internal::DecodeBody<Message>(body.substr(1), "call");
  if (!message) return std::nullopt;
  return message.Value();
}

/// Returns the peer address of a process, or nothing if it is not known to run.
Task<std::string> AddressOf(ControlPlaneDriver& control, InstanceId owner) {
  const ControlPlaneStatus status = co_await control.Status();
  for (const MemberStatus& member : status.members) {
    if (!member.gone && member.member.info.id == owner) co_return member.member.info.address;
  }
  co_return std::string();
}

Task<std::string> Exchange(PeerService& peers, ControlPlaneDriver& control, InstanceId owner,
                           std::string body, Duration timeout) {
  std::string address = co_await AddressOf(control, std::move(owner));
  if (address.empty()) co_return std::string();
  PeerFrame frame;
  frame.kind = PeerFrameKind::kCall;
  frame.body = std::move(body);
  PeerAnswer answer = co_await peers.Request(std::move(address), std::move(frame), timeout);
  if (answer.error) co_return std::string();
  co_return std::move(answer.body);
}

Task<ClaimReply> AskPeer(PeerService& peers, ControlPlaneDriver& control, ClaimQuestion question,
                         Duration timeout) {
  std::string body = EncodeCall(kAsk, question);
  const std::string answer =
      co_await Exchange(peers, control, question.owner, std::move(body), timeout);
  co_return DecodeCall<ClaimReply>(answer).value_or(ClaimReply());
}

Task<CallReply> ForwardToPeer(PeerService& peers, ControlPlaneDriver& control, ForwardedCall call,
                              Duration timeout) {
  std::string body = EncodeCall(kForward, call);
  const std::string answer =
      co_await Exchange(peers, control, call.owner, std::move(body), timeout);
  co_return DecodeCall<CallReply>(answer).value_or(CallReply());
}

struct PendingClaim {
  explicit PendingClaim(const Executor& executor) : strand(executor), wake(executor) {}

  Executor strand;
  Notification wake;
  std::optional<ClaimReply> reply;
};

Task<std::string> AnswerQuestion(Services& services, ClaimQuestion question) {
  const Executor strand = co_await CurrentExecutor();
  const auto pending = std::make_shared<PendingClaim>(strand);
  services.drivers.calls.LookUp(question, [pending](OwnerReply reply, const ClaimRecord& outcome) {
    Post(pending->strand, [pending, answer = ClaimReply{reply, outcome}]() {
      pending->reply = answer;
      pending->wake.Notify();
    });
  });
  co_await pending->wake.WaitFor(kMaxWait);
  co_return EncodeCall(kAsk, pending->reply.value_or(ClaimReply()));
}

Task<std::string> AnswerForwarded(Services& services, ForwardedCall call) {
  const ServiceEntryPtr service = services.catalogue.Current()->Find(call.service);
  CallReply reply;
  if (!service) {
    // Nothing is known here of a service that was removed; an earlier send may have run.
    co_return EncodeCall(kForward, reply);
  }
  CallRequest request;
  request.id = NewRequestId();
  request.organisation = call.organisation;
  request.entry = service->entry;
  request.method = call.method;
  request.target = call.target;
  for (const auto& [name, value] : call.headers) request.headers.push_back({name, value});
  request.body = std::move(call.body);
  request.idempotency_key = call.idempotency_key;
  request.fingerprint = call.request_hash;
  request.deadline = SteadyNow() + std::chrono::milliseconds(call.wait_ms);
  reply = co_await RunForwardedCall(services, std::move(request));
  co_return EncodeCall(kForward, reply);
}

Task<std::string> AnswerFrame(Services& services, std::string body) {
  const char kind = body.empty() ? '\0' : body.front();
  if (kind == kAsk) {
    std::optional<ClaimQuestion> question = DecodeCall<ClaimQuestion>(body);
    if (question) co_return co_await AnswerQuestion(services, std::move(*question));
  }
  if (kind == kForward) {
    std::optional<ForwardedCall> call = DecodeCall<ForwardedCall>(body);
    if (call) co_return co_await AnswerForwarded(services, std::move(*call));
  }
  co_return std::string();
}

}  // namespace

void ConnectCallPeers(Services& services, PeerService& peers, ControlPlaneDriver& control) {
  CallPeers calls;
  calls.ask = [&peers, &control](ClaimQuestion question, Duration timeout) {
    return AskPeer(peers, control, std::move(question), timeout);
  };
  calls.forward = [&peers, &control](ForwardedCall call, Duration timeout) {
    return ForwardToPeer(peers, control, std::move(call), timeout);
  };
  services.drivers.calls.SetPeers(std::move(calls));
  peers.SetFrameHandler(PeerFrameKind::kCall, [&services](std::string body) {
    return AnswerFrame(services, std::move(body));
  });
}

}  // namespace fulmarpoint
