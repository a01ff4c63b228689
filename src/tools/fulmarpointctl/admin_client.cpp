#include "admin_client.h"

#include <future>
#include <utility>

namespace fulmarpoint::ctl {

AdminClient::AdminClient(std::vector<std::string> daemons, std::string key, Duration timeout)
    : m_daemons(std::move(daemons)),
      m_key(std::move(key)),
      m_timeout(timeout),
      m_pool(1),
      m_client(m_pool.GetExecutor(), HttpClientOptions()) {}

HttpResult AdminClient::SendTo(const std::string& address, std::string_view method,
                               std::string_view target, const std::string& body,
                               std::string_view content_type) {
  HttpClientRequest request;
  request.address = address;
  request.method = std::string(method);
  request.target = std::string(target);
  request.headers.push_back({"Authorization", "Bearer " + m_key});
  if (!body.empty()) request.headers.push_back({"Content-Type", std::string(content_type)});
  request.body = body;
  request.timeout = m_timeout;
  request.new_connection = true;
  std::promise<HttpResult> promise;
  Spawn(m_pool.GetExecutor(), [&]() -> Task<void> {
    HttpResult result = co_await m_client.Send(std::move(request));
    promise.set_value(std::move(result));
  });
  return promise.get_future().get();
}

AdminResponse AdminClient::Send(std::string_view method, std::string_view target,
                                const std::string& body, std::string_view content_type) {
  AdminResponse response;
  for (const std::string& address : m_daemons) {
    const HttpResult result = SendTo(address, method, target, body, content_type);
    response.address = address;
    if (!result.error) {
      response.delivery = Delivery::kResponded;
      response.status = result.reply.status;
      response.body = result.reply.body;
      return response;
    }
    if (method != "GET" && !result.nothing_written) {
      response.delivery = Delivery::kResponseLost;
      return response;
    }
  }
  return response;
}

}  // namespace fulmarpoint::ctl
