#include <criterion/criterion.h>

#include "protocol/catalogue.h"

using namespace fulmarpoint;

namespace {

const char kValid[] = R"(
[[service]]
service = "assistant"
owner = "ops"
kind = "model"
class = "latency"
model = "draft"
version = "v1"
versions = ["v1", "v2"]

  [service.limits]
  max_concurrent = 50

  [[service.organisations]]
  organisation = "northwind"
  key_hashes = ["0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"]
)";

std::string Replace(std::string text, const std::string& from, const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

}  // namespace

Test(catalogue, valid_entry_round_trips_through_json) {
  const Parsed<std::vector<CatalogueEntry>> entries = ParseCatalogueToml(kValid);
  cr_assert(entries.Ok());
  const std::string json = ToJson(entries.Value().front());
  const Parsed<CatalogueEntry> again = ParseCatalogueEntryJson(json);
  cr_assert(again.Ok(), "%s", again.Ok() ? "" : Describe(again.Error()).c_str());
  cr_assert_eq(ToJson(again.Value()), json);
  cr_assert_eq(again.Value().limits.max_concurrent, 50);
}

// Guards against a misspelled key being ignored, so that its setting has no effect.
Test(catalogue, unknown_key_names_key_and_line) {
  const Parsed<std::vector<CatalogueEntry>> entries =
      ParseCatalogueToml(Replace(kValid, "max_concurrent", "max_concurent"));
  cr_assert_not(entries.Ok());
  cr_assert_eq(entries.Error().key, "service[0].limits.max_concurent");
  cr_assert_eq(entries.Error().line, 12);
}

// Guards against an entry that sends its traffic to a version that does not exist.
Test(catalogue, version_outside_versions_is_rejected) {
  const Parsed<std::vector<CatalogueEntry>> entries =
      ParseCatalogueToml(Replace(kValid, "version = \"v1\"", "version = \"v3\""));
  cr_assert_not(entries.Ok());
  cr_assert_eq(entries.Error().key, "service[0].version");
}

Test(catalogue, wrong_type_and_range_are_rejected) {
  cr_assert_not(
      ParseCatalogueToml(Replace(kValid, "max_concurrent = 50", "max_concurrent = \"x\"")).Ok());
  cr_assert_not(
      ParseCatalogueToml(Replace(kValid, "max_concurrent = 50", "max_concurrent = 0")).Ok());
}
