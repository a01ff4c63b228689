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

/// Whether a service is optimised for resource use or for latency. Determines how many resources
/// may be used to continue an interrupted stream quickly.
enum class ServiceClass { kResource, kLatency };

inline constexpr std::array<EnumName<ServiceClass>, 2> kServiceClassNames = {{
    {ServiceClass::kResource, "resource"},
    {ServiceClass::kLatency, "latency"},
}};

/// How a daemon treats new requests for a service while it cannot confirm that its catalogue is
/// current.
enum class StalePolicy { kRefuse, kServe };

inline constexpr std::array<EnumName<StalePolicy>, 2> kStalePolicyNames = {{
    {StalePolicy::kRefuse, "refuse"},
    {StalePolicy::kServe, "serve"},
}};

/// How the endpoints of a service treat the fencing token in a command of the controller.
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
  /// Relative share of the capacity under contention; 1 to 1000.
  int weight = 1;
  int max_concurrent = 64;
};

/// Operator's request to roll a service out to another version. A `RolloutOrder` is converted to
/// it.
struct RolloutRequest {
  std::string id;
  VersionName from;
  VersionName to;
  UnixMillis deadline = 0;
};

struct ServiceLimits {
  int max_concurrent = 1000;
  std::size_t max_body_bytes = 1 << 20;
  /// A request whose predicted queueing time exceeds this is rejected immediately.
  Duration patience = std::chrono::seconds(3);
  /// Maximum execution time of one request.
  Duration deadline = std::chrono::minutes(10);
};

/// Service-level objectives for which burn rates are reported.
struct ServiceObjectives {
  /// Time to first token.
  Duration first_token = std::chrono::milliseconds(460);
  Duration token_interval = std::chrono::milliseconds(27);
  /// Time from the last token before an interruption of a stream to the first one after it.
  Duration resume = std::chrono::seconds(3);
  /// Latency of a call to an application service.
  Duration call = std::chrono::seconds(1);
  /// Share of requests that must meet the objectives, in parts per million.
  int target_ppm = 990000;
};

/// Catalogue entry of one service.
struct CatalogueEntry {
  ServiceName service;
  std::string owner;
  ServiceKind kind = ServiceKind::kModel;
  ServiceClass service_class = ServiceClass::kResource;
  StalePolicy when_stale = StalePolicy::kRefuse;
  FencingSupport fencing = FencingSupport::kIgnored;
  /// Model name at the engines; empty for application services.
  std::string model;
  /// Version that receives all traffic, apart from the share that a rollout sends to another one.
  VersionName version;
  std::vector<VersionName> versions;
  /// "METHOD /path/prefix" of routes whose requests may be retried.
  std::vector<std::string> idempotent_routes;
  std::vector<OrganisationAccess> organisations;
  ServiceLimits limits;
  ServiceObjectives objectives;
  std::optional<RolloutRequest> rollout;
  /// Catalogue revision that last changed this entry; set when the entry is stored.
  std::uint64_t revision = 0;
};

/// Parses the entries of a catalogue file in TOML: an array of tables `[[service]]`. Unknown
/// keys, wrong types and values out of range are errors. Thread-safe.
Parsed<std::vector<CatalogueEntry>> ParseCatalogueToml(std::string_view text);

/// Parses one entry from its stored JSON form. Thread-safe.
Parsed<CatalogueEntry> ParseCatalogueEntryJson(std::string_view text);

/// Returns the stored JSON form of an entry. Thread-safe.
std::string ToJson(const CatalogueEntry& entry);

}  // namespace fulmarpoint
