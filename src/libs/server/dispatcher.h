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

/// Returns the priority of a service's requests, which is higher for class `latency`. Thread-safe.
Priority PriorityOf(const CatalogueEntry& entry);

/// Constraints on the endpoint of one attempt.
struct DispatchRequest {
  RequestId id;
  OrganisationId organisation;
  std::shared_ptr<const CatalogueEntry> entry;
  Fingerprint fingerprint = 0;
  /// Route under which a rollout records the outcome: the adapter or the matched idempotent route;
  /// may be empty.
  std::string route;
  /// The required version; if empty, the rollout chooses.
  std::optional<VersionName> version;
  std::vector<EndpointId> excluded;
  /// Failure domain in which the request just lost an endpoint.
  std::string avoided_domain;
  std::uint32_t prompt_tokens = 0;
  /// Prefers endpoints that probably have this prompt cached.
  std::string_view prompt;
  /// Whether this is a retry, which is subject to the retry budget.
  bool is_retry = false;
  /// Whether an endpoint in state suspect may be tried; false for work that runs at most once.
  bool may_try_suspect = true;
};

/// An endpoint chosen for one attempt. `Dispatcher::Ended` must be called for it exactly once.
struct DispatchChoice {
  std::uint64_t attempt = 0;
  EndpointId endpoint;
  std::string address;
  std::string failure_domain;
  VersionName version;
  std::uint64_t incarnation = 0;
  /// Expected time in the queue and in prefill.
  Duration predicted_wait{};
  /// Earliest time to send the request; later than now if retries are spread over time.
  TimePoint not_before;
};

/// No endpoint can take the request now.
struct DispatchRejection {
  ResultCode code = ResultCode::kNoEndpoint;
  Duration retry_after = std::chrono::seconds(1);
  /// No endpoint has the requested version any more.
  bool version_gone = false;
  /// The request is suspected to crash endpoints and no endpoint may run it now; try again after
  /// `retry_after`.
  bool held = false;
  std::string reason;
};

using DispatchResult = std::variant<DispatchChoice, DispatchRejection>;

/// How an attempt ended.
enum class DispatchEnd {
  /// The endpoint sent a complete answer.
  kCompleted,
  /// The endpoint sent a complete answer that reports a fault of its own (status 5xx).
  kFailed,
  /// This daemon or the caller ended the attempt.
  kCancelled,
  /// The connection was lost or the stream stalled.
  kLost,
  /// The endpoint answered that it accepts no request now.
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

struct AttemptResult {
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

/// Chooses the endpoint of each attempt and reports the outcome to the modules behind the choice:
/// router, endpoint health, credits, crash suspects, retry and resumption budgets, rollout.
/// Thread-safe; never waits for I/O.
class Dispatcher {
 public:
  using BadVersionPublisher = std::function<void(const BadVersionNotice&)>;
  using SuspectPublisher = std::function<void(const SuspectGossip&)>;
  /// Returns whether this daemon owns an endpoint. Crash suspects run preferably at owned
  /// endpoints.
  using Ownership = std::function<bool(const EndpointId&)>;

  Dispatcher(EndpointRegistry& endpoints, RolloutTable& rollouts, SuspectTable& suspects,
             Metrics& metrics, RequestLog& log, std::string failure_domain);
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  /// Sets the function that publishes bad versions to the peers. Call before the first request.
  void SetBadVersionPublisher(BadVersionPublisher bad_version_publisher);
  void SetSuspectPublisher(SuspectPublisher bad_version_publisher);
  void SetOwnership(Ownership ownership);
  /// Requires a credit for every attempt. Call before the first request; `credits` must outlive
  /// this object.
  void SetCredits(CreditTable& credits);
  /// Handles an event of the crash suspects from a poll, a peer or a timer.
  void HandleSuspects(const CrashSuspectsEvent& event);

  DispatchResult Choose(const DispatchRequest& request);
  /// Returns how many requests of a service found no credit during the last second. Resumed
  /// generations do not wait in admission, so the credit driver gets their number here.
  int CreditDemand(const ServiceName& service);
  void Ended(std::uint64_t attempt, const AttemptResult& result);

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace fulmarpoint
