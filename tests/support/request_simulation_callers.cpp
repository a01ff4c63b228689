#include <algorithm>
#include <utility>

#include "support/request_simulation.h"
#include "support/simulated_daemon.h"
#include "verification/token_function.h"

namespace fulmarpoint {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Shorter than the daemon's deadline for a call and its recovery limit, so that callers also retry
/// while the daemon still processes the request.
constexpr Duration kCallerStallTimeout = seconds(4);
constexpr Duration kStallCheckInterval = milliseconds(500);
constexpr Duration kRetryDelay = milliseconds(700);
constexpr int kMaxSends = 12;
constexpr int kMaxRefusals = 6;

}  // namespace

void RequestSimulation::Lookup(Caller& caller) {
  for (const char* name : {"d0", "d1", "d2"}) caller.daemons.push_back(name);
  const bool other = caller.name != "r0" && queue.Draw(2) == 1;
  if (other) std::rotate(caller.daemons.begin(), caller.daemons.begin() + 1, caller.daemons.end());
  // A running daemon answers the lookup; the answer may be outdated by the time it is used.
  const std::string issuer = caller.daemons[network.IsRunning(caller.daemons[0]) ? 0 : 1];
  if (m_plan.kind == ScenarioKind::kCallIssued) {
    caller.key = daemons.at(issuer)->IssueKeyPrefix() + "-" + caller.name;
  }
  caller.last_data = queue.Now();
  InjectFaultsAt(Step::kLookup, caller.name);
  SendRequest(caller);
  CheckForStall(caller);
}

void RequestSimulation::SendRequest(Caller& caller) {
  if (caller.ended) return;
  if (++caller.send >= kMaxSends) {
    Record(RequestAbandoned{caller.name});
    return EndCaller(caller, "no_daemon");
  }
  const bool generation = IsGeneration(m_plan.kind);
  SimulatedRequest request;
  request.name = caller.name;
  request.send = caller.send;
  request.key = caller.key;
  request.body = "body of " + caller.name;
  request.seed = caller.seed;
  request.resume = caller.point;
  if (caller.sends_tokens_back && caller.point) request.prefix_tokens = caller.tokens;
  RequestSent sent;
  sent.request = caller.name;
  sent.send = caller.send;
  sent.kind = generation ? RequestKind::kGeneration : RequestKind::kCall;
  sent.service = kService;
  sent.model = kModel;
  sent.prompt = request.body;
  sent.seed = caller.seed;
  sent.idempotent = m_plan.kind == ScenarioKind::kCallIdempotent;
  if (!generation) sent.expected_answer = AnswerTo("POST", "/order", request.body);
  Record(sent);
  const std::string daemon = caller.daemons[caller.daemon];
  const std::string node = "c-" + caller.name;
  const std::uint64_t serial = ++caller.serial;
  caller.connected_to = daemon;
  caller.session = 0;
  caller.last_data = std::max(caller.last_data, queue.Now());
  VirtualNetwork::ClientCallbacks callbacks;
  callbacks.lost = [this, &caller, serial] { OnConnectionLost(caller, serial, false); };
  callbacks.failed = [this, &caller, serial] {
    if (caller.ended || caller.serial != serial) return;
    ++caller.serial;
    RetryAtNextDaemon(caller, milliseconds(20));
  };
  callbacks.connected = [this, &caller, serial, daemon,
                         request](VirtualNetwork::ConnectionId link) {
    caller.connection = link;
    network.Send(link, true, [this, &caller, serial, daemon, request, link] {
      const std::uint64_t session = daemons.at(daemon)->Accept(
          request, [this, &caller, serial, link](const CallerMessage& message) {
            network.Send(link, false,
                         [this, &caller, serial, message] { Deliver(caller, serial, message); });
          });
      if (caller.serial == serial) caller.session = session;
    });
  };
  network.Connect(node, daemon, callbacks);
}

void RequestSimulation::Deliver(Caller& caller, std::uint64_t serial,
                                const CallerMessage& message) {
  if (caller.ended || caller.serial != serial) return;
  if (message.kind == CallerMessage::Kind::kToken) {
    if (!caller.tokens.empty()) {
      caller.longest_gap = std::max(caller.longest_gap, queue.Now() - caller.last_token);
    }
    caller.last_token = queue.Now();
  }
  caller.last_data = std::max(caller.last_data, queue.Now());
  switch (message.kind) {
    case CallerMessage::Kind::kToken:
      Record(TokenReceived{caller.name, message.position, message.text});
      caller.tokens.push_back(message.text);
      caller.point = message.point;
      return;
    case CallerMessage::Kind::kDone:
      Record(AnswerReceived{caller.name, message.position, {}});
      return EndCaller(caller, "answer");
    case CallerMessage::Kind::kAnswer:
      if (message.status == 200) {
        Record(AnswerReceived{caller.name, 0, message.text});
        return EndCaller(caller, "answer");
      }
      Record(RefusalReceived{caller.name, caller.send, ResultCode::kEndpointFailed,
                             Execution::kMayHaveRun, caller.connected_to});
      return EndCaller(caller, "status_" + std::to_string(message.status));
    case CallerMessage::Kind::kError:
      return OnRefusal(caller, message);
    case CallerMessage::Kind::kMove:
      return OnConnectionLost(caller, serial, true);
  }
}

void RequestSimulation::OnRefusal(Caller& caller, const CallerMessage& message) {
  const ResultCodeInfo& info = InfoOf(message.code);
  Record(
      RefusalReceived{caller.name, caller.send, message.code, info.execution, caller.connected_to});
  const bool retryable =
      info.execution == Execution::kNotRun || m_plan.kind == ScenarioKind::kCallIdempotent;
  const bool final = message.code == ResultCode::kBadEventId ||
                     message.code == ResultCode::kKeyReused || !retryable;
  if (final || ++caller.refusals > kMaxRefusals) {
    return EndCaller(caller, std::string(info.name));
  }
  ++caller.serial;
  RetryAtNextDaemon(caller, kRetryDelay);
}

void RequestSimulation::OnConnectionLost(Caller& caller, std::uint64_t serial, bool moved) {
  if (caller.ended || caller.serial != serial) return;
  Record(ConnectionLost{caller.name, caller.connected_to, moved});
  ++caller.serial;
  network.Close(caller.connection);
  RetryAtNextDaemon(caller, milliseconds(20));
}

void RequestSimulation::RetryAtNextDaemon(Caller& caller, Duration delay) {
  caller.daemon = (caller.daemon + 1) % caller.daemons.size();
  queue.After(delay, [this, &caller] { SendRequest(caller); });
}

void RequestSimulation::CheckForStall(Caller& caller) {
  queue.After(kStallCheckInterval, [this, &caller] {
    if (caller.ended) return;
    if (queue.Now() - caller.last_data > kCallerStallTimeout) {
      const std::string daemon = caller.connected_to;
      const std::uint64_t session = caller.session;
      caller.last_data = queue.Now();
      if (session != 0) {
        network.SendDatagram("c-" + caller.name, daemon, [this, daemon, session] {
          daemons.at(daemon)->OnCallerDisconnected(session);
        });
      }
      ++caller.serial;
      network.Close(caller.connection);
      RetryAtNextDaemon(caller, Duration::zero());
    }
    CheckForStall(caller);
  });
}

void RequestSimulation::EndCaller(Caller& caller, const std::string& result) {
  caller.ended = true;
  caller.result = result;
}

RequestSimulationResult SimulateRequests(const RequestPlan& plan) {
  return RequestSimulation(plan).Run();
}

std::string Describe(const RequestPlan& plan) {
  std::string text(NameOf(kScenarioNames, plan.kind));
  for (const PlannedFault& fault : plan.faults) {
    text += " " + std::string(NameOf(kFaultNames, fault.fault)) + "@" +
            std::string(NameOf(kStepNames, fault.step));
  }
  text += " seed=" + std::to_string(plan.seed);
  if (plan.mutation != Mutation::kNone) {
    text += " mutation=" + std::string(NameOf(kMutationNames, plan.mutation));
  }
  return text;
}

}  // namespace fulmarpoint
