#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarpoint {

struct HttpHeader {
  std::string name;
  std::string value;
};

using HttpHeaders = std::vector<HttpHeader>;

/// Returns the value of the first header with that name; names are compared case-insensitively.
/// Thread-safe.
std::optional<std::string_view> FindHeader(const HttpHeaders& headers, std::string_view name);

/// Returns whether the content type is `media_type`, in whatever case and with whatever parameters.
/// Thread-safe.
bool HasMediaType(const HttpHeaders& headers, std::string_view media_type);

/// A request as received. `target` is the path with the query, `peer_address` is "ip:port".
struct HttpRequest {
  std::string method;
  std::string target;
  HttpHeaders headers;
  std::string body;
  std::string peer_address;
};

struct HttpReply {
  int status = 200;
  HttpHeaders headers;
  std::string body;
};

}  // namespace fulmarpoint
