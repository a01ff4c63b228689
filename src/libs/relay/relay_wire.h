#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/relay_messages.h"
#include "protocol/store_messages.h"
#include "relay/duty_api.h"
#include "transport/http_message.h"
#include "transport/task.h"

namespace fulmarpoint {

/// Addresses for a caller and their time to live.
struct LookupAnswer {
  std::vector<std::string> addresses;
  Duration ttl{};
};

/// A call of the daemon's own to an engine.
struct EngineCall {
  std::string method;
  std::string target;
  std::string body;
};

/// Encodes and decodes the protocols of callers, endpoints and lookups. An adapter provides the
/// functions; they have no side effects and do not throw.
struct RelayWire {
  /// Returns nothing if a field is missing or malformed.
  std::function<std::optional<CallerFields>(const HttpHeaders&)> decode_caller;
  /// Returns whether a header from a caller must not be forwarded to endpoints.
  std::function<bool(std::string_view name)> is_reserved;
  std::function<HttpHeaders(const EndpointFields&)> encode_endpoint;
  std::function<EndpointResponseFields(int status, const HttpHeaders&)> decode_answer;
  /// Returns the call that requests the engine running a request to copy the request's KV cache to
  /// the engine at `to` ("ip:port").
  std::function<EngineCall(const std::string& request_id, const std::string& to)>
      encode_backup_request;
  /// Returns the name of the backup, or nothing if none was made.
  std::function<std::optional<std::string>(const HttpReply&)> decode_backup_reply;
  /// Returns the call that requests the engine that made a backup to release it.
  std::function<EngineCall(const std::string& name)> encode_backup_release;
  /// Return whether the request is a lookup or a readiness check.
  std::function<bool(const HttpRequest&)> is_lookup;
  std::function<bool(const HttpRequest&)> is_readiness_check;
  std::function<HttpReply(const LookupAnswer&)> encode_lookup;
  DutyApi duties;
};

/// Client of the platform's store. A call completes in bounded time and does not throw.
struct Store {
  std::function<Task<StoreReply>(StoreRead)> read;
  std::function<Task<StoreReply>(StoreWatch)> watch;
  std::function<Task<StoreReply>(StoreTransaction)> commit;
};

}  // namespace fulmarpoint
