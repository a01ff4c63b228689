#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "protocol/catalogue.h"

namespace fulmarpoint {

/// A catalogue entry with an index of its API keys.
struct ServiceEntry {
  std::shared_ptr<const CatalogueEntry> entry;
  /// Index into `entry->organisations` by key hash.
  std::unordered_map<std::string, std::size_t> organisation_by_key;

  /// Returns the organisation of a key hash, or null.
  const OrganisationAccess* FindKey(const std::string& key_hash) const;
};

using ServiceEntryPtr = std::shared_ptr<const ServiceEntry>;

/// Immutable snapshot of the catalogue in effect.
struct CatalogueSnapshot {
  std::uint64_t revision = 0;
  std::map<ServiceName, ServiceEntryPtr, std::less<>> services;

  /// Returns the entry of a service, or null.
  ServiceEntryPtr Find(std::string_view service) const;
  /// Returns whether a key hash belongs to any service.
  bool HasKey(const std::string& key_hash) const;
};

/// Holds the catalogue in effect. Written by `ControlPlaneDriver`, read by requests. Thread-safe.
class CatalogueView {
 public:
  using Listener = std::function<void(const CatalogueSnapshot&)>;
  /// Decides whether new work of an entry may be accepted.
  using Freshness = std::function<bool(const CatalogueEntry&)>;

  CatalogueView();

  std::shared_ptr<const CatalogueSnapshot> Current() const;
  /// Puts a higher revision into effect; a lower one is ignored.
  void Apply(std::uint64_t revision,
             const std::vector<std::shared_ptr<const CatalogueEntry>>& changed,
             const std::vector<ServiceName>& removed);

  /// Receives each revision that is put into effect, in order. Set before the first one.
  void SetListener(Listener listener) { m_listener = std::move(listener); }

  /// Sets the function behind `MayServe`; without one no work is accepted.
  void SetFreshness(Freshness freshness);
  bool MayServe(const CatalogueEntry& entry) const;

 private:
  /// Serialises `Apply`, so that the listener receives revisions in order.
  std::mutex m_apply_mutex;
  mutable std::mutex m_mutex;
  Listener m_listener;
  std::shared_ptr<const CatalogueSnapshot> m_current;
  std::shared_ptr<const Freshness> m_freshness;
};

}  // namespace fulmarpoint
