#include <criterion/criterion.h>

#include "protocol/catalogue.h"
#include "toml_writer.h"

using namespace fulmarpoint;

// `catalogue get` and `rollout start` must not change the fields that they copy.
Test(toml_writer, entry_survives_the_way_through_toml) {
  CatalogueEntry entry;
  entry.service = "assistant";
  entry.owner = "ops \"night\" \\ shift";
  entry.model = "draft";
  entry.version = "v1";
  entry.versions = {"v1", "v2"};
  entry.idempotent_routes = {"GET /orders"};
  entry.organisations = {{"northwind", {std::string(64, 'a'), std::string(64, 'b')}, 7, 9},
                         {"contoso", {}, 1, 2}};
  entry.limits.max_concurrent = 50;
  entry.rollout = RolloutRequest{"r1", "v1", "v2", 1796400000000};
  const nlohmann::json entries = nlohmann::json::array({nlohmann::json::parse(ToJson(entry))});
  const std::string text = ctl::CatalogueToml(entries);
  const Parsed<std::vector<CatalogueEntry>> parsed = ParseCatalogueToml(text);
  cr_assert(parsed.Ok(), "%s\n%s", parsed.Ok() ? "" : Describe(parsed.Error()).c_str(),
            text.c_str());
  cr_assert_eq(ToJson(parsed.Value().front()), ToJson(entry));
}
