#include <criterion/criterion.h>

#include <thread>

#include "daemon_client.h"
#include "fake_endpoints.h"
#include "server/daemon.h"

using namespace fulmarpoint;
using Json = nlohmann::json;

namespace {

const char kOrders[] = "/v1/services/orders/orders";

}  // namespace

// Guards against a daemon that runs a call with a key of another daemon, or does not find the
// owner's answer.
Test(forwarded_calls, keys_of_another_daemon_are_forwarded_to_it) {
  FakeEndpoints endpoints;
  Daemon daemon(endpoints.MakeSettings("d1"));
  cr_assert_not(daemon.Start());
  DaemonClient owner(daemon.HttpAddress());
  owner.WaitUntilReady();
  Daemon other(endpoints.MakeSettings("d2"));
  cr_assert_not(other.Start());
  endpoints.AddDaemon("d1", daemon.HttpAddress());
  endpoints.AddDaemon("d2", other.HttpAddress());
  DaemonClient client(other.HttpAddress());
  client.WaitUntilReady();
  const HttpReply lookup = owner.Send("GET", "/v1/lookup?service=orders", "key-application");
  const std::string key = Json::parse(lookup.body)["keys"]["prefix"].get<std::string>() + "-1";
  const HttpHeaders headers = {{"Idempotency-Key", key}};
  // Until the daemons have discovered each other, the owner counts as unreachable.
  HttpReply reply;
  for (int sends = 0; sends < 200 && reply.body != "answer to one"; ++sends) {
    reply = client.Send("POST", kOrders, "key-application", "one", headers);
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  cr_assert_eq(reply.body, "answer to one", "%s", reply.body.c_str());
  cr_assert_eq(owner.Send("POST", kOrders, "key-application", "one", headers).body, reply.body);
  cr_assert_eq(endpoints.Effects(), 1);
}
