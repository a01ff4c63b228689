#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "protocol/claim_record.h"
#include "utils/time.h"

namespace fulmarpoint {

/// State of a call at the owner of its claim.
enum class OwnedCallState {
  kRunning,
  kFinished,
  /// No byte was sent and none will be; the claim may be deleted.
  kAbandoned,
  /// This daemon has no record of the call, so it may have run.
  kUnknown,
};

struct OwnedCallResult {
  OwnedCallState state = OwnedCallState::kUnknown;
  ClaimRecord outcome;
};

/// The calls claimed by this process, by claim token. Answers queries of other daemons that have
/// received the same request, and keeps outcomes while the table service is down. Not thread-safe.
class OwnedCalls {
 public:
  /// Precondition: the call has not been sent.
  void Begin(const std::string& claim_token);
  /// Stores the outcome of a call. Ignored if the call is not known.
  void Finish(const std::string& claim_token, const ClaimRecord& outcome, TimePoint now);
  /// Records that no byte of the call was sent and none will be.
  void Abandon(const std::string& claim_token, TimePoint now);
  /// Records that the table service has the outcome, which is then kept for a short time only.
  void MarkRecorded(const std::string& claim_token, TimePoint now);
  OwnedCallResult LookUp(const std::string& claim_token) const;
  /// Removes calls whose retention has passed.
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
