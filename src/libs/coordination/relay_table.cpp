#include "coordination/relay_table.h"

#include <algorithm>
#include <cctype>
#include <random>
#include <set>
#include <utility>

namespace fulmarpoint {

namespace {

std::string NormalizedHost(std::string_view host) {
  std::string normalized(host.substr(0, host.find(':')));
  for (char& c : normalized) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return normalized;
}

bool HasLongerPrefix(const RelayRoute* a, const RelayRoute* b) {
  return a->prefix.size() > b->prefix.size();
}

using PriorityPair = std::pair<int, int>;

PriorityPair PriorityPairOf(int route, const RelayOrganisation* organisation) {
  if (organisation == nullptr) return {route, route};
  return {organisation->priority.value_or(route), route};
}

/// Returns the priorities of the streams to each service.
std::map<ServiceName, std::set<int>> StreamPriorities(const RelayConfiguration& configuration) {
  std::map<ServiceName, std::set<int>> priorities;
  for (const RelayRoute& route : configuration.routes) {
    if (route.retryability != Retryability::kStream) continue;
    for (const RouteTarget& target : route.targets) {
      priorities[target.service].insert(route.priority);
    }
  }
  return priorities;
}

/// Returns all combinations of the priorities of organisations and routes in ascending order.
std::vector<PriorityPair> PriorityPairs(const RelayConfiguration& configuration,
                                        const std::set<int>& routes) {
  std::set<PriorityPair> pairs;
  for (const int route : routes) {
    if (!configuration.has_organisations) pairs.insert(PriorityPairOf(route, nullptr));
    for (const RelayOrganisation& organisation : configuration.organisations) {
      pairs.insert(PriorityPairOf(route, &organisation));
    }
  }
  return {pairs.begin(), pairs.end()};
}

}  // namespace

RelayTable::RelayTable(RelayConfiguration configuration)
    : m_configuration(std::move(configuration)) {
  for (const RelayRoute& route : m_configuration.routes) {
    m_routes[NormalizedHost(route.host)].push_back(&route);
  }
  for (auto& [host, routes] : m_routes) {
    std::stable_sort(routes.begin(), routes.end(), HasLongerPrefix);
  }
  for (const RelayOrganisation& organisation : m_configuration.organisations) {
    for (const std::string& key : organisation.keys) m_organisations.emplace(key, &organisation);
  }
  for (const RelayService& service : m_configuration.services) {
    m_services.emplace(service.name, &service);
  }
  for (const auto& [service, routes] : StreamPriorities(m_configuration)) {
    const RelayService* found = FindService(service);
    const bool has_engines = found != nullptr && found->engine;
    if (!has_engines || routes.size() < 2) continue;
    m_priorities[service] = PriorityPairs(m_configuration, routes);
  }
}

const RelayRoute* RelayTable::FindRoute(std::string_view host, std::string_view path) const {
  const auto found = m_routes.find(NormalizedHost(host));
  if (found == m_routes.end()) return nullptr;
  for (const RelayRoute* route : found->second) {
    if (path.substr(0, route->prefix.size()) == route->prefix) return route;
  }
  return nullptr;
}

const RelayOrganisation* RelayTable::FindOrganisation(std::string_view key) const {
  const auto found = m_organisations.find(key);
  return found == m_organisations.end() ? nullptr : found->second;
}

const RelayService* RelayTable::FindService(std::string_view name) const {
  const auto found = m_services.find(name);
  return found == m_services.end() ? nullptr : found->second;
}

int RelayTable::PriorityOf(const RelayRoute& route, const RelayOrganisation* organisation,
                           const ServiceName& service) const {
  const PriorityPair pair = PriorityPairOf(route.priority, organisation);
  const auto found = m_priorities.find(service);
  if (found == m_priorities.end()) return pair.first;
  const std::vector<PriorityPair>& pairs = found->second;
  return static_cast<int>(std::lower_bound(pairs.begin(), pairs.end(), pair) - pairs.begin());
}

int RelayTable::PriorityLevels(const ServiceName& service) const {
  const auto found = m_priorities.find(service);
  return found == m_priorities.end() ? 1 : static_cast<int>(found->second.size());
}

ServiceName ChooseService(const RelayRoute& route, Random& random) {
  double total = 0.0;
  for (const RouteTarget& target : route.targets) total += std::max(0.0, target.weight);
  if (total <= 0.0) return {};
  double draw = std::uniform_real_distribution<double>(0.0, total)(random);
  const RouteTarget* chosen = nullptr;
  for (const RouteTarget& target : route.targets) {
    if (target.weight <= 0.0) continue;
    chosen = &target;
    draw -= target.weight;
    if (draw < 0.0) break;
  }
  return chosen == nullptr ? ServiceName() : chosen->service;
}

}  // namespace fulmarpoint
