#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "protocol/claim_record.h"
#include "protocol/resume_point.h"
#include "support/fake_table_service.h"
#include "support/request_plan.h"
#include "support/virtual_network.h"
#include "verification/event_queue.h"
#include "verification/simulated_engine.h"

namespace fulmarpoint {

class SimulatedDaemon;

/// Request of a caller to a daemon.
struct SimulatedRequest {
  RequestName name;
  int send = 0;
  std::string key;
  std::string body;
  std::uint64_t seed = 0;
  std::optional<ResumePoint> resume;
  std::vector<std::string> prefix_tokens;
};

/// Message of a daemon to a caller.
struct CallerMessage {
  enum class Kind { kToken, kDone, kAnswer, kError, kMove };
  Kind kind = Kind::kToken;
  std::uint64_t position = 0;
  std::string text;
  ResumePoint point;
  int status = 200;
  ResultCode code = ResultCode::kOk;
};

/// Simulation of two callers whose requests pass through a fleet with fault injection. Nodes: d0 to
/// d2 (daemons), e0 to e3 (model engines), a0 and a1 (application engines), the table service and
/// the callers. Not thread-safe.
class RequestSimulation {
 public:
  static constexpr std::uint64_t kTokens = 30;
  static constexpr const char* kService = "service";
  static constexpr const char* kModel = "model";

  explicit RequestSimulation(RequestPlan plan);
  ~RequestSimulation();

  /// Runs the plan and checks its history. Precondition: not called before.
  RequestSimulationResult Run();

  /// Injects the faults planned for `step` if `request` is the first one.
  void InjectFaultsAt(Step step, const RequestName& request);
  /// Injects the faults planned for `step`, then runs `next` at the node: after the pause if it is
  /// paused, never if it has crashed.
  void RunAtStep(Step step, const RequestName& request, const std::string& node,
                 std::function<void()> next);
  void Record(HistoryEvent event) { m_history.push_back({queue.Now(), std::move(event)}); }
  bool IsActive(Fault fault) const { return m_active.contains(fault); }
  Mutation ActiveMutation() const { return m_plan.mutation; }
  ScenarioKind Kind() const { return m_plan.kind; }

  /// Sends a message from an endpoint to a daemon, subject to the active faults of answers.
  void SendAnswer(VirtualNetwork::ConnectionId connection, const std::string& endpoint,
                  const std::string& daemon, const std::function<void()>& deliver,
                  const std::function<void()>& lost);
  /// Runs a call at an application engine. `reply` gets the HTTP status, the body and the name of
  /// the request that the answer belongs to.
  void ServeCall(const std::string& endpoint, const RequestName& request, const std::string& body,
                 const std::function<void(int, std::string, RequestName)>& reply);

  /// Records the endpoint that serves a request.
  void SetCurrentEndpoint(const RequestName& request, const EndpointId& endpoint);
  /// Injects the faults planned for the step that corresponds to the token at `position`, if any.
  void InjectFaultsAtToken(std::uint64_t position, const RequestName& request);
  void OpenStream(SimulatedEngine& engine, const SimulatedEngine::StreamRequest& stream,
                  const SimulatedEngine::Sink& sink, const RequestName& request,
                  bool is_resumption);
  UnixMillis WallTime() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(queue.Now().time_since_epoch())
        .count();
  }

  EventQueue queue;
  VirtualNetwork network;
  FakeTableService store;
  std::map<EndpointId, SimulatedEngine> engines;
  std::map<std::string, std::unique_ptr<SimulatedDaemon>> daemons;
  /// Endpoint that last served the first request, and daemon that last accepted a request.
  std::string current_endpoint;
  std::string current_daemon = "d0";
  std::set<EndpointId> refusing;
  std::set<EndpointId> slow;
  /// Whether version v1 has lost all its endpoints.
  bool version_gone = false;

 private:
  struct Caller {
    RequestName name;
    std::uint64_t seed = 0;
    std::string key;
    std::vector<std::string> daemons;
    std::size_t daemon = 0;
    int send = -1;
    int refusals = 0;
    /// Number of the current connection; messages from earlier ones are ignored.
    std::uint64_t serial = 0;
    VirtualNetwork::ConnectionId connection = 0;
    std::string connected_to;
    std::uint64_t session = 0;
    std::vector<std::string> tokens;
    std::optional<ResumePoint> point;
    TimePoint last_data;
    TimePoint last_token;
    bool sends_tokens_back = true;
    bool ended = false;
    std::string result = "none";
    Duration longest_gap = Duration::zero();
  };

  void InjectFault(Fault fault);
  void InjectDaemonFault(Fault fault);
  void InjectStoreFault(FakeTableService::Mode mode);
  void ActivateFor(Fault fault, Duration duration);
  void CrashDaemon(const std::string& daemon, std::optional<Duration> restart_after);
  void ExitWhenIdle(const std::string& daemon, SimulatedDaemon* process, bool was_idle);
  void InjectCallerFault(Fault fault);
  void MakeEndpointListStale();
  void Lookup(Caller& caller);
  void SendRequest(Caller& caller);
  void Deliver(Caller& caller, std::uint64_t serial, const CallerMessage& message);
  void OnRefusal(Caller& caller, const CallerMessage& message);
  void OnConnectionLost(Caller& caller, std::uint64_t serial, bool moved);
  void CheckForStall(Caller& caller);
  void RetryAtNextDaemon(Caller& caller, Duration delay);
  void EndCaller(Caller& caller, const std::string& result);
  std::string CurrentEndpoint() const;

  RequestPlan m_plan;
  std::vector<bool> m_injected;
  std::set<Fault> m_active;
  std::vector<Caller> m_callers;
  History m_history;
  std::vector<std::unique_ptr<SimulatedDaemon>> m_ended_daemons;
  EndpointId m_late_endpoint;
  TimePoint m_late_until;
  /// Stream message that is held back to reorder it with the next one.
  std::function<void()> m_delayed_message;
  struct DelayedAnswer {
    std::string body;
    RequestName request;
    std::function<void(int, std::string, RequestName)> reply;
  };
  /// Answer to a call that is held back to swap it with that to another call.
  std::optional<DelayedAnswer> m_delayed_answer;
};

}  // namespace fulmarpoint
