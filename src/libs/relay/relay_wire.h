#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/relay_messages.h"
#include "protocol/store_messages.h"
#include "transport/http_message.h"
#include "transport/task.h"

namespace fulmarpoint {

/// Addresses for a caller and how long it may keep them.
struct LookupAnswer {
  std::vector<std::string> addresses;
  Duration keep{};
};

/// A call to an engine that is no caller's request.
struct EngineCall {
  std::string method;
  std::string target;
  std::string body;
};

/// How callers, endpoints and lookups write what the relay needs to know. An adapter fills the
/// functions; they have no side effects and do not throw.
struct RelayWire {
  /// Returns nothing if a field is missing or malformed.
  std::function<std::optional<CallerFields>(const HttpHeaders&)> decode_caller;
  /// Returns whether callers must not set a header at endpoints.
  std::function<bool(std::string_view name)> is_reserved;
  std::function<HttpHeaders(const EndpointFields&)> encode_endpoint;
  std::function<EndpointResponseFields(int status, const HttpHeaders&)> decode_answer;
  /// Asks the engine that runs a request to copy its memory to the engine at `to` ("ip:port").
  std::function<EngineCall(const std::string& request_id, const std::string& to)> copy_run;
  /// Returns the name of the copy, or nothing if there is none.
  std::function<std::optional<std::string>(const HttpReply&)> decode_copy;
  /// Asks the engine that made a copy to free it.
  std::function<EngineCall(const std::string& name)> free_copy;
  /// Returns whether the request is a lookup or a readiness check.
  std::function<bool(const HttpRequest&)> is_lookup;
  std::function<bool(const HttpRequest&)> is_readiness_check;
  std::function<HttpReply(const LookupAnswer&)> encode_lookup;
};

/// The platform's store. A call completes in bounded time and does not throw.
struct Store {
  std::function<Task<StoreReply>(StoreRead)> read;
  std::function<Task<StoreReply>(StoreWatch)> watch;
  std::function<Task<StoreReply>(StoreTransaction)> commit;
};

}  // namespace fulmarpoint
