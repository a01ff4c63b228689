#include "protocol/catalogue_item.h"

#include <cstdio>
#include <nlohmann/json.hpp>

#include "protocol/result_code.h"

namespace fulmarpoint {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kEntryPrefix = "entry/";
constexpr std::string_view kOrganisationsPrefix = "orgs/";

ParseError Invalid(std::string key, std::string allowed) {
  return ParseError{make_error_code(ResultCode::kInvalidCatalogue), std::move(key), 0,
                    std::move(allowed)};
}

Json IdsToJson(const std::vector<InstanceId>& ids) {
  Json list = Json::array();
  for (const InstanceId& id : ids) list.push_back({id.name, id.incarnation});
  return list;
}

std::vector<InstanceId> IdsFromJson(const Json& list) {
  std::vector<InstanceId> ids;
  for (const Json& id : list) {
    ids.push_back({id.at(0).get<std::string>(), id.at(1).get<std::uint64_t>()});
  }
  return ids;
}

/// Calls `read` with the parsed text and converts exceptions of the JSON library into an error.
template <typename Value, typename Read>
Parsed<Value> ReadJson(std::string_view text, const char* what, Read read) {
  try {
    return read(Json::parse(text));
  } catch (const Json::exception&) {
    return Invalid(what, "must be a row that a daemon wrote");
  }
}

std::string OrganisationsKey(const ServiceName& service, const OrganisationId& organisation) {
  char shard[3];
  std::snprintf(shard, sizeof shard, "%02x", static_cast<unsigned>(StableHash(organisation) & 255));
  return std::string(kOrganisationsPrefix) + service + "/" + shard;
}

/// Returns an entry for a shard of organisations, with placeholders in the required fields.
CatalogueEntry OrganisationsOnly(const ServiceName& service) {
  CatalogueEntry entry;
  entry.service = service;
  entry.owner = "none";
  entry.kind = ServiceKind::kApplication;
  entry.version = "none";
  entry.versions = {"none"};
  return entry;
}

}  // namespace

std::string EncodeRow(const CatalogueItem& item) {
  return Json{{"revision", item.revision}, {"value", item.value}}.dump();
}

Parsed<CatalogueItem> DecodeRow(const std::string& key, std::uint64_t row_version,
                                std::string_view value) {
  return ReadJson<CatalogueItem>(value, "row", [&](const Json& row) {
    return CatalogueItem{key, row.at("revision").get<std::uint64_t>(), row_version,
                         row.at("value").get<std::string>()};
  });
}

std::map<std::string, std::string> ItemsOf(const CatalogueEntry& entry) {
  std::map<std::string, CatalogueEntry> shards;
  for (const OrganisationAccess& access : entry.organisations) {
    const std::string key = OrganisationsKey(entry.service, access.organisation);
    const auto shard = shards.try_emplace(key, OrganisationsOnly(entry.service)).first;
    shard->second.organisations.push_back(access);
  }
  CatalogueEntry base = entry;
  base.organisations.clear();
  base.revision = 0;
  std::map<std::string, std::string> items;
  items[std::string(kEntryPrefix) + entry.service] = ToJson(base);
  for (const auto& [key, shard] : shards) items[key] = ToJson(shard);
  return items;
}

ServiceName ServiceOf(std::string_view key) {
  if (IsEntryKey(key)) return ServiceName(key.substr(kEntryPrefix.size()));
  if (!key.starts_with(kOrganisationsPrefix)) return "";
  const std::string_view rest = key.substr(kOrganisationsPrefix.size());
  return ServiceName(rest.substr(0, rest.rfind('/')));
}

bool IsEntryKey(std::string_view key) { return key.starts_with(kEntryPrefix); }

std::string ToJson(const VoterSet& voters) {
  return Json{{"current", IdsToJson(voters.current)}, {"previous", IdsToJson(voters.previous)}}
      .dump();
}

Parsed<VoterSet> ParseVoterSet(std::string_view json) {
  return ReadJson<VoterSet>(json, "voters", [](const Json& object) {
    return VoterSet{IdsFromJson(object.at("current")), IdsFromJson(object.at("previous"))};
  });
}

std::string HistoryKey(std::uint64_t revision) {
  char key[21];
  std::snprintf(key, sizeof key, "%020llu", static_cast<unsigned long long>(revision));
  return key;
}

std::string ToJson(const RevisionRecord& record) {
  return Json{{"revision", record.revision},
              {"write", record.write},
              {"author", record.author},
              {"at_unix_ms", record.at},
              {"items", record.keys}}
      .dump();
}

Parsed<RevisionRecord> ParseRevisionRecord(std::string_view json) {
  return ReadJson<RevisionRecord>(json, "history", [](const Json& object) {
    return RevisionRecord{
        object.at("revision").get<std::uint64_t>(), object.at("write").get<std::uint64_t>(),
        object.at("author").get<std::string>(), object.at("at_unix_ms").get<UnixMillis>(),
        object.at("items").get<std::vector<std::string>>()};
  });
}

}  // namespace fulmarpoint
