#pragma once

#include "protocol/identifiers.h"

namespace fulmarpoint {

/// Which versions of a service's endpoints may execute a request during a rollout of `version`.
struct VersionChoice {
  /// Empty if the service has no rollout, so that all versions are admitted.
  VersionName version;
  /// True to admit only `version`, false to admit only the other versions.
  bool use_new_version = false;
  /// If an attempt on the new version fails, the request may be retried on another version.
  bool may_fall_back = false;

  bool Admits(const VersionName& endpoint_version) const {
    return version.empty() || (endpoint_version == version) == use_new_version;
  }
};

}  // namespace fulmarpoint
