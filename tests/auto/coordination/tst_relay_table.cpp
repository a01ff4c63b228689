#include <criterion/criterion.h>

#include <map>

#include "coordination/relay_table.h"

using namespace fulmarpoint;

namespace {

constexpr std::uint64_t kSeed = 20261204;

RelayRoute Route(const std::string& name, const std::string& host, const std::string& prefix) {
  RelayRoute route;
  route.name = name;
  route.host = host;
  route.prefix = prefix;
  return route;
}

RelayConfiguration Configuration() {
  RelayConfiguration configuration;
  configuration.version = 7;
  configuration.routes = {Route("short", "a.example", "/x/"), Route("long", "a.example", "/x/y/"),
                          Route("other", "b.example", "/x/")};
  configuration.has_organisations = true;
  configuration.organisations = {{"roastery", {"key-1", "key-2"}, std::nullopt}};
  return configuration;
}

std::string NameOfRoute(const RelayTable& table, std::string_view host, std::string_view path) {
  const RelayRoute* route = table.FindRoute(host, path);
  return route == nullptr ? "none" : route->name;
}

}  // namespace

// Guards against requests that are routed by a shorter prefix or by the routes of another host.
Test(relay_table, the_longest_prefix_of_the_host_wins) {
  const RelayTable table(Configuration());
  cr_assert(NameOfRoute(table, "a.example", "/x/y/z") == "long");
  cr_assert(NameOfRoute(table, "a.example", "/x/yy") == "short");
  cr_assert(NameOfRoute(table, "A.Example:8740", "/x/") == "short");
  cr_assert(NameOfRoute(table, "b.example", "/x/y/z") == "other");
  cr_assert(NameOfRoute(table, "a.example", "/") == "none");
  cr_assert(NameOfRoute(table, "c.example", "/x/") == "none");
}

// Guards against a key that is accepted for the wrong organisation, and against an empty key that
// is accepted.
Test(relay_table, keys_belong_to_their_organisation) {
  const RelayTable table(Configuration());
  cr_assert(table.FindOrganisation("key-2")->name == "roastery");
  cr_assert_null(table.FindOrganisation("key-3"));
  cr_assert_null(table.FindOrganisation(""));
}

// Guards against traffic to a service with weight zero, and against shares that differ from the
// weights.
Test(relay_table, services_are_chosen_by_weight) {
  RelayRoute route;
  route.targets = {{"old", 90}, {"new", 10}, {"none", 0}};
  Random random(kSeed);
  std::map<std::string, int> counts;
  for (int draw = 0; draw < 10000; ++draw) ++counts[ChooseService(route, random)];
  cr_assert_eq(counts.size(), 2u, "seed %lu", kSeed);
  cr_assert(counts["new"] > 800 && counts["new"] < 1200, "new: %d, seed %lu", counts["new"], kSeed);
  cr_assert(ChooseService(RelayRoute(), random).empty());
}

// Guards against urgent and less urgent streams that are the same to the engines because their
// organisations have equal priorities.
Test(relay_table, routes_order_the_requests_of_equal_organisations) {
  RelayConfiguration configuration = Configuration();
  configuration.services = {{"models", 0, EngineCapacity()}, {"calls", 0, std::nullopt}};
  configuration.organisations = {{"a", {"key-a"}, 1}, {"b", {"key-b"}, 0}, {"c", {"key-c"}, {}}};
  for (RelayRoute& route : configuration.routes) {
    route.retryability = Retryability::kStream;
    route.targets = {{"models", 1.0}};
  }
  configuration.routes[0].priority = 2;
  configuration.routes[1].priority = 0;
  configuration.routes[2].priority = 2;
  const RelayTable table(configuration);
  const RelayRoute& normal = table.Configuration().routes[0];
  const RelayRoute& urgent = table.Configuration().routes[1];
  const auto priority = [&table](const RelayRoute& route, const char* key) {
    return table.PriorityOf(route, table.FindOrganisation(key), "models");
  };
  cr_assert_lt(priority(urgent, "key-a"), priority(normal, "key-a"));
  cr_assert_lt(priority(normal, "key-b"), priority(urgent, "key-a"),
               "the organisation comes first");
  cr_assert_lt(priority(urgent, "key-c"), priority(urgent, "key-a"));
  cr_assert_eq(table.PriorityLevels("models"), 5);
  cr_assert_eq(table.PriorityLevels("calls"), 1);
}

// Guards against a changed order of requests where no streams of different priority compete.
Test(relay_table, an_organisations_priority_is_sent_where_routes_are_equal) {
  RelayConfiguration configuration = Configuration();
  configuration.services = {{"models", 0, EngineCapacity()}};
  configuration.organisations = {{"a", {"key-a"}, 3}, {"c", {"key-c"}, {}}};
  for (RelayRoute& route : configuration.routes) route.targets = {{"models", 1.0}};
  configuration.routes[0].retryability = Retryability::kStream;
  configuration.routes[0].priority = 1;
  configuration.routes[1].priority = 2;
  const RelayTable table(configuration);
  const RelayRoute& route = table.Configuration().routes[0];
  cr_assert_eq(table.PriorityOf(route, table.FindOrganisation("key-a"), "models"), 3);
  cr_assert_eq(table.PriorityOf(route, table.FindOrganisation("key-c"), "models"), 1);
  cr_assert_eq(table.PriorityOf(route, nullptr, "models"), 1);
  cr_assert_eq(table.PriorityLevels("models"), 1);
}
