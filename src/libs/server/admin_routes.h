#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "server/services.h"
#include "transport/http_message.h"
#include "transport/task.h"

namespace fulmarpoint {

/// Routes the operators' requests below /v1/admin to the handlers that drivers have registered.
/// Thread-safe.
class AdminRoutes {
 public:
  using Handler = std::function<Task<HttpReply>(HttpRequest request)>;

  explicit AdminRoutes(Services& services) : m_services(services) {}

  /// Registers a handler for "METHOD /v1/admin/NAME". It also receives requests for the paths below
  /// that.
  void Register(const std::string& route, Handler handler);
  /// Answers a request; checks the operator's key first.
  Task<HttpReply> Answer(HttpRequest request);

 private:
  bool IsOperator(const HttpHeaders& headers) const;
  std::optional<Handler> Find(std::string_view method, std::string_view path) const;

  Services& m_services;
  mutable std::mutex m_mutex;
  std::map<std::string, Handler, std::less<>> m_handlers;
};

/// Registers /v1/admin/endpoints, /v1/admin/burn and /v1/admin/requests/ID.
void RegisterLocalRoutes(AdminRoutes& routes, Services& services);

}  // namespace fulmarpoint
