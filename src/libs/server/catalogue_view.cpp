#include "server/catalogue_view.h"

#include <utility>

namespace fulmarpoint {

namespace {

ServiceEntryPtr MakeServiceEntry(const std::shared_ptr<const CatalogueEntry>& entry) {
  const std::shared_ptr<ServiceEntry> service = std::make_shared<ServiceEntry>();
  service->entry = entry;
  for (std::size_t i = 0; i < entry->organisations.size(); ++i) {
    for (const std::string& hash : entry->organisations[i].key_hashes) {
      service->organisation_by_key.emplace(hash, i);
    }
  }
  return service;
}

}  // namespace

const OrganisationAccess* ServiceEntry::FindKey(const std::string& key_hash) const {
  const auto found = organisation_by_key.find(key_hash);
  return found == organisation_by_key.end() ? nullptr : &entry->organisations[found->second];
}

ServiceEntryPtr CatalogueSnapshot::Find(std::string_view service) const {
  const auto found = services.find(service);
  return found == services.end() ? nullptr : found->second;
}

bool CatalogueSnapshot::HasKey(const std::string& key_hash) const {
  for (const auto& [name, service] : services) {
    if (service->FindKey(key_hash) != nullptr) return true;
  }
  return false;
}

CatalogueView::CatalogueView() : m_current(std::make_shared<CatalogueSnapshot>()) {}

std::shared_ptr<const CatalogueSnapshot> CatalogueView::Current() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_current;
}

void CatalogueView::Apply(std::uint64_t revision,
                          const std::vector<std::shared_ptr<const CatalogueEntry>>& changed,
                          const std::vector<ServiceName>& removed) {
  std::vector<std::pair<ServiceName, ServiceEntryPtr>> services;
  services.reserve(changed.size());
  for (const std::shared_ptr<const CatalogueEntry>& entry : changed) {
    services.emplace_back(entry->service, MakeServiceEntry(entry));
  }
  const std::lock_guard<std::mutex> apply_lock(m_apply_mutex);
  const std::shared_ptr<const CatalogueSnapshot> current = Current();
  if (revision <= current->revision) return;
  const std::shared_ptr<CatalogueSnapshot> next = std::make_shared<CatalogueSnapshot>(*current);
  next->revision = revision;
  for (const ServiceName& service : removed) next->services.erase(service);
  for (auto& [name, service] : services) next->services[name] = std::move(service);
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_current = next;
  }
  if (m_listener) m_listener(*next);
}

void CatalogueView::SetFreshness(Freshness freshness) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_freshness = std::make_shared<const Freshness>(std::move(freshness));
}

bool CatalogueView::MayServe(const CatalogueEntry& entry) const {
  std::shared_ptr<const Freshness> freshness;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    freshness = m_freshness;
  }
  return freshness && (*freshness)(entry);
}

}  // namespace fulmarpoint
