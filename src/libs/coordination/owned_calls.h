#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "protocol/claim_record.h"
#include "utils/time.h"

namespace fulmarpoint {

/// What the owner of a claim knows about its call.
enum class OwnedCallState {
  kRunning,
  kFinished,
  /// No byte was sent and none will be; the claim may be deleted.
  kAbandoned,
  /// Not known here, so it may have run.
  kUnknown,
};

struct OwnedCallResult {
  OwnedCallState state = OwnedCallState::kUnknown;
  ClaimRecord outcome;
};

/// The claims of this process by claim token. Answers other daemons that hold the same request,
/// and holds outcomes while the table service is down. Not thread-safe.
class OwnedCalls {
 public:
  /// Precondition: the call has not been sent.
  void Begin(const std::string& claim_token);
  void Finish(const std::string& claim_token, const ClaimRecord& outcome, TimePoint now);
  void Abandon(const std::string& claim_token, TimePoint now);
  /// The outcome is in the table service.
  void MarkRecorded(const std::string& claim_token, TimePoint now);
  OwnedCallResult LookUp(const std::string& claim_token) const;
  void Expire(TimePoint now);
  std::size_t Size() const { return m_calls.size(); }

 private:
  struct Call {
    OwnedCallState state = OwnedCallState::kRunning;
    ClaimRecord outcome;
    TimePoint keep_until = TimePoint::max();
  };

  std::map<std::string, Call> m_calls;
};

}  // namespace fulmarpoint
