#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "transport/http_client.h"
#include "transport/worker_pool.h"

namespace fulmarpoint::ctl {

/// What became of a request to the daemons.
enum class Reached {
  /// `status` and `body` are an answer.
  kAnswered,
  /// No daemon received the request.
  kUnreachable,
  /// A daemon received the request and its answer was lost.
  kUnknown,
};

struct AdminAnswer {
  Reached reached = Reached::kUnreachable;
  int status = 0;
  std::string body;
  /// Daemon that was asked last.
  std::string address;
};

/// Sends operators' requests and waits for the answer. A daemon that can't be reached is replaced
/// by the next one; a change that a daemon may have received is not sent again. Not thread-safe.
class AdminClient {
 public:
  AdminClient(std::vector<std::string> daemons, std::string key, Duration timeout);

  AdminAnswer Send(std::string_view method, std::string_view target, const std::string& body = "",
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
