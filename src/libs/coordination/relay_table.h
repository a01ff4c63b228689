#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "protocol/relay_configuration.h"
#include "utils/random.h"

namespace fulmarpoint {

/// One version of the relay's configuration, indexed for lookup by requests. Immutable, so that a
/// request uses the version with which it started. Thread-safe.
class RelayTable {
 public:
  explicit RelayTable(RelayConfiguration configuration);
  RelayTable(const RelayTable&) = delete;
  RelayTable& operator=(const RelayTable&) = delete;

  std::int64_t Version() const { return m_configuration.version; }
  const CallerLimits& Limits() const { return m_configuration.limits; }
  const RelayConfiguration& Configuration() const { return m_configuration; }

  /// Returns the route of `host` with the longest prefix of `path`, or null. Ignores a port in
  /// `host` and the case of its letters.
  const RelayRoute* FindRoute(std::string_view host, std::string_view path) const;
  /// Returns the organisation of the API key `key`, or null.
  const RelayOrganisation* FindOrganisation(std::string_view key) const;
  /// Returns null if the service is not configured.
  const RelayService* FindService(std::string_view name) const;
  /// Returns the priority of a request of `organisation` (null if there is none) to `route` at
  /// `service`; 0 is the highest. The priority of the organisation comes first; between requests
  /// that are equal in it, that of the route decides.
  int PriorityOf(const RelayRoute& route, const RelayOrganisation* organisation,
                 const ServiceName& service) const;
  /// Returns the number of priorities that the requests of `service` can have; 1 unless streams of
  /// different routes compete for its engines.
  int PriorityLevels(const ServiceName& service) const;

 private:
  RelayConfiguration m_configuration;
  /// Routes of each host, longest prefix first.
  std::unordered_map<std::string, std::vector<const RelayRoute*>> m_routes;
  std::unordered_map<std::string_view, const RelayOrganisation*> m_organisations;
  std::map<std::string_view, const RelayService*> m_services;
  /// Priorities of organisation and route, in ascending order, of the services whose engines have
  /// streams of routes with different priorities.
  std::map<ServiceName, std::vector<std::pair<int, int>>> m_priorities;
};

/// Chooses one of the route's services at random by weight. Returns an empty name if no target has
/// a positive weight. Thread-safe if each thread uses its own `random`.
ServiceName ChooseService(const RelayRoute& route, Random& random);

}  // namespace fulmarpoint
