#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "protocol/identifiers.h"
#include "utils/time.h"

namespace fulmarpoint {

/// A part of a prompt that several requests can share.
struct PromptPart {
  std::uint64_t id = 0;
  std::int64_t tokens = 0;
};

/// Header fields of a caller's request.
struct CallerFields {
  /// Identifies this request of the caller; a retry by the caller has another id. Never empty.
  std::string request_id;
  std::string api_key;
  /// How long the caller waits for the response.
  std::optional<Duration> deadline;
  /// The last event that the caller received, if it resumes a stream.
  std::optional<std::uint64_t> last_event;
  std::string model;
  std::int64_t prompt_tokens = 0;
  std::int64_t max_output_tokens = 0;
  /// In the order of the prompt.
  std::vector<PromptPart> prompt;

  /// Returns the number of tokens that an attempt takes in the KV cache of an engine at most.
  std::int64_t KvCacheTokens() const { return prompt_tokens + max_output_tokens; }
};

/// Location of a KV cache backup.
struct KvCacheBackupSource {
  /// "ip:port" of the engine to fetch the backup from.
  std::string address;
  std::string name;
};

/// Header fields that the relay adds to a request to an endpoint.
struct EndpointFields {
  std::string request_id;
  Duration deadline{};
  /// Only this endpoint may run the request.
  EndpointId endpoint;
  OrganisationId organisation;
  /// The endpoint resumes the stream after this event.
  std::optional<std::uint64_t> last_event;
  std::optional<int> priority;
  /// "ip:port" of the engine that receives the KV cache backup of the attempt; empty if none.
  std::string backup_address;
  /// The KV cache backup to resume from.
  std::optional<KvCacheBackupSource> kv_cache_backup;
};

/// Load that an endpoint reports in a response.
struct EndpointLoad {
  int running = 0;
  int waiting = 0;
  int slots = 0;
  /// How long work takes there now, relative to the usual time; absent if not reported.
  std::optional<double> pace;
};

/// Header fields of an endpoint's response.
struct EndpointResponseFields {
  std::string request_id;
  /// The endpoint states that it has not executed the request.
  bool not_run = false;
  /// The address belongs to another endpoint than the expected one.
  bool misdirected = false;
  /// The response has the header that endpoints add to all their responses.
  bool is_from_endpoint = false;
  /// The endpoint is shutting down and accepts no new requests.
  bool is_leaving = false;
  /// The endpoint wants no request from this daemon for this long.
  std::optional<Duration> retry_after;
  std::optional<EndpointLoad> load;
  /// The endpoint is brittle: it crashes if it has to reject more requests within a second for want
  /// of room.
  std::optional<int> rejection_limit;
};

}  // namespace fulmarpoint
