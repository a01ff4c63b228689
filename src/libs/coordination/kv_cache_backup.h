#pragma once

#include <optional>
#include <string>

#include "protocol/endpoint_record.h"
#include "protocol/relay_messages.h"
#include "utils/time.h"

namespace fulmarpoint {

/// Keeps track of the copy of one run's memory at another engine, from which the run can continue
/// when its engine is lost. The engine sends a copy to the engine that it was told at the start; if
/// that one is lost, the copy is replaced by one that must be renewed again and again. Not
/// thread-safe.
class KvCacheBackup {
 public:
  /// Engines keep a requested copy for `lifetime` after it was last renewed.
  explicit KvCacheBackup(Duration lifetime) : m_lifetime(lifetime) {}

  /// The run begins; its engine sends a copy to `holder`, if any. Call it first.
  void OnAttemptStarted(const std::optional<EndpointRecord>& holder, const std::string& request_id);
  /// Returns whether to request a copy now. `holder_intact`: the process that holds the copy has
  /// not been lost since it received it.
  bool IsRequestDue(bool holder_intact, TimePoint now) const;
  /// A copy at `holder` was requested of the engine at `source_address`.
  void OnRequested(const EndpointRecord& holder, const std::string& source_address, TimePoint now);
  /// The copy is complete under `name`, or could not be made (no name).
  void OnRequestEnded(const std::optional<std::string>& name);

  /// Returns the engine that holds the copy, or will hold it when the request in progress ends.
  const std::optional<EndpointRecord>& Holder() const { return m_holder; }
  /// Returns whether the copy can be used.
  bool IsComplete(TimePoint now) const;
  /// Returns how an engine is told of the copy. Precondition: `IsComplete`.
  const KvCacheBackupSource& Source() const { return m_source; }
  /// Returns whether the copy is a requested one, which should be freed when the run ends.
  bool IsRequested() const { return m_is_requested && !m_source.name.empty(); }

 private:
  Duration m_lifetime;
  std::optional<EndpointRecord> m_holder;
  KvCacheBackupSource m_source;
  bool m_is_requested = false;
  bool m_request_in_progress = false;
  /// When the last request began, and when the one that succeeded last began.
  std::optional<TimePoint> m_requested_at;
  TimePoint m_renewed_at{};
};

}  // namespace fulmarpoint
