#include "server/object_client.h"

#include <utility>

#include "http_api/url.h"

namespace fulmarpoint {

ObjectClient::ObjectClient(HttpClient& http, std::string address, Duration timeout)
    : m_http(http), m_address(std::move(address)), m_timeout(timeout) {}

Task<ObjectRead> ObjectClient::Read(std::string key) {
  HttpClientRequest request;
  request.address = m_address;
  request.target = "/objects/" + PercentEncode(key);
  request.timeout = m_timeout;
  HttpResult result = co_await m_http.Send(std::move(request));
  ObjectRead read;
  read.error = result.error;
  if (read.error || result.reply.status == 404) co_return read;
  if (result.reply.status == 200) {
    read.data = std::move(result.reply.body);
  } else {
    read.error = std::make_error_code(std::errc::io_error);
  }
  co_return read;
}

Task<std::error_code> ObjectClient::Write(std::string key, std::string data) {
  HttpClientRequest request;
  request.address = m_address;
  request.method = "PUT";
  request.target = "/objects/" + PercentEncode(key);
  request.body = std::move(data);
  request.timeout = m_timeout;
  const HttpResult result = co_await m_http.Send(std::move(request));
  if (result.error) co_return result.error;
  const bool stored = result.reply.status >= 200 && result.reply.status < 300;
  co_return stored ? std::error_code() : std::make_error_code(std::errc::io_error);
}

}  // namespace fulmarpoint
