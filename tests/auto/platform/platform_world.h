#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "endpoint_standin.h"
#include "platform/settings_file.h"
#include "relay/relay_daemon.h"
#include "store_standin.h"
#include "transport/event_loop.h"
#include "transport/http_client.h"

namespace fulmarpoint {

/// Returns a list of one header. GCC 12 does not compile braced lists in `co_await` expressions.
HttpHeaders OneHeader(const std::string& name, const std::string& value);

/// Test fixture: one daemon between a client, endpoints and a store that speak the platform's
/// protocol, all on one thread and on loopback ports chosen by the kernel.
class PlatformWorld {
 public:
  PlatformWorld();
  ~PlatformWorld();

  /// Adds an endpoint of service "orders" (calls) or "drafts" (streams) and its row in the store.
  EndpointStandin& AddEndpoint(const std::string& service, const std::string& domain);
  void List(const EndpointStandin& endpoint, const std::string& service, const std::string& domain,
            const std::string& state = "ready");
  /// Returns an operator's configuration; see `platform_world.cpp` for its routes.
  static std::string Configuration(int version, const std::string& keys = R"(["key-1","key-2"])");
  /// Writes the configuration, starts the daemon and waits until it is ready.
  Task<void> Start();
  void StartDaemon();
  /// Starts another daemon with the given name and the settings of the first.
  std::unique_ptr<RelayDaemon> StartPeer(const std::string& name);
  /// Completes when `condition` holds; fails the test after `kHangLimit`.
  static Task<void> WaitFor(std::function<bool()> condition);

  /// Sends a request with a key, a request id and a deadline; `headers` override or extend them.
  Task<HttpResult> Send(std::string method, std::string target, HttpHeaders headers = {},
                        std::string body = {});
  /// Sends raw bytes on a new connection and returns everything received until the daemon closes
  /// it.
  Task<std::string> SendRaw(std::string bytes);
  Task<HttpResult> Lookup();

  /// Runs the loop until the task completes.
  void Run(const std::function<Task<void>()>& task);

  EventLoop loop;
  RelaySettings settings;
  std::unique_ptr<StoreStandin> store;
  std::vector<std::unique_ptr<EndpointStandin>> endpoints;
  std::unique_ptr<RelayDaemon> daemon;
  std::unique_ptr<RelayDaemon> peer;
  std::unique_ptr<HttpClient> client;
  int requests = 0;
};

/// Runs `test` in a world of its own until it completes.
void RunTest(Task<void> (*test)(PlatformWorld&));

}  // namespace fulmarpoint
