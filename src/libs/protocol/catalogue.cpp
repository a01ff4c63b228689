#include "protocol/catalogue.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "protocol/field_reader.h"
#include "protocol/result_code.h"
#include "protocol/toml_json.h"

namespace fulmarpoint {

namespace {

using Json = nlohmann::json;
using Lines = std::map<std::string, int>;

constexpr std::size_t kKeyHashDigits = 64;
constexpr std::int64_t kMaxBodyBytes = 64 << 20;
constexpr std::int64_t kMaxPatienceMs = 600'000;
constexpr std::int64_t kMaxDeadlineMs = 86'400'000;
constexpr std::int64_t kMaxObjectiveMs = 3'600'000;
constexpr int kMaxConcurrent = 1'000'000;

bool IsHash(const std::string& text) {
  return text.size() == kKeyHashDigits &&
         text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

bool IsIdentifier(const std::string& text) {
  constexpr std::string_view kAllowed =
      "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
  return !text.empty() && text.find_first_not_of(kAllowed) == std::string::npos;
}

void ReadIdentifier(FieldReader& reader, const std::string& key, bool required,
                    std::string& value) {
  reader.String(key, required, value);
  if (!value.empty() && !IsIdentifier(value)) {
    reader.Fail(key, "may contain only letters, digits and the characters - _ .");
  }
}

OrganisationAccess ReadOrganisation(FieldReader& reader) {
  OrganisationAccess access;
  ReadIdentifier(reader, "organisation", true, access.organisation);
  reader.Strings("key_hashes", access.key_hashes);
  reader.Int("weight", 1, 1000, access.weight);
  reader.Int("max_concurrent", 1, kMaxConcurrent, access.max_concurrent);
  if (!std::all_of(access.key_hashes.begin(), access.key_hashes.end(), IsHash)) {
    reader.Fail("key_hashes", "must hold SHA-256 hashes of 64 lower-case hexadecimal digits");
  }
  return access;
}

ServiceLimits ReadLimits(FieldReader& reader) {
  ServiceLimits limits;
  reader.Int("max_concurrent", 1, kMaxConcurrent, limits.max_concurrent);
  reader.Size("max_body_bytes", 1, kMaxBodyBytes, limits.max_body_bytes);
  reader.Milliseconds("patience_ms", 0, kMaxPatienceMs, limits.patience);
  reader.Milliseconds("deadline_ms", 1, kMaxDeadlineMs, limits.deadline);
  return limits;
}

ServiceObjectives ReadObjectives(FieldReader& reader) {
  ServiceObjectives objectives;
  reader.Milliseconds("first_token_ms", 1, kMaxObjectiveMs, objectives.first_token);
  reader.Milliseconds("token_interval_ms", 1, kMaxObjectiveMs, objectives.token_interval);
  reader.Milliseconds("resume_ms", 1, kMaxObjectiveMs, objectives.resume);
  reader.Milliseconds("call_ms", 1, kMaxObjectiveMs, objectives.call);
  reader.Int("target_ppm", 1, 999'999, objectives.target_ppm);
  return objectives;
}

RolloutRequest ReadRollout(FieldReader& reader) {
  RolloutRequest rollout;
  ReadIdentifier(reader, "id", true, rollout.id);
  ReadIdentifier(reader, "from", true, rollout.from);
  ReadIdentifier(reader, "to", true, rollout.to);
  reader.Integer("deadline_unix_ms", true, 1, INT64_MAX, rollout.deadline);
  return rollout;
}

/// Reads the child table `key` with `read`, or keeps `value` if it is absent.
template <typename T, typename Read>
void ReadChild(FieldReader& parent, const std::string& key, Read read, T& value) {
  const Json* child = parent.Object(key);
  if (child == nullptr) return;
  FieldReader reader(*child, parent.PathOf(key), parent.Lines());
  value = read(reader);
  parent.Adopt(reader.Finish());
}

void ReadOrganisations(FieldReader& parent, std::vector<OrganisationAccess>& organisations) {
  const Json* list = parent.Array("organisations");
  if (list == nullptr) return;
  std::set<OrganisationId> names;
  for (std::size_t i = 0; i < list->size(); ++i) {
    FieldReader reader((*list)[i], parent.PathOf("organisations[" + std::to_string(i) + "]"),
                       parent.Lines());
    organisations.push_back(ReadOrganisation(reader));
    if (!names.insert(organisations.back().organisation).second) {
      reader.Fail("organisation", "must not repeat an organisation of the same entry");
    }
    parent.Adopt(reader.Finish());
  }
}

void CheckRoutes(FieldReader& reader, const std::vector<std::string>& routes) {
  for (const std::string& route : routes) {
    const std::size_t space = route.find(' ');
    const bool valid = space != std::string::npos && space > 0 && space + 1 < route.size() &&
                       route[space + 1] == '/';
    if (!valid) reader.Fail("idempotent_routes", "must hold routes such as \"GET /stock\"");
  }
}

void CheckVersions(FieldReader& reader, const CatalogueEntry& entry) {
  const auto has = [&entry](const VersionName& version) {
    return std::find(entry.versions.begin(), entry.versions.end(), version) != entry.versions.end();
  };
  if (!has(entry.version)) reader.Fail("version", "must be one of versions");
  if (!entry.rollout) return;
  const RolloutRequest& rollout = *entry.rollout;
  if (rollout.from != entry.version) reader.Fail("rollout.from", "must equal version");
  if (!has(rollout.to)) reader.Fail("rollout.to", "must be one of versions");
  if (rollout.to == rollout.from) reader.Fail("rollout.to", "must differ from rollout.from");
}

void ReadRolloutField(FieldReader& reader, CatalogueEntry& entry) {
  if (!reader.Has("rollout")) {
    reader.Object("rollout");
    return;
  }
  RolloutRequest rollout;
  ReadChild(reader, "rollout", ReadRollout, rollout);
  entry.rollout = rollout;
}

CatalogueEntry ReadEntry(FieldReader& reader) {
  CatalogueEntry entry;
  std::int64_t revision = 0;
  ReadIdentifier(reader, "service", true, entry.service);
  reader.String("owner", true, entry.owner);
  reader.Name("kind", kServiceKindNames, entry.kind);
  reader.Name("class", kServiceClassNames, entry.service_class);
  reader.Name("when_stale", kStalePolicyNames, entry.when_stale);
  reader.Name("fencing", kFencingSupportNames, entry.fencing);
  ReadIdentifier(reader, "model", entry.kind == ServiceKind::kModel, entry.model);
  ReadIdentifier(reader, "version", true, entry.version);
  reader.Strings("versions", entry.versions);
  reader.Strings("idempotent_routes", entry.idempotent_routes);
  ReadOrganisations(reader, entry.organisations);
  ReadChild(reader, "limits", ReadLimits, entry.limits);
  ReadChild(reader, "objectives", ReadObjectives, entry.objectives);
  ReadRolloutField(reader, entry);
  reader.Integer("revision", false, 0, INT64_MAX, revision);
  entry.revision = static_cast<std::uint64_t>(revision);
  if (entry.versions.empty()) entry.versions.push_back(entry.version);
  CheckRoutes(reader, entry.idempotent_routes);
  CheckVersions(reader, entry);
  return entry;
}

std::int64_t Millis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

Json OrganisationsToJson(const std::vector<OrganisationAccess>& organisations) {
  Json list = Json::array();
  for (const OrganisationAccess& access : organisations) {
    list.push_back({{"organisation", access.organisation},
                    {"key_hashes", access.key_hashes},
                    {"weight", access.weight},
                    {"max_concurrent", access.max_concurrent}});
  }
  return list;
}

ParseError Invalid(std::string key, std::string allowed) {
  return ParseError{make_error_code(ResultCode::kInvalidCatalogue), std::move(key), 0,
                    std::move(allowed)};
}

Parsed<std::vector<CatalogueEntry>> ReadEntries(const Json& root, const Lines& lines) {
  FieldReader root_reader(root, "", &lines);
  const Json* list = root_reader.Array("service");
  if (list == nullptr) return Invalid("service", "at least one [[service]] table is required");
  std::vector<CatalogueEntry> entries;
  std::set<ServiceName> names;
  for (std::size_t i = 0; i < list->size(); ++i) {
    FieldReader reader((*list)[i], "service[" + std::to_string(i) + "]", &lines);
    entries.push_back(ReadEntry(reader));
    if (!names.insert(entries.back().service).second) {
      reader.Fail("service", "must not repeat a service");
    }
    root_reader.Adopt(reader.Finish());
  }
  if (root_reader.Finish()) return *root_reader.Finish();
  return entries;
}

}  // namespace

Parsed<std::vector<CatalogueEntry>> ParseCatalogueToml(std::string_view text) {
  const Parsed<TomlDocument> document = ParseToml(text);
  if (!document) return document.Error();
  return ReadEntries(Json::parse(document.Value().json), document.Value().lines);
}

Parsed<CatalogueEntry> ParseCatalogueEntryJson(std::string_view text) {
  const Json object = Json::parse(text, nullptr, false);
  if (object.is_discarded()) return Invalid("", "must be valid JSON");
  FieldReader reader(object, "", nullptr);
  CatalogueEntry entry = ReadEntry(reader);
  if (reader.Finish()) return *reader.Finish();
  return entry;
}

std::string ToJson(const CatalogueEntry& entry) {
  Json object = {{"service", entry.service},
                 {"owner", entry.owner},
                 {"kind", NameOf(kServiceKindNames, entry.kind)},
                 {"class", NameOf(kServiceClassNames, entry.service_class)},
                 {"when_stale", NameOf(kStalePolicyNames, entry.when_stale)},
                 {"fencing", NameOf(kFencingSupportNames, entry.fencing)},
                 {"version", entry.version},
                 {"versions", entry.versions},
                 {"idempotent_routes", entry.idempotent_routes},
                 {"organisations", OrganisationsToJson(entry.organisations)},
                 {"revision", entry.revision}};
  if (!entry.model.empty()) object["model"] = entry.model;
  object["limits"] = {{"max_concurrent", entry.limits.max_concurrent},
                      {"max_body_bytes", entry.limits.max_body_bytes},
                      {"patience_ms", Millis(entry.limits.patience)},
                      {"deadline_ms", Millis(entry.limits.deadline)}};
  object["objectives"] = {{"first_token_ms", Millis(entry.objectives.first_token)},
                          {"token_interval_ms", Millis(entry.objectives.token_interval)},
                          {"resume_ms", Millis(entry.objectives.resume)},
                          {"call_ms", Millis(entry.objectives.call)},
                          {"target_ppm", entry.objectives.target_ppm}};
  if (entry.rollout) {
    object["rollout"] = {{"id", entry.rollout->id},
                         {"from", entry.rollout->from},
                         {"to", entry.rollout->to},
                         {"deadline_unix_ms", entry.rollout->deadline}};
  }
  return object.dump();
}

}  // namespace fulmarpoint
