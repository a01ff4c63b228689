#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "coordination/rollout_participant.h"
#include "protocol/catalogue.h"
#include "protocol/rollout_messages.h"

namespace fulmarpoint {

/// This daemon's participants of all rollouts, shared by the workers. Thread-safe; its mutex is
/// `rollouts` in the lock order of docs/design.md and no other lock is taken under it.
class RolloutTable {
 public:
  explicit RolloutTable(InstanceId self) : m_self(std::move(self)) {}

  /// Adds participants for new rollouts and removes those that the catalogue no longer has.
  void SetEntries(const std::vector<CatalogueEntry>& entries);
  /// Returns the version for the next request of a service, counting the choice. `new_endpoints` is
  /// the number of usable endpoints with the new version. Without a rollout: the entry's version.
  VersionName ChooseVersion(const CatalogueEntry& entry, int new_endpoints, TimePoint now);
  /// Gives the last choice of the new version back because no endpoint took the request.
  void UndoChoice(const ServiceName& service);
  /// False if the endpoint's faults with this version are known to be its own.
  bool MayUse(const ServiceName& service, const VersionName& version,
              const EndpointId& endpoint) const;
  /// Reports an outcome of `version`; other versions than the two of the rollout are ignored.
  /// Returns a notice to be gossiped, if the version is found bad.
  std::optional<BadVersionNotice> AddOutcome(const ServiceName& service, const VersionName& version,
                                             VersionOutcome outcome, TimePoint now);
  /// Applies a notice of another daemon; returns true if it is new.
  bool AddNotice(const BadVersionNotice& notice, TimePoint now);
  /// Returns the notice that made the new version of a rollout bad, if there is one.
  std::optional<BadVersionNotice> BadNotice(const std::string& rollout) const;
  void AddDirective(const RolloutDirective& directive, TimePoint now);
  /// Returns the reports that are due.
  std::vector<RolloutReport> Tick(TimePoint now);
  std::vector<RolloutRequest> Rollouts() const;

 private:
  RolloutParticipant* FindByRollout(const std::string& rollout) const;

  const InstanceId m_self;
  mutable std::mutex m_mutex;
  std::map<ServiceName, std::unique_ptr<RolloutParticipant>> m_participants;
};

}  // namespace fulmarpoint
