#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/identifiers.h"
#include "protocol/parse_error.h"
#include "utils/enum_names.h"
#include "utils/time.h"

namespace fulmarpoint {

enum class ServiceKind { kModel, kApplication };

inline constexpr std::array<EnumName<ServiceKind>, 2> kServiceKindNames = {{
    {ServiceKind::kModel, "model"},
    {ServiceKind::kApplication, "application"},
}};

/// What a service values most. Decides how much is spent on a fast continuation.
enum class ServiceClass { kResource, kLatency };

inline constexpr std::array<EnumName<ServiceClass>, 2> kServiceClassNames = {{
    {ServiceClass::kResource, "resource"},
    {ServiceClass::kLatency, "latency"},
}};

/// What a daemon does with new work of an entry when it cannot prove that its catalogue is current.
enum class StalePolicy { kRefuse, kServe };

inline constexpr std::array<EnumName<StalePolicy>, 2> kStalePolicyNames = {{
    {StalePolicy::kRefuse, "refuse"},
    {StalePolicy::kServe, "serve"},
}};

/// How the endpoints of a service treat the fencing token of an order.
enum class FencingSupport { kObeyed, kIgnored };

inline constexpr std::array<EnumName<FencingSupport>, 2> kFencingSupportNames = {{
    {FencingSupport::kObeyed, "obeyed"},
    {FencingSupport::kIgnored, "ignored"},
}};

/// An organisation's access to one service.
struct OrganisationAccess {
  OrganisationId organisation;
  /// Lower-case hexadecimal SHA-256 of the API key.
  std::vector<std::string> key_hashes;
  /// Relative share under contention; 1 to 1000.
  int weight = 1;
  int max_concurrent = 64;
};

/// Operator's request to move a service to another version.
struct RolloutRequest {
  std::string id;
  VersionName from;
  VersionName to;
  UnixMillis deadline = 0;
};

struct ServiceLimits {
  int max_concurrent = 1000;
  std::size_t max_body_bytes = 1 << 20;
  /// A request whose predicted wait exceeds this is refused at once.
  Duration patience = std::chrono::seconds(3);
  /// Longest run of one request.
  Duration deadline = std::chrono::minutes(10);
};

/// Objectives of the report on service-level burn.
struct ServiceObjectives {
  Duration first_token = std::chrono::milliseconds(460);
  Duration token_interval = std::chrono::milliseconds(27);
  Duration resume = std::chrono::seconds(3);
  Duration call = std::chrono::seconds(1);
  /// Share of requests that must meet the objectives, in parts per million.
  int target_ppm = 990000;
};

/// One catalogue entry: a service with its owner, class, limits, versions and organisations.
struct CatalogueEntry {
  ServiceName service;
  std::string owner;
  ServiceKind kind = ServiceKind::kModel;
  ServiceClass service_class = ServiceClass::kResource;
  StalePolicy when_stale = StalePolicy::kRefuse;
  FencingSupport fencing = FencingSupport::kIgnored;
  /// Model name at the engines; empty for application services.
  std::string model;
  /// Version that receives all traffic that no rollout moves.
  VersionName version;
  std::vector<VersionName> versions;
  /// "METHOD /path/prefix" of routes that may be repeated.
  std::vector<std::string> idempotent_routes;
  std::vector<OrganisationAccess> organisations;
  ServiceLimits limits;
  ServiceObjectives objectives;
  std::optional<RolloutRequest> rollout;
  /// Catalogue revision that last changed this entry; set when the entry is stored.
  std::uint64_t revision = 0;
};

/// Parses the entries of a catalogue file in TOML: an array of tables `[[service]]`. Each entry is
/// checked as a whole: unknown keys, wrong types and values out of range are errors. Thread-safe.
Parsed<std::vector<CatalogueEntry>> ParseCatalogueToml(std::string_view text);

/// Parses one entry from its stored JSON form. Thread-safe.
Parsed<CatalogueEntry> ParseCatalogueEntryJson(std::string_view text);

/// Returns the stored JSON form of an entry. Thread-safe.
std::string ToJson(const CatalogueEntry& entry);

}  // namespace fulmarpoint
