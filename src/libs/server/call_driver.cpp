#include "server/call_driver.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "server/object_client.h"
#include "server/request_checks.h"
#include "server/request_drivers.h"
#include "server/request_log.h"
#include "server/table_client.h"
#include "transport/http_client.h"

namespace fulmarpoint {

namespace {

constexpr const char* kRequestIdHeader = "X-Request-Id";

std::string HeaderOf(const HttpHeaders& headers, std::string_view name) {
  return std::string(FindHeader(headers, name).value_or(""));
}

}  // namespace

std::string CallDriver::ScopeOf(const CallRequest& request) {
  return request.organisation + "/" + request.entry->service;
}

CallConfig CallDriver::MakeConfig(CallProtection protection) const {
  CallConfig config;
  config.protection = protection;
  config.claim_key = ScopeOf(m_request) + "/" + m_request.idempotency_key;
  config.claim.claim_token = ToString(NewRequestId());
  config.claim.owner = m_services.self;
  config.claim.request_hash = m_request.fingerprint;
  config.claim.created = WallNow();
  config.deadline = m_request.deadline;
  return config;
}

CallDriver::CallDriver(Services& services, CallRequest request, CallProtection protection,
                       Reply reply)
    : m_services(services),
      m_request(std::move(request)),
      m_reply(std::move(reply)),
      m_strand(MakeStrand(services.executor)),
      m_wake(m_strand),
      m_call(MakeConfig(protection)),
      m_protection(protection) {}

void CallDriver::Start() {
  Spawn(m_strand, [self = shared_from_this()]() { return Run(self); });
}

void CallDriver::CallerGone() { Pusher()(call::CallerGone{}); }

Task<void> CallDriver::Run(std::shared_ptr<CallDriver> self) {
  self->Feed(call::Start{});
  while (!self->m_call.Ended()) {
    if (!self->m_events.empty()) {
      const Call::Event event = std::move(self->m_events.front());
      self->m_events.pop_front();
      self->Feed(event);
      continue;
    }
    const Duration wait = self->FeedTimers();
    if (self->m_events.empty() && !self->m_call.Ended()) co_await self->m_wake.WaitFor(wait);
  }
  self->EndRun(DispatchEnd::kCancelled);
  self->m_reply = nullptr;
}

void CallDriver::Push(Call::Event event) {
  m_events.push_back(std::move(event));
  m_wake.Notify();
}

std::function<void(Call::Event)> CallDriver::Pusher() {
  return [weak = weak_from_this(), strand = m_strand](Call::Event event) {
    Post(strand, [weak, event = std::move(event)]() {
      if (const std::shared_ptr<CallDriver> self = weak.lock()) self->Push(event);
    });
  };
}

void CallDriver::Go(std::function<Task<void>()> start) {
  // The function is kept by the coroutine's frame, and with it this object.
  Spawn(m_strand, [self = shared_from_this(), start = std::move(start)]() -> Task<void> {
    // NOLINTNEXTLINE(performance-unnecessary-copy-initialization): keeps this object alive.
    const std::shared_ptr<CallDriver> keep = self;
    const std::function<Task<void>()> run = start;
    co_await run();
  });
}

void CallDriver::Feed(const Call::Event& event) {
  std::vector<Call::Action> actions;
  m_call.Handle(event, SteadyNow(), actions);
  for (const Call::Action& action : actions) {
    std::visit([this](const auto& specific) { Do(specific); }, action);
  }
}

Duration CallDriver::FeedTimers() {
  const TimePoint now = SteadyNow();
  TimePoint next = now + std::chrono::minutes(1);
  std::vector<std::uint32_t> due;
  for (const auto& [id, at] : m_timers) {
    if (at <= now) {
      due.push_back(id);
    } else {
      next = std::min(next, at);
    }
  }
  for (const std::uint32_t id : due) m_timers.erase(id);
  for (const std::uint32_t id : due) Feed(call::TimerFired{id});
  // The timers that were set while feeding are looked at before waiting.
  return due.empty() ? next - now : Duration::zero();
}

void CallDriver::Do(const call::SelectEndpoint& action) {
  EndRun(DispatchEnd::kCancelled);
  DispatchRequest wanted;
  wanted.id = m_request.id;
  wanted.organisation = m_request.organisation;
  wanted.entry = m_request.entry;
  wanted.fingerprint = m_request.fingerprint;
  wanted.excluded = action.excluded;
  wanted.repeated = action.retry;
  wanted.may_try_suspect = m_protection == CallProtection::kIdempotent;
  const DispatchResult result = m_services.dispatcher.Choose(wanted);
  if (const DispatchRefusal* refusal = std::get_if<DispatchRefusal>(&result)) {
    Push(call::NoEndpoint{action.selection, refusal->code, refusal->retry_after});
    return;
  }
  m_choice = std::get<DispatchChoice>(result);
  Push(call::EndpointSelected{action.selection, m_choice->endpoint});
}

void CallDriver::EndRun(DispatchEnd end) {
  if (!m_choice) return;
  RunResult result;
  result.end = end;
  if (end == DispatchEnd::kCompleted) result.latency = SteadyNow() - m_sent;
  m_services.dispatcher.Ended(m_choice->run, result);
  m_choice.reset();
}

void CallDriver::Do(const call::Claim& action) {
  m_services.drivers.calls.Claim(action,
                                 [push = Pusher()](const claim_batcher::Resolved& resolved) {
                                   switch (resolved.result) {
                                     case ClaimResult::kWritten:
                                       return push(call::ClaimWritten{resolved.version});
                                     case ClaimResult::kExists:
                                       return push(call::ClaimExists{resolved.existing});
                                     case ClaimResult::kUnavailable:
                                     case ClaimResult::kLost:
                                       return push(call::ClaimUnavailable{});
                                   }
                                 });
}

void CallDriver::Do(const call::ReleaseClaim& action) {
  if (m_protection == CallProtection::kIssued) {
    m_services.drivers.calls.AbandonIssued(ScopeOf(m_request), m_request.idempotency_key);
  } else {
    m_services.drivers.calls.Release(action);
  }
}

void CallDriver::Do(const call::Send& action) {
  m_services.request_log.Add(m_request.id, "sent", "endpoint=" + action.endpoint);
  m_sent = SteadyNow();
  HttpClientRequest request;
  request.address = m_choice->address;
  request.method = m_request.method;
  request.target = m_request.target;
  request.headers = m_request.headers;
  request.headers.push_back({kRequestIdHeader, ToString(m_request.id)});
  request.body = m_request.body;
  request.timeout = m_request.deadline - m_sent + CallConfig().late_answer;
  // A pooled connection may be closing, and then it is not known whether the request has run.
  request.new_connection = m_protection != CallProtection::kIdempotent;
  m_running.reset(new RunningRequests::Entry(m_services.running.Begin()));
  Go([this, attempt = action.attempt, request]() { return SendRequest(attempt, request); });
}

Task<void> CallDriver::SendRequest(std::uint32_t attempt, HttpClientRequest request) {
  const HttpResult result = co_await m_services.http.Send(std::move(request));
  if (result.error) {
    const bool unsent = result.nothing_written;
    EndRun(unsent ? DispatchEnd::kNotConnected : DispatchEnd::kLost);
    const CallFailure failure = unsent ? CallFailure::kNotConnected : CallFailure::kConnectionLost;
    Push(call::AttemptFailed{attempt, failure});
    co_return;
  }
  const std::optional<std::string_view> echo = FindHeader(result.reply.headers, kRequestIdHeader);
  if (echo && *echo != ToString(m_request.id)) {
    EndRun(DispatchEnd::kFailed);
    Push(call::AttemptFailed{attempt, CallFailure::kBadAnswer});
    co_return;
  }
  EndRun(result.reply.status >= 500 ? DispatchEnd::kFailed : DispatchEnd::kCompleted);
  CallResponse answer;
  answer.status = result.reply.status;
  answer.content_type = HeaderOf(result.reply.headers, "Content-Type");
  answer.body = result.reply.body;
  Push(call::ResponseReceived{attempt, std::move(answer)});
}

void CallDriver::Do(const call::CloseAttempt&) { EndRun(DispatchEnd::kLost); }

void CallDriver::Do(const call::Answer& action) {
  if (m_reply) std::exchange(m_reply, nullptr)({ResultCode::kOk, action.answer}, Duration::zero());
}

void CallDriver::Do(const call::RejectRequest& action) {
  m_services.request_log.Add(m_request.id, "refused", std::string(InfoOf(action.code).name));
  if (m_reply) std::exchange(m_reply, nullptr)({action.code, {}}, action.retry_after);
}

void CallDriver::Do(const call::PublishOutcome& action) {
  if (m_protection == CallProtection::kIssued) {
    m_services.drivers.calls.FinishIssued(ScopeOf(m_request), m_request.idempotency_key,
                                          action.outcome);
  } else {
    m_services.drivers.calls.Publish(action.outcome);
  }
}

void CallDriver::Do(const call::RecordOutcome& action) { m_services.drivers.calls.Record(action); }

void CallDriver::Do(const call::StoreObject& action) {
  Go([this, action]() { return StoreBody(action); });
}

Task<void> CallDriver::StoreBody(call::StoreObject action) {
  const std::error_code error =
      co_await m_services.objects.Write(std::move(action.object), std::move(action.body));
  Push(call::ObjectStored{!error});
}

void CallDriver::Do(const call::ReadObject& action) {
  Go([this, action]() { return ReadBody(action); });
}

Task<void> CallDriver::ReadBody(call::ReadObject action) {
  ObjectRead read = co_await m_services.objects.Read(std::move(action.object));
  Push(call::ObjectRead{read.error ? std::nullopt : std::move(read.data)});
}

void CallDriver::Do(const call::QueryOwner& action) {
  m_services.request_log.Add(m_request.id, "ask_owner", ToString(action.existing.owner));
  const InstanceId& owner = action.existing.owner;
  if (owner.name != m_services.self.name) {
    Go([this, action]() { return AskPeer(action); });
    return;
  }
  m_services.drivers.calls.LookUp({owner, action.key, action.existing.claim_token},
                                  [push = Pusher()](OwnerReply reply, const ClaimRecord& outcome) {
                                    push(call::OwnerReplied{reply, outcome});
                                  });
}

Task<void> CallDriver::AskPeer(call::QueryOwner action) {
  ClaimReply reply;
  const CallPeers& peers = m_services.drivers.calls.Peers();
  if (peers.ask) {
    const ClaimQuestion question{action.existing.owner, action.key, action.existing.claim_token};
    reply = co_await peers.ask(question, std::max(m_request.deadline - SteadyNow(), Duration(1)));
  }
  Push(call::OwnerReplied{reply.reply, reply.outcome});
}

void CallDriver::Do(const call::ReadClaim& action) {
  Go([this, action]() { return ReadRow(action); });
}

Task<void> CallDriver::ReadRow(call::ReadClaim action) {
  const RowRead read = co_await m_services.tables.Read(kClaimTable, action.key);
  call::ClaimRead result;
  result.available = !read.error;
  if (read.row && read.row->value) {
    const Parsed<ClaimRecord> record = ParseClaimRecord(*read.row->value);
    if (record) result.record = record.Value();
    // An unreadable row is a claim all the same.
    result.available = record.Ok();
  }
  Push(result);
}

void CallDriver::Do(const call::SetTimer& action) { m_timers[action.id] = action.at; }

}  // namespace fulmarpoint
