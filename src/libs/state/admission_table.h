#pragma once

#include <map>
#include <mutex>
#include <vector>

#include "coordination/admission.h"
#include "protocol/catalogue.h"

namespace fulmarpoint {

/// Admission control of all services, shared by the worker threads. Thread-safe; its mutex is
/// `admission` in the lock order of docs/design.md, and no other lock is acquired while it is held.
/// The caller must not hold a lock while it executes the returned actions.
class AdmissionTable {
 public:
  /// Metrics of one service.
  struct Load {
    int running = 0;
    std::size_t waiting = 0;
    std::size_t organisations = 0;
  };

  /// The state of a service is created by its first request, with the patience in `entry`. For
  /// `slots` and `expected` see `AdmissionSlotsChanged`.
  std::vector<AdmissionAction> Request(const CatalogueEntry& entry, const AdmissionRequested& event,
                                       int slots, TimePoint now, int expected = 0);
  /// Ignores events of services that have had no request.
  std::vector<AdmissionAction> Handle(const ServiceName& service, const AdmissionEvent& event,
                                      TimePoint now);
  Load LoadOf(const ServiceName& service) const;
  /// Returns the services that have had requests.
  std::vector<ServiceName> Services() const;

 private:
  mutable std::mutex m_mutex;
  std::map<ServiceName, Admission> m_services;
};

}  // namespace fulmarpoint
