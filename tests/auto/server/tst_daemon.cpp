#include <criterion/criterion.h>

#include <thread>

#include "daemon_client.h"
#include "expect_problem.h"
#include "fake_platform.h"
#include "server/daemon.h"

using namespace fulmarpoint;
using Json = nlohmann::json;

namespace {

const char kBody[] = R"({"service":"assistant","prompt":"hello","max_tokens":5})";

struct Fixture {
  explicit Fixture(int tokens = 5) : platform(tokens), daemon(platform.MakeSettings()) {
    cr_assert_not(daemon.Start());
    client = std::make_unique<DaemonClient>(daemon.HttpAddress());
    client->WaitUntilReady();
  }

  FakePlatform platform;
  Daemon daemon;
  std::unique_ptr<DaemonClient> client;
};

}  // namespace

Test(daemon, completion_is_streamed_with_event_ids) {
  Fixture fixture;
  const Completion completion = fixture.client->Complete("key-model", kBody);
  cr_assert_eq(completion.reply.status, 200, "%s", completion.reply.body.c_str());
  cr_assert_eq(completion.events.size(), 6);
  for (int i = 0; i < 5; ++i) {
    const Json data = Json::parse(completion.events[i].data);
    cr_assert_eq(data["position"], i);
    cr_assert_eq(data["token"], "t" + std::to_string(i));
    cr_assert_not(completion.events[i].id.empty());
  }
  cr_assert_eq(completion.events[5].event, "done");
  cr_assert_eq(Json::parse(completion.events[5].data)["total"], 5);
}

// Guards against a daemon that never grants itself the slots of the endpoints that it owns.
Test(daemon, credits_are_granted_to_the_only_daemon) {
  FakePlatform platform;
  Settings settings = platform.MakeSettings();
  settings.use_credits = true;
  Daemon daemon(settings);
  cr_assert_not(daemon.Start());
  DaemonClient client(daemon.HttpAddress());
  client.WaitUntilReady();
  // The test times out if no credit is granted.
  while (client.Complete("key-model", kBody).reply.status != 200) {
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
}

// Guards against answers that reveal the existing services to a caller without a valid key, and
// against requests that run with a key of another service.
Test(daemon, keys_are_checked_before_anything_is_sent) {
  Fixture fixture;
  ExpectProblem(fixture.client->Complete("", kBody).reply, "unauthorized", "not_run");
  ExpectProblem(fixture.client->Complete("wrong", kBody).reply, "unauthorized", "not_run");
  const std::string other = R"({"service":"unknown","prompt":"x","max_tokens":1})";
  ExpectProblem(fixture.client->Complete("wrong", other).reply, "unauthorized", "not_run");
  ExpectProblem(fixture.client->Complete("key-model", other).reply, "unknown_service", "not_run");
  ExpectProblem(fixture.client->Complete("key-application", kBody).reply, "forbidden", "not_run");
  cr_assert_eq(fixture.platform.StreamsOpened(), 0);
}

Test(daemon, malformed_requests_are_rejected) {
  Fixture fixture;
  for (const char* body : {"", "[]", R"({"service":"assistant"})",
                           R"({"service":"assistant","prompt":"x","max_tokens":0})",
                           R"({"service":"assistant","prompt":"x","max_tokens":1,"extra":1})",
                           R"({"service":"assistant","prompt":1,"max_tokens":1})"}) {
    ExpectProblem(fixture.client->Complete("key-model", body).reply, "bad_request", "not_run");
  }
  ExpectProblem(fixture.client->Complete("key-model", kBody, {{"Last-Event-ID", "forged"}}).reply,
                "bad_event_id", "not_run");
}

// Guards against a path that counts as idempotent and reaches another route of the application.
Test(daemon, calls_on_other_routes_need_a_key) {
  Fixture fixture;
  for (const char* target : {"/v1/services/orders/orders", "/v1/services/orders/items-archive",
                             "/v1/services/orders", "/v1/services/orders/Items"}) {
    ExpectProblem(fixture.client->Send("GET", target, "key-application"), "key_required",
                  "not_run");
  }
  for (const char* target :
       {"/v1/services/orders/items/../orders", "/v1/services/orders/items/%2e%2e/orders",
        "/v1/services/orders/%zz"}) {
    ExpectProblem(fixture.client->Send("GET", target, "key-application"), "bad_request", "not_run");
  }
}

Test(daemon, lookup_names_this_daemon) {
  Fixture fixture;
  const HttpReply reply = fixture.client->Send("GET", "/v1/lookup?service=assistant", "");
  const Json json = Json::parse(reply.body);
  cr_assert_eq(json["daemons"].size(), 1);
  cr_assert_eq(json["keep_seconds"], 1);
  ExpectProblem(fixture.client->Send("GET", "/v1/lookup?service=x", ""), "unknown_service",
                "not_run");
}

Test(daemon, admin_interface_needs_the_operator_key_and_metrics_do_not) {
  Fixture fixture;
  ExpectProblem(fixture.client->Send("GET", "/v1/admin/endpoints", "key-model"), "unauthorized",
                "not_run");
  const HttpReply metrics = fixture.client->Send("GET", "/metrics", "");
  cr_assert_neq(metrics.body.find("fulmarpoint_load_polls_total{kind=\"ok\"}"), std::string::npos);
  ExpectProblem(fixture.client->Send("GET", "/v1/admin/requests/x", "operator"), "not_found",
                "not_run");
}

// Guards against a planned shutdown that interrupts a request, or exits before it has ended
// (guarantee P8).
Test(daemon, planned_shutdown_lets_a_running_request_finish) {
  Fixture fixture;
  fixture.platform.HoldTokens();
  std::thread stopper([&]() {
    while (fixture.platform.StreamsOpened() == 0) std::this_thread::yield();
    fixture.daemon.RequestStop();
    // New work is rejected only when no caller can hold an old lookup answer.
    DaemonClient other(fixture.daemon.HttpAddress());
    while (other.Send("GET", "/readyz", "").status == 200) std::this_thread::yield();
    ExpectProblem(other.Complete("key-model", kBody).reply, "draining", "not_run");
    cr_assert_not(fixture.daemon.Stopped());
    fixture.platform.Release();
  });
  const Completion completion = fixture.client->Complete("key-model", kBody);
  stopper.join();
  cr_assert_eq(completion.events.size(), 6);
  cr_assert_eq(completion.events.back().event, "done");
  while (!fixture.daemon.Stopped()) std::this_thread::sleep_for(std::chrono::milliseconds(5));
}
