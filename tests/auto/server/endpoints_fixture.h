#pragma once

#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <thread>

#include "daemon_client.h"
#include "fake_endpoints.h"
#include "server/daemon.h"

namespace fulmarpoint {

inline constexpr char kOrders[] = "/v1/services/orders/orders";

/// A running daemon whose platform and engines are fakes.
struct EndpointsFixture {
  EndpointsFixture() : daemon(endpoints.MakeSettings()) {
    cr_assert_not(daemon.Start());
    client = std::make_unique<DaemonClient>(daemon.HttpAddress());
    client->WaitUntilReady();
    // A daemon may be ready before its catalogue is confirmed current.
    const auto serves = [this]() {
      return client->Send("GET", "/v1/services/orders/items", "key-application").status == 200;
    };
    while (!serves()) std::this_thread::yield();
  }

  HttpReply Order(const std::string& key, const std::string& body) {
    return client->Send("POST", kOrders, "key-application", body, {{"Idempotency-Key", key}});
  }

  FakeEndpoints endpoints;
  Daemon daemon;
  std::unique_ptr<DaemonClient> client;
};

}  // namespace fulmarpoint
