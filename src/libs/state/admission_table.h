#pragma once

#include <map>
#include <mutex>
#include <vector>

#include "coordination/admission.h"
#include "protocol/catalogue.h"

namespace fulmarpoint {

/// Admission to all services, shared by the workers. Thread-safe; its mutex is `admission` in the
/// lock order of docs/design.md and no other lock is taken under it. The caller carries out the
/// returned actions without a lock.
class AdmissionTable {
 public:
  /// Numbers of one service for metrics.
  struct Load {
    int running = 0;
    std::size_t waiting = 0;
    std::size_t organisations = 0;
  };

  /// The first request of a service creates its state with the patience of `entry`; services
  /// without requests have none. `slots` and `expected`: see `AdmissionSlotsChanged`.
  std::vector<AdmissionAction> Request(const CatalogueEntry& entry, const AdmissionRequested& event,
                                       int slots, TimePoint now, int expected = 0);
  /// Events for unknown services have no effect.
  std::vector<AdmissionAction> Handle(const ServiceName& service, const AdmissionEvent& event,
                                      TimePoint now);
  Load LoadOf(const ServiceName& service) const;
  std::vector<ServiceName> Services() const;

 private:
  mutable std::mutex m_mutex;
  std::map<ServiceName, Admission> m_services;
};

}  // namespace fulmarpoint
