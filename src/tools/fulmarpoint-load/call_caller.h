#pragma once

#include <string>

#include "experiment.h"
#include "run_context.h"

namespace fulmarpoint::load {

/// One caller of one call. With an idempotency key it sends the call again, with the same key, when
/// the answer is lost or says that the call may have run. Used by one thread.
class CallCaller {
 public:
  /// `context` and `load` must outlive the caller.
  CallCaller(RunContext& context, const CallLoad& load, std::string name);

  /// Completes with the last outcome.
  Task<void> Run();

 private:
  /// Returns whether the call has its final outcome.
  Task<bool> Send(std::string address);
  void ChooseKey(const LookupAnswer& found);
  bool MaySendAgain(const Problem& problem) const;

  RunContext& m_context;
  const CallLoad& m_load;
  std::string m_name;
  std::string m_api_key;
  std::string m_body;
  std::string m_key;
  int m_send = 0;
  TimePoint m_started;
};

}  // namespace fulmarpoint::load
