#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "coordination/crash_suspects.h"
#include "coordination/router.h"
#include "protocol/catalogue.h"
#include "protocol/identifiers.h"
#include "protocol/result_code.h"
#include "protocol/rollout_messages.h"
#include "protocol/suspect_messages.h"
#include "utils/enum_names.h"
#include "utils/time.h"

namespace fulmarpoint {

/// Returns the priority of a service's requests: those of class `latency` go first. Thread-safe.
Priority PriorityOf(const CatalogueEntry& entry);

/// Where a request may be sent.
struct DispatchRequest {
  RequestId id;
  OrganisationId organisation;
  std::shared_ptr<const CatalogueEntry> entry;
  Fingerprint fingerprint = 0;
  /// Route name for rollout evidence: the adapter or the matched idempotent route; may be empty.
  std::string route;
  /// Only this version; nothing lets the rollout choose.
  std::optional<VersionName> version;
  std::vector<EndpointId> excluded;
  /// Failure domain in which the request just lost an endpoint.
  std::string avoided_domain;
  std::uint32_t prompt_tokens = 0;
  /// Prefers endpoints that probably have this prompt cached.
  std::string_view prompt;
  /// Not the first attempt: subject to the retry budget.
  bool repeated = false;
  /// False for work that runs at most once.
  bool may_try_suspect = true;
};

/// An endpoint chosen for one run. `Dispatcher::Ended` must be called for it exactly once.
struct DispatchChoice {
  std::uint64_t run = 0;
  EndpointId endpoint;
  std::string address;
  std::string failure_domain;
  VersionName version;
  std::uint64_t incarnation = 0;
  /// Expected wait for queue and prefill.
  Duration predicted_wait{};
  /// Not before this time; later than now if repeated attempts are spread.
  TimePoint not_before;
};

/// No endpoint can take the request now.
struct DispatchRefusal {
  ResultCode code = ResultCode::kNoEndpoint;
  Duration retry_after = std::chrono::seconds(1);
  /// No endpoint has the requested version any more.
  bool version_gone = false;
  /// The request is suspected to crash endpoints and no endpoint may run it now; ask again after
  /// `retry_after`.
  bool held = false;
  std::string reason;
};

using DispatchResult = std::variant<DispatchChoice, DispatchRefusal>;

/// How a run ended.
enum class DispatchEnd {
  /// The endpoint sent a complete answer.
  kCompleted,
  /// The endpoint sent a complete answer that reports a fault of its own (status 5xx).
  kFailed,
  /// This daemon or the caller ended the run.
  kCancelled,
  /// The connection broke or fell silent.
  kLost,
  /// The endpoint answered that it takes no request now.
  kRefused,
  /// The endpoint answered that it is leaving.
  kRefusedLeaving,
  /// No connection could be made; no byte was sent.
  kNotConnected,
};

inline constexpr std::array<EnumName<DispatchEnd>, 7> kDispatchEndNames = {{
    {DispatchEnd::kCompleted, "completed"},
    {DispatchEnd::kFailed, "failed"},
    {DispatchEnd::kCancelled, "cancelled"},
    {DispatchEnd::kLost, "lost"},
    {DispatchEnd::kRefused, "refused"},
    {DispatchEnd::kRefusedLeaving, "refused_leaving"},
    {DispatchEnd::kNotConnected, "not_connected"},
}};

struct RunResult {
  DispatchEnd end = DispatchEnd::kCancelled;
  /// Time to the first token or of the whole call; zero if it was not measured.
  Duration latency{};
  /// Mean time between tokens; zero if it was not measured.
  Duration token_interval{};
};

class CreditTable;
class EndpointRegistry;
class Metrics;
class RequestLog;
class RolloutTable;
class SuspectTable;

/// Chooses the endpoint of each run, and tells the modules that decide this how the run ended:
/// router, endpoint health, credits, crash suspects, retry and resumption budgets, rollout.
/// Thread-safe; never waits.
class Dispatcher {
 public:
  using NoticePublisher = std::function<void(const BadVersionNotice&)>;
  using SuspectPublisher = std::function<void(const SuspectGossip&)>;
  /// Returns whether this daemon is the one that places suspects at an endpoint first.
  using Ownership = std::function<bool(const EndpointId&)>;

  Dispatcher(EndpointRegistry& endpoints, RolloutTable& rollouts, SuspectTable& suspects,
             Metrics& metrics, RequestLog& log, std::string failure_domain);
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  /// Receives the notices of bad versions for the peers. Set before the first request.
  void SetNoticePublisher(NoticePublisher publisher);
  void SetSuspectPublisher(SuspectPublisher publisher);
  void SetOwnership(Ownership ownership);
  /// Every run needs a credit from now on. Set before the first request; `credits` outlives this.
  void SetCredits(CreditTable& credits);
  /// Adds what polls, peers and timers tell about crashed endpoints.
  void HandleSuspects(const CrashSuspectsEvent& event);

  DispatchResult Choose(const DispatchRequest& request);
  /// Returns how many runs of a service found no credit during the last second. Resumed generations
  /// are not waiting in admission, so the credit driver counts them here.
  int CreditDemand(const ServiceName& service);
  void Ended(std::uint64_t run, const RunResult& result);

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace fulmarpoint
