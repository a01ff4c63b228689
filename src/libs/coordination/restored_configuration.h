#pragma once

#include <cstdint>
#include <optional>

#include "utils/time.h"

namespace fulmarpoint {

/// Decides whether the configuration that the store holds is the operator's latest one. It need not
/// be after the store was restored from a copy: the operator then writes again what the copy lacks,
/// and until that has happened no reply of the store confirms a configuration. Not thread-safe.
class RestoredConfigurationCheck {
 public:
  /// The operator writes its configuration again within this time after the store was restored.
  static constexpr Duration kRewriteTime = std::chrono::milliseconds(1700);

  /// The store's row holds the configuration `version`; 0 if there is none that can be used.
  /// `row_version` is the row's version in the store. `restored` is set if this is the first read
  /// after a restore.
  void OnRow(std::int64_t version, std::uint64_t row_version, bool restored, TimePoint now);

  /// All rows up to the store's version `version` of the current epoch have been read.
  void OnComplete(std::uint64_t version) { m_complete_version = version; }

  /// Returns whether the store's configuration is the operator's latest one.
  bool IsCurrent(TimePoint now) const;

 private:
  /// Highest configuration version seen, and the row version that it had last.
  std::int64_t m_latest_version = 0;
  std::uint64_t m_latest_row_version = 0;
  /// Version of the store up to which the rows were known before the restore.
  std::uint64_t m_complete_version = 0;
  /// The restored store holds an older configuration than the latest one seen.
  bool m_is_outdated = false;
  /// The operator may not have written its configuration again before this time.
  std::optional<TimePoint> m_unwritten_until;
};

}  // namespace fulmarpoint
