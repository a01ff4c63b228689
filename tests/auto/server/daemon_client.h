#pragma once

#include <chrono>
#include <functional>
#include <future>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "transport/http_client.h"
#include "transport/worker_pool.h"

namespace fulmarpoint {

/// What a caller received of one completion.
struct Completion {
  HttpReply reply;
  std::vector<HttpEvent> events;
};

/// Blocking client of a daemon.
class DaemonClient {
 public:
  explicit DaemonClient(std::string address) : m_address(std::move(address)) {}
  ~DaemonClient() { m_pool.Stop(); }
  DaemonClient(const DaemonClient&) = delete;
  DaemonClient& operator=(const DaemonClient&) = delete;

  HttpReply Send(const std::string& method, const std::string& target, const std::string& key,
                 const std::string& body = "", HttpHeaders headers = {}) {
    HttpClientRequest request = MakeRequest(method, target, key, body, std::move(headers));
    return Wait<HttpResult>([&]() { return m_http.Send(request); }).reply;
  }

  /// Reads a completion to its end. `on_event` runs after each event.
  Completion Complete(const std::string& key, const std::string& body, HttpHeaders headers = {},
                      const std::function<void()>& on_event = nullptr) {
    HttpClientRequest request =
        MakeRequest("POST", "/v1/completions", key, body, std::move(headers));
    return Wait<Completion>([&]() { return ReadAll(request, on_event); });
  }

  /// Waits until the daemon is ready and all its endpoints have reported. The test times out if
  /// that never happens.
  void WaitUntilReady() {
    while (Send("GET", "/readyz", "").status != 200 || !EndpointsReported()) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
  }

 private:
  bool EndpointsReported() {
    const HttpReply reply = Send("GET", "/v1/admin/endpoints", "operator");
    const nlohmann::json json = nlohmann::json::parse(reply.body, nullptr, false);
    if (!json.is_object() || !json.contains("endpoints") || json["endpoints"].empty()) return false;
    for (const nlohmann::json& endpoint : json["endpoints"]) {
      if (!endpoint.value("reported", false)) return false;
    }
    return true;
  }

  HttpClientRequest MakeRequest(const std::string& method, const std::string& target,
                                const std::string& key, const std::string& body,
                                HttpHeaders headers) const {
    HttpClientRequest request;
    request.address = m_address;
    request.method = method;
    request.target = target;
    request.headers = std::move(headers);
    if (!key.empty()) request.headers.push_back({"Authorization", "Bearer " + key});
    request.body = body;
    request.timeout = std::chrono::seconds(60);
    return request;
  }

  Task<Completion> ReadAll(HttpClientRequest request, std::function<void()> on_event) {
    HttpStreamResult opened = co_await m_http.OpenStream(std::move(request));
    Completion completion;
    completion.reply = std::move(opened.reply);
    while (opened.stream) {
      HttpEvent event = co_await opened.stream->Next();
      if (event.end || event.error) break;
      completion.events.push_back(std::move(event));
      if (on_event) on_event();
    }
    co_return completion;
  }

  template <typename T>
  T Wait(std::function<Task<T>()> start) {
    std::promise<T> promise;
    std::future<T> future = promise.get_future();
    Spawn(MakeStrand(m_pool.GetExecutor()), [&]() { return Fulfil<T>(start, promise); });
    return future.get();
  }

  template <typename T>
  static Task<void> Fulfil(std::function<Task<T>()>& start, std::promise<T>& promise) {
    T value = co_await start();
    promise.set_value(std::move(value));
  }

  WorkerPool m_pool{1};
  HttpClient m_http{m_pool.GetExecutor(), {}};
  const std::string m_address;
};

}  // namespace fulmarpoint
