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
  /// How long after its issue a key is accepted for a new call.
  Duration validity = std::chrono::seconds(300);
  /// An outcome is kept for at least this long.
  Duration min_retention = std::chrono::seconds(600);
  std::size_t max_bytes = std::size_t{64} << 20;
};

enum class IssuedKeyState {
  /// The key is unused. The caller of `Begin` must run the call and then use `Finish` or `Abandon`.
  kRun,
  /// A call with this key is running; wait for its outcome.
  kRunning,
  /// A call with this key has finished; `outcome` holds its answer or says that it is unknown.
  kFinished,
  /// The key was used with another request.
  kReused,
  /// The key is too old for a new call, and the outcome of an earlier one may have been removed.
  kExpired,
  /// Another daemon or an earlier process owns the key.
  kOtherOwner,
  kMalformed,
  /// The memory limit for outcomes is reached.
  kFull,
};

struct IssuedKeyResult {
  IssuedKeyState state = IssuedKeyState::kMalformed;
  ClaimRecord outcome;
  InstanceId owner;
};

/// Issues idempotency keys that only this process accepts, and keeps the outcomes of their calls in
/// memory. Not thread-safe.
class KeyIssuer {
 public:
  KeyIssuer(InstanceId self, KeyIssuerConfig config) : m_self(std::move(self)), m_config(config) {}

  /// Returns a key prefix. The caller appends "-SUFFIX" for each call, with a suffix of its choice.
  std::string Issue(TimePoint now) const;
  Duration Validity() const { return m_config.validity; }

  /// Looks up a key and, if the result is `kRun`, begins a call with it. `scope` is "org/service",
  /// so that organisations do not share keys.
  IssuedKeyResult Begin(const std::string& scope, const std::string& key,
                        std::uint64_t request_hash, TimePoint now);
  /// Returns whether this process owns the key and no call with it has begun. False for a key that
  /// has expired, because the outcome of its call may have been removed.
  bool IsUnused(const std::string& scope, const std::string& key, TimePoint now) const;
  /// Stores the outcome of a call. Ignored if there is no such call or its answer is known.
  void Finish(const std::string& scope, const std::string& key, const ClaimRecord& outcome,
              TimePoint now);
  /// Removes a call of which no byte was sent, so that the key can be used again.
  void Abandon(const std::string& scope, const std::string& key);
  /// Removes outcomes whose retention has passed.
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

  static std::size_t SizeOf(const std::string& entry_key, const Entry& entry);

  InstanceId m_self;
  KeyIssuerConfig m_config;
  std::map<std::string, Entry> m_entries;
  std::size_t m_bytes = 0;
};

}  // namespace fulmarpoint
