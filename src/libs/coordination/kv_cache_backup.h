#pragma once

#include <optional>
#include <string>

#include "protocol/endpoint_record.h"
#include "protocol/relay_messages.h"
#include "utils/time.h"

namespace fulmarpoint {

/// Tracks the backup of one stream's KV cache at another engine, from which the stream can continue
/// if its engine is lost. The engine of the attempt sends the backup to the holder named in its
/// request. If that holder is lost, the relay requests a replacement, which expires unless it is
/// renewed. Not thread-safe.
class KvCacheBackup {
 public:
  /// Engines keep a requested backup for `lifetime` after its last renewal.
  explicit KvCacheBackup(Duration lifetime) : m_lifetime(lifetime) {}

  /// An attempt starts; its engine sends a backup to `holder`, if any. Must be called first.
  void OnAttemptStarted(const std::optional<EndpointRecord>& holder, const std::string& request_id);
  /// Returns whether to request or renew a backup now. `holder_intact`: the process that holds the
  /// backup has not been lost since it received it.
  bool IsRequestDue(bool holder_intact, TimePoint now) const;
  /// A backup at `holder` was requested from the engine at `source_address`.
  void OnRequested(const EndpointRecord& holder, const std::string& source_address, TimePoint now);
  /// The backup is complete under `name`, or could not be made if `name` is `std::nullopt`.
  void OnRequestEnded(const std::optional<std::string>& name);

  /// Returns the engine that holds the backup, or will hold it after the request in progress.
  const std::optional<EndpointRecord>& Holder() const { return m_holder; }
  /// Returns whether the backup can be used.
  bool IsComplete(TimePoint now) const;
  /// Returns the address and name with which an engine finds the backup. Precondition:
  /// `IsComplete`.
  const KvCacheBackupSource& Source() const { return m_source; }
  /// Returns whether the backup must be released when the stream ends, because it was requested
  /// separately from the attempt.
  bool NeedsRelease() const { return m_is_requested && !m_source.name.empty(); }

 private:
  Duration m_lifetime;
  std::optional<EndpointRecord> m_holder;
  KvCacheBackupSource m_source;
  bool m_is_requested = false;
  bool m_request_in_progress = false;
  /// Start of the last request, and of the last request that succeeded.
  std::optional<TimePoint> m_requested_at;
  TimePoint m_renewed_at{};
};

}  // namespace fulmarpoint
