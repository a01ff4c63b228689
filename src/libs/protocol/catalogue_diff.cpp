#include "protocol/catalogue_diff.h"

#include <nlohmann/json.hpp>
#include <set>

namespace fulmarpoint {

namespace {

using Json = nlohmann::json;

Json FieldsOf(const CatalogueEntry& entry) {
  Json fields = Json::parse(ToJson(entry));
  fields.erase("revision");
  Json organisations = Json::object();
  for (Json& access : fields["organisations"]) {
    const std::string name = access["organisation"].get<std::string>();
    organisations[name] = std::move(access);
  }
  fields["organisations"] = std::move(organisations);
  return fields.flatten();
}

std::string ValueOf(const Json& fields, const std::string& field) {
  return fields.contains(field) ? fields[field].dump() : "";
}

}  // namespace

std::vector<FieldDifference> CompareEntries(const CatalogueEntry* in_effect,
                                            const CatalogueEntry* proposed, std::size_t limit) {
  if (in_effect == nullptr && proposed == nullptr) return {};
  if (in_effect == nullptr) return {{proposed->service, "", "", "present"}};
  if (proposed == nullptr) return {{in_effect->service, "", "present", ""}};
  const Json left = FieldsOf(*in_effect);
  const Json right = FieldsOf(*proposed);
  std::set<std::string> names;
  for (const auto& [name, value] : left.items()) names.insert(name);
  for (const auto& [name, value] : right.items()) names.insert(name);
  std::vector<FieldDifference> differences;
  for (const std::string& name : names) {
    if (differences.size() >= limit) break;
    const std::string a = ValueOf(left, name);
    const std::string b = ValueOf(right, name);
    if (a != b) differences.push_back({in_effect->service, name, a, b});
  }
  return differences;
}

}  // namespace fulmarpoint
