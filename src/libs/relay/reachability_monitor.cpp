#include "relay/reachability_monitor.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "relay/relayed_request.h"
#include "transport/notification.h"
#include "utils/logging.h"

namespace fulmarpoint {

namespace {

constexpr Duration kProbeTimeout = std::chrono::milliseconds(150);
// Without suspicion the monitor waits for evidence; this only bounds the wait.
constexpr Duration kIdleWait = std::chrono::seconds(5);
constexpr Duration kMinWait = std::chrono::milliseconds(20);

}  // namespace

struct ReachabilityMonitor::State : std::enable_shared_from_this<ReachabilityMonitor::State> {
  State(RelayContext& shared, std::function<void(bool)> own_on_change)
      : context(shared), on_change(std::move(own_on_change)), wake(shared.executor) {}

  Task<void> Run();
  void StartProbes(TimePoint now);
  Task<void> Probe(EndpointRecord endpoint);
  void ReportChange(TimePoint now);
  Duration WaitTime(TimePoint now) const;

  RelayContext& context;
  std::function<void(bool)> on_change;
  Notification wake;
  /// Start of the isolation that was reported.
  std::optional<TimePoint> isolated_since;
  bool stopped = false;
};

Task<void> ReachabilityMonitor::State::Run() {
  const std::shared_ptr<State> self = shared_from_this();
  while (!stopped) {
    co_await wake.WaitFor(WaitTime(SteadyNow()));
    if (stopped) break;
    StartProbes(SteadyNow());
    ReportChange(SteadyNow());
  }
}

void ReachabilityMonitor::State::StartProbes(TimePoint now) {
  if (!context.reachability.NextProbe()) return;
  const std::vector<EndpointId> probes =
      context.reachability.TakeProbes(context.endpoints.ProbeCandidates(now), now);
  for (const EndpointId& id : probes) {
    const DirectoryEndpoint* endpoint = context.endpoints.Find(id);
    if (endpoint == nullptr) continue;
    Spawn(context.executor,
          [self = shared_from_this(), record = endpoint->record]() { return self->Probe(record); });
  }
}

Task<void> ReachabilityMonitor::State::Probe(EndpointRecord endpoint) {
  const std::shared_ptr<State> self = shared_from_this();
  if (stopped) co_return;
  HttpClientExchange connection(context.executor, HttpClientExchange::Options());
  const std::error_code error = co_await connection.Connect(endpoint.address, kProbeTimeout);
  if (stopped) co_return;
  context.metrics.Count("endpoint_probes", error ? "failed" : "answered");
  context.OnConnectionEnded(endpoint, error);
}

void ReachabilityMonitor::State::ReportChange(TimePoint now) {
  const std::optional<TimePoint> since = context.reachability.IsolatedSince();
  if (since.has_value() == isolated_since.has_value()) return;
  const TimePoint changed_since = since ? *since : *isolated_since;
  isolated_since = since;
  context.metrics.SetGauge("endpoint_isolation", {}, since ? 1.0 : 0.0);
  Log(LogLevel::kWarning, since ? "endpoints_unreachable" : "endpoints_reachable",
      {{"failed", context.reachability.FailedEndpoints()},
       {"ms", (now - changed_since).count() / 1000}});
  if (!since) context.endpoints.OnPathRestored(changed_since, now);
  on_change(since.has_value());
}

Duration ReachabilityMonitor::State::WaitTime(TimePoint now) const {
  const std::optional<TimePoint> next = context.reachability.NextProbe();
  return next ? std::clamp(*next - now, kMinWait, kIdleWait) : kIdleWait;
}

ReachabilityMonitor::ReachabilityMonitor(RelayContext& context, std::function<void(bool)> on_change)
    : m_state(std::make_shared<State>(context, std::move(on_change))) {}

ReachabilityMonitor::~ReachabilityMonitor() {
  m_state->stopped = true;
  m_state->wake.Notify();
}

void ReachabilityMonitor::Start() {
  Spawn(m_state->context.executor, [state = m_state]() { return state->Run(); });
}

void ReachabilityMonitor::OnEvidence() { m_state->wake.Notify(); }

}  // namespace fulmarpoint
