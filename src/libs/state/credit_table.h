#pragma once

#include <mutex>
#include <vector>

#include "coordination/credit_holder.h"
#include "coordination/credit_owner.h"

namespace fulmarpoint {

/// Credits that this daemon holds and credits that it grants as an owner, shared by the worker
/// threads. Thread-safe; its mutex is `credits` in the lock order of docs/design.md, and no other
/// lock is acquired while it is held. The caller must not hold a lock while it executes the
/// returned actions.
class CreditTable {
 public:
  explicit CreditTable(const InstanceId& self) : m_holder(self), m_owner(self) {}

  std::vector<CreditHolderAction> Handle(const CreditHolderEvent& event, TimePoint now);
  std::vector<CreditOwnerAction> Handle(const CreditOwnerEvent& event, TimePoint now);
  /// Takes a credit for one request; returns false if none is valid and free.
  bool Take(const EndpointId& endpoint, TimePoint now);
  void Return(const EndpointId& endpoint);
  /// Returns the number of valid credits that no request uses.
  int Free(const EndpointId& endpoint, TimePoint now) const;
  /// Returns the number of running requests and free credits at the endpoints of a service.
  int Slots(const ServiceName& service, TimePoint now) const;

 private:
  mutable std::mutex m_mutex;
  CreditHolder m_holder;
  CreditOwner m_owner;
};

}  // namespace fulmarpoint
