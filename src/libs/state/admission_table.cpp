#include "state/admission_table.h"

namespace fulmarpoint {

std::vector<AdmissionAction> AdmissionTable::Request(const CatalogueEntry& entry,
                                                     const AdmissionRequested& event, int slots,
                                                     TimePoint now, int expected) {
  std::vector<AdmissionAction> actions;
  AdmissionSettings settings;
  const Duration patience = entry.limits.patience;
  // Background requests may wait longer than callers would, up to three times the patience.
  settings.patience = {patience, patience, 3 * patience};
  const std::lock_guard<std::mutex> lock(m_mutex);
  Admission& admission = m_services.try_emplace(entry.service, settings).first->second;
  admission.Handle(AdmissionSlotsChanged{slots, expected}, now, actions);
  admission.Handle(event, now, actions);
  return actions;
}

std::vector<AdmissionAction> AdmissionTable::Handle(const ServiceName& service,
                                                    const AdmissionEvent& event, TimePoint now) {
  std::vector<AdmissionAction> actions;
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_services.find(service);
  if (found == m_services.end()) return actions;
  found->second.Handle(event, now, actions);
  return actions;
}

AdmissionTable::Load AdmissionTable::LoadOf(const ServiceName& service) const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_services.find(service);
  if (found == m_services.end()) return {};
  const Admission& admission = found->second;
  return {admission.Running(), admission.Waiting(), admission.ActiveOrganisations()};
}

std::vector<ServiceName> AdmissionTable::Services() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  std::vector<ServiceName> names;
  names.reserve(m_services.size());
  for (const auto& [name, admission] : m_services) names.push_back(name);
  return names;
}

}  // namespace fulmarpoint
