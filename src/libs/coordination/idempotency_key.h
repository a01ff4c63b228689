#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "protocol/identifiers.h"
#include "utils/time.h"

namespace fulmarpoint {

/// Returns the timestamp of a UUIDv7 in its canonical text form; nothing for any other key.
/// Thread-safe.
std::optional<UnixMillis> UuidV7Time(std::string_view key);

/// Returns whether a caller-chosen key must be rejected because its claim may have been deleted.
/// Keys without a timestamp are never rejected, because their claims are kept. Thread-safe.
bool IsKeyTooOld(std::string_view key, UnixMillis now);

/// Returns whether the claim of a key may be deleted. Later than `IsKeyTooOld` by a margin for
/// clock differences and paused daemons. Thread-safe.
bool IsClaimDeletable(std::string_view key, UnixMillis now);

/// Contents of the prefix of a daemon-issued key.
struct IssuedKey {
  InstanceId owner;
  /// Time of issue on the owner's monotonic clock.
  TimePoint issued;
};

/// Returns the prefix that a caller completes with "-SUFFIX". Thread-safe.
std::string FormatIssuedPrefix(const IssuedKey& key);

/// Returns whether `key` begins like a daemon-issued key; it may be malformed. Thread-safe.
bool HasIssuedForm(std::string_view key);

/// Parses "PREFIX-SUFFIX"; nothing if it is malformed or has no suffix. Thread-safe.
std::optional<IssuedKey> ParseIssuedKey(std::string_view key);

}  // namespace fulmarpoint
