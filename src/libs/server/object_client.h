#pragma once

#include <optional>
#include <string>
#include <system_error>

#include "transport/http_client.h"
#include "transport/task.h"

namespace fulmarpoint {

/// Result of reading an object. Without an error, `data` is empty if the object does not exist.
struct ObjectRead {
  std::error_code error;
  std::optional<std::string> data;
};

/// Client of the platform's object store. Thread-safe; each call runs on the strand of its
/// coroutine.
class ObjectClient {
 public:
  ObjectClient(HttpClient& http, std::string address, Duration timeout);

  Task<ObjectRead> Read(std::string key);
  /// Returns no error only if the object was stored.
  Task<std::error_code> Write(std::string key, std::string data);

 private:
  HttpClient& m_http;
  const std::string m_address;
  const Duration m_timeout;
};

}  // namespace fulmarpoint
