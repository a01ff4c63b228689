#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "transport/http_client.h"
#include "transport/worker_pool.h"

namespace fulmarpoint::ctl {

/// Whether a request reached a daemon.
enum class Delivery {
  /// A daemon responded; `status` and `body` are set.
  kResponded,
  /// No daemon received the request.
  kUnreachable,
  /// A daemon may have received the request, but the response was lost.
  kResponseLost,
};

struct AdminResponse {
  Delivery delivery = Delivery::kUnreachable;
  int status = 0;
  std::string body;
  /// Daemon to which the request was sent last.
  std::string address;
};

/// Blocking client of the daemons' admin API. Fails over to the next daemon if one cannot be
/// reached, but does not retry a change that a daemon may have received. Not thread-safe.
class AdminClient {
 public:
  AdminClient(std::vector<std::string> daemons, std::string key, Duration timeout);

  AdminResponse Send(std::string_view method, std::string_view target, const std::string& body = "",
                     std::string_view content_type = "application/json");

 private:
  HttpResult SendTo(const std::string& address, std::string_view method, std::string_view target,
                    const std::string& body, std::string_view content_type);

  std::vector<std::string> m_daemons;
  std::string m_key;
  Duration m_timeout;
  WorkerPool m_pool;
  HttpClient m_client;
};

}  // namespace fulmarpoint::ctl
