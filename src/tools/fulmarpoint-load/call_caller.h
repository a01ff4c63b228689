#pragma once

#include <string>

#include "experiment.h"
#include "run_context.h"

namespace fulmarpoint::load {

/// Simulated caller that makes one call to an application service. It retries when the response is
/// lost or reports that the call may have been executed; all attempts carry the same idempotency
/// key, if the load uses one. Used by one thread.
class CallCaller {
 public:
  /// `context` and `load` must outlive the caller.
  CallCaller(RunContext& context, const CallLoad& load, std::string name);

  /// Completes when the call has its final outcome or the attempts are used up.
  Task<void> Run();

 private:
  /// Makes one attempt. Returns true if its outcome is final.
  Task<bool> Send(std::string address);
  void ChooseKey(const LookupAnswer& found);
  bool MayRetry(const Problem& problem) const;

  RunContext& m_context;
  const CallLoad& m_load;
  std::string m_name;
  std::string m_api_key;
  std::string m_body;
  std::string m_key;
  int m_attempt = 0;
  TimePoint m_started;
};

}  // namespace fulmarpoint::load
