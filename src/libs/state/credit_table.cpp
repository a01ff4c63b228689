#include "state/credit_table.h"

namespace fulmarpoint {

std::vector<CreditHolderAction> CreditTable::Handle(const CreditHolderEvent& event, TimePoint now) {
  std::vector<CreditHolderAction> actions;
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_holder.Handle(event, now, actions);
  return actions;
}

std::vector<CreditOwnerAction> CreditTable::Handle(const CreditOwnerEvent& event, TimePoint now) {
  std::vector<CreditOwnerAction> actions;
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_owner.Handle(event, now, actions);
  return actions;
}

bool CreditTable::Take(const EndpointId& endpoint, TimePoint now) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_holder.Take(endpoint, now);
}

void CreditTable::Return(const EndpointId& endpoint) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_holder.Return(endpoint);
}

int CreditTable::Free(const EndpointId& endpoint, TimePoint now) const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_holder.Free(endpoint, now);
}

int CreditTable::Slots(const ServiceName& service, TimePoint now) const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_holder.Slots(service, now);
}

}  // namespace fulmarpoint
