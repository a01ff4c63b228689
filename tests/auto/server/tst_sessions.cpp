#include <criterion/criterion.h>

#include <thread>

#include "daemon_client.h"
#include "endpoints_fixture.h"
#include "expect_problem.h"
#include "fake_endpoints.h"
#include "server/daemon.h"

using namespace fulmarpoint;
using Json = nlohmann::json;

namespace {

using StreamFault = FakeEndpoints::StreamFault;

const char kBody[] = R"({"service":"assistant","prompt":"hello","max_tokens":20,"seed":7})";

void ExpectTokens(const Completion& completion, int from) {
  const int count = FakeEndpoints::kTokens - from;
  cr_assert_eq(completion.reply.status, 200, "%s", completion.reply.body.c_str());
  cr_assert_eq(completion.events.size(), count + 1);
  for (int i = 0; i < count; ++i) {
    const Json data = Json::parse(completion.events[i].data);
    cr_assert_eq(data["position"], from + i);
    cr_assert_eq(data["token"], "t" + std::to_string(from + i));
  }
  cr_assert_eq(completion.events.back().event, "done");
}

}  // namespace

// Guards against a lost connection that ends the generation although the engine still holds the
// stream.
Test(sessions, lost_connection_is_replaced_by_another_to_the_same_engine) {
  EndpointsFixture fixture;
  fixture.endpoints.FailAt(8, StreamFault::kClose, true);
  ExpectTokens(fixture.client->Complete("key-model", kBody), 0);
  cr_assert_eq(fixture.endpoints.Reconnected(), 1);
  cr_assert_eq(fixture.endpoints.Opened(), 1);
}

// Guards against a connection whose state a middlebox has dropped: no data arrives and no error is
// reported.
Test(sessions, stalled_connection_is_replaced) {
  EndpointsFixture fixture;
  fixture.endpoints.FailAt(8, StreamFault::kStall, true);
  ExpectTokens(fixture.client->Complete("key-model", kBody), 0);
  cr_assert_eq(fixture.endpoints.Reconnected(), 1);
}

// Guards against a restart from the beginning when the engine has lost the stream.
Test(sessions, lost_stream_continues_with_the_delivered_tokens) {
  EndpointsFixture fixture;
  fixture.endpoints.FailAt(8, StreamFault::kClose, false);
  ExpectTokens(fixture.client->Complete("key-model", kBody), 0);
  cr_assert_eq(fixture.endpoints.Opened(), 2);
  cr_assert_eq(fixture.endpoints.LongestPrefix(), 8);
}

// Guards against bytes of an engine in trouble that reach the caller as tokens, or end its
// generation.
Test(sessions, bytes_that_are_no_events_are_not_delivered) {
  for (const char* bytes :
       {"<html>lost</html>\r\n\r\n", ": lost\n\n", "data: lost\n\n", "data: {\"error\":1}\n\n",
        "data: {\"position\":-8,\"token\":\"x\"}\n\n", "data: {\"position\":9,\"token\":\"x\"}\n\n",
        "data: {\"position\":8,\"token\":1}\n\n", "data: {\"position\":8.0,\"token\":\"x\"}\n\n",
        "data: {\"position\":8,\"tok<html>\n\n", "data: {\"done\":true,\"total\":3}\n\n"}) {
    EndpointsFixture fixture;
    fixture.endpoints.SetForeignBytes(bytes);
    fixture.endpoints.FailAt(8, StreamFault::kForeignBytes, false);
    ExpectTokens(fixture.client->Complete("key-model", kBody), 0);
    cr_assert_eq(fixture.endpoints.LongestPrefix(), 8, "%s", bytes);
  }
}

// Guards against a daemon that can't continue a generation of another daemon (6.2).
Test(sessions, event_id_continues_at_another_daemon) {
  EndpointsFixture fixture;
  const Completion first = fixture.client->Complete("key-model", kBody);
  Daemon other(fixture.endpoints.MakeSettings("d2"));
  cr_assert_not(other.Start());
  DaemonClient client(other.HttpAddress());
  client.WaitUntilReady();
  while (client.Send("GET", "/v1/services/orders/items", "key-application").status != 200) {
    std::this_thread::yield();
  }
  Json body = Json::parse(kBody);
  for (int i = 0; i < 5; ++i) body["prefix_tokens"].push_back("t" + std::to_string(i));
  const HttpHeaders headers = {{"Last-Event-ID", first.events[4].id}};
  ExpectTokens(client.Complete("key-model", body.dump(), headers), 5);
  body["prefix_tokens"][2] = "other";
  ExpectProblem(client.Complete("key-model", body.dump(), headers).reply, "bad_event_id",
                "not_run");
  // Without the tokens only the engine could continue, and it no longer holds the stream.
  const HttpReply reply = client.Complete("key-model", kBody, headers).reply;
  ExpectProblem(reply, "cannot_continue", "run");
}

// Guards against a call that takes effect twice because its caller retries it.
Test(sessions, repeated_key_gets_the_same_answer) {
  EndpointsFixture fixture;
  const HttpReply first = fixture.Order("k1", "one");
  cr_assert_eq(first.status, 200, "%s", first.body.c_str());
  cr_assert_eq(first.body, "answer to one");
  cr_assert_eq(fixture.Order("k1", "one").body, first.body);
  ExpectProblem(fixture.Order("k1", "two"), "key_reused", "not_run");
  cr_assert_eq(fixture.endpoints.Effects(), 1);
}

// Guards against a call that is sent although its claim was not written.
Test(sessions, nothing_is_sent_while_the_table_service_is_down) {
  EndpointsFixture fixture;
  fixture.endpoints.FailTables(true);
  ExpectProblem(fixture.Order("k1", "one"), "store_unavailable", "not_run");
  cr_assert_eq(fixture.endpoints.Effects(), 0);
  const HttpReply lookup =
      fixture.client->Send("GET", "/v1/lookup?service=orders", "key-application");
  const std::string prefix = Json::parse(lookup.body)["keys"]["prefix"];
  const HttpReply issued = fixture.Order(prefix + "-1", "one");
  cr_assert_eq(issued.body, "answer to one", "%s", issued.body.c_str());
  cr_assert_eq(fixture.Order(prefix + "-1", "one").body, issued.body);
  cr_assert_eq(fixture.endpoints.Effects(), 1);
}

// Guards against table rows whose size grows with that of the answers.
Test(sessions, large_outcomes_are_kept_in_the_object_store) {
  EndpointsFixture fixture;
  fixture.endpoints.SetAnswerBytes(20000);
  const HttpReply first = fixture.Order("k1", "one");
  cr_assert_eq(first.body.size(), 20000);
  cr_assert_eq(fixture.Order("k1", "one").body, first.body);
  while (fixture.endpoints.Objects() == 0) std::this_thread::yield();
  cr_assert_eq(fixture.endpoints.Effects(), 1);
}
