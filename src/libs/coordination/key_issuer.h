#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "protocol/claim_record.h"
#include "protocol/identifiers.h"
#include "utils/time.h"

namespace fulmarpoint {

struct KeyIssuerConfig {
  /// A key is accepted for its first run until this time after its issue.
  Duration validity = std::chrono::seconds(300);
  /// An outcome is kept at least this long.
  Duration min_retention = std::chrono::seconds(600);
  std::size_t max_bytes = std::size_t{64} << 20;
};

enum class IssuedKeyState {
  /// The caller of `Begin` runs the call and then reports `Finish` or `Abandon`.
  kRun,
  /// The call is running; its outcome is the answer.
  kRunning,
  /// The call is finished; `outcome` holds its answer or that it is unknown.
  kFinished,
  /// The key was used with another request.
  kReused,
  /// The key is no longer accepted for a first run, and an earlier outcome may be forgotten.
  kExpired,
  /// Another daemon or an earlier process owns the key.
  kOtherOwner,
  kMalformed,
  /// No memory is left for another outcome.
  kFull,
};

struct IssuedKeyResult {
  IssuedKeyState state = IssuedKeyState::kMalformed;
  ClaimRecord outcome;
  InstanceId owner;
};

/// Issues idempotency keys that are bound to this process and keeps the outcomes of their calls in
/// memory. Not thread-safe.
class KeyIssuer {
 public:
  KeyIssuer(InstanceId self, KeyIssuerConfig config) : m_self(std::move(self)), m_config(config) {}

  /// Returns a prefix; the caller appends "-SUFFIX" of its choice for each call.
  std::string Issue(TimePoint now) const;
  Duration Validity() const { return m_config.validity; }

  /// Looks up a key. `scope` is "org/service", so that organisations do not share keys.
  IssuedKeyResult Begin(const std::string& scope, const std::string& key,
                        std::uint64_t request_hash, TimePoint now);
  /// Returns whether this process owns the key and no call with it has begun or can be forgotten.
  bool IsUnused(const std::string& scope, const std::string& key, TimePoint now) const;
  /// Stores the outcome of a call. Ignored if the call is not running.
  void Finish(const std::string& scope, const std::string& key, const ClaimRecord& outcome,
              TimePoint now);
  /// Forgets a call of which no byte was sent, so that the key can be used again.
  void Abandon(const std::string& scope, const std::string& key);
  /// Forgets outcomes whose retention has passed.
  void Expire(TimePoint now);
  std::size_t Bytes() const { return m_bytes; }

 private:
  struct Entry {
    std::uint64_t request_hash = 0;
    bool finished = false;
    ClaimRecord outcome;
    TimePoint valid_until;
    TimePoint keep_until;
  };

  static std::size_t SizeOf(const std::string& name, const Entry& entry);

  InstanceId m_self;
  KeyIssuerConfig m_config;
  std::map<std::string, Entry> m_entries;
  std::size_t m_bytes = 0;
};

}  // namespace fulmarpoint
