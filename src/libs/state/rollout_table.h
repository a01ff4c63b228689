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

/// The `RolloutParticipant`s of this daemon for all rollouts, shared by the worker threads.
/// Thread-safe; its mutex is `rollouts` in the lock order of docs/design.md, and no other lock is
/// acquired while it is held.
class RolloutTable {
 public:
  explicit RolloutTable(InstanceId self) : m_self(std::move(self)) {}

  /// Adds participants for new rollouts and removes those of rollouts that the catalogue no longer
  /// has.
  void SetEntries(const std::vector<CatalogueEntry>& entries);
  /// Returns the version for the next request of a service and counts the choice; without a
  /// rollout, the entry's version. `new_endpoints` is the number of usable endpoints with the new
  /// version.
  VersionName ChooseVersion(const CatalogueEntry& entry, int new_endpoints, TimePoint now);
  /// Undoes the counting of the last choice of the new version. Call it if no endpoint accepted the
  /// request.
  void UndoChoice(const ServiceName& service);
  /// Returns false if the failures of this version at `endpoint` are attributed to the endpoint.
  bool MayUse(const ServiceName& service, const VersionName& version,
              const EndpointId& endpoint) const;
  /// Adds an outcome of `version`; versions other than the two of the rollout are ignored. Returns
  /// a notice to be gossiped if the new version is found bad.
  std::optional<BadVersionNotice> AddOutcome(const ServiceName& service, const VersionName& version,
                                             VersionOutcome outcome, TimePoint now);
  /// Applies a notice of another daemon; returns whether it was new.
  bool AddNotice(const BadVersionNotice& notice, TimePoint now);
  /// Returns the notice that the new version of a rollout is bad, if there is one.
  std::optional<BadVersionNotice> BadNotice(const std::string& rollout) const;
  void AddDirective(const RolloutDirective& directive, TimePoint now);
  /// Returns the reports that are due. Call at least every `RolloutParticipant::kReportInterval`.
  std::vector<RolloutReport> Tick(TimePoint now);
  std::vector<RolloutRequest> Rollouts() const;

 private:
  RolloutParticipant* FindByRollout(const std::string& rollout) const;

  const InstanceId m_self;
  mutable std::mutex m_mutex;
  std::map<ServiceName, std::unique_ptr<RolloutParticipant>> m_participants;
};

}  // namespace fulmarpoint
