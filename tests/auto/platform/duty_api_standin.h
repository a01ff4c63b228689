#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "protocol/usage_messages.h"
#include "transport/http_server.h"
#include "transport/task.h"

namespace fulmarpoint {

/// How the API treats a call.
enum class DutyApiBehaviour {
  kExecute,
  /// Replies with 409, as if a higher fencing token had been seen.
  kFence,
  /// Replies with 429.
  kThrottle,
  /// Neither executes the call nor replies.
  kIgnore,
  /// Executes the call after `late_by` and does not reply.
  kExecuteLate,
};

/// A call as received.
struct DutyApiCall {
  /// What the fencing token protects: the usage reports, or the engines of a service in a failure
  /// domain.
  std::string subject;
  std::string holder;
  std::uint64_t token = 0;
  std::string body;
  TimePoint received{};
  /// Status of the reply; 0 if there is none.
  int status = 0;
};

/// Test double of the platform's API for singleton duties. Used on one strand.
class DutyApiStandin {
 public:
  explicit DutyApiStandin(const Executor& executor);

  std::string Address() const { return m_server.Address(); }
  /// Treats all further calls like this.
  void SetBehaviour(DutyApiBehaviour behaviour) { m_behaviour = behaviour; }
  /// In the order in which they were received.
  const std::vector<DutyApiCall>& Calls() const { return m_calls; }
  /// Returns the calls with that status.
  std::vector<DutyApiCall> CallsWith(int status) const;
  /// Returns the latest call; its status is -1 if there was none.
  DutyApiCall LastCall() const;
  /// Windows whose report was executed.
  const std::map<UsageWindow, std::string>& Reports() const { return m_reports; }
  /// Returns the sum of the organisation's requests in all executed reports.
  std::uint64_t Reported(const std::string& organisation) const;
  /// Calls executed after `late_by`.
  int LateCalls() const { return m_late_calls; }
  /// Returns the first rule that the callers broke; empty if there is none.
  const std::string& Violation() const { return m_violation; }

  Duration late_by = std::chrono::seconds(2);

 private:
  Task<void> Handle(HttpExchange& exchange);
  /// Returns the status of the reply.
  int Execute(const DutyApiCall& call);
  void Check(const DutyApiCall& call);
  void AddViolation(const std::string& rule, const DutyApiCall& call);

  Executor m_executor;
  DutyApiBehaviour m_behaviour = DutyApiBehaviour::kExecute;
  std::vector<DutyApiCall> m_calls;
  std::map<UsageWindow, std::string> m_reports;
  /// Highest fencing token of each subject that was received, and that was executed.
  std::map<std::string, std::uint64_t> m_received_tokens;
  std::map<std::string, std::uint64_t> m_executed_tokens;
  std::map<std::uint64_t, std::string> m_holders;
  std::set<std::pair<std::string, std::uint64_t>> m_refused;
  int m_late_calls = 0;
  std::string m_violation;
  HttpServer m_server;
};

}  // namespace fulmarpoint
