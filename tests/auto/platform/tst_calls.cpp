#include <criterion/criterion.h>

#include "platform_world.h"

using namespace fulmarpoint;

namespace {

const HttpHeaders kOddHeaders = {{"X-Own", "kept"},
                                 {"Connection", "close, X-Hop"},
                                 {"X-Hop", "dropped"},
                                 {"Fulmarpoint-Tenant", "forged"},
                                 {"Fulmarpoint-Hold", "forged"},
                                 {"Kv-From", "forged"}};

std::string HeaderOf(const HttpResult& result, const char* name) {
  return std::string(FindHeader(result.reply.headers, name).value_or(""));
}

Task<void> AnswerIsUnchanged(PlatformWorld& world) {
  EndpointStandin& endpoint = world.AddEndpoint("orders", "a");
  co_await world.Start();
  const HttpResult result =
      co_await world.Send("POST", "/place/a?b=%20c", kOddHeaders, "two sacks");
  cr_assert_not(result.error);
  cr_assert_eq(result.reply.status, 200);
  cr_assert(result.reply.body == "body of i-1");
  cr_assert(HeaderOf(result, "Fulmarpoint-Server-Seal") == "seal-i-1");
  cr_assert(HeaderOf(result, "X-Kept") == "yes");
  cr_assert_eq(endpoint.seen.size(), 1u);
  const HttpRequest& seen = endpoint.seen[0].request;
  cr_assert(seen.method == "POST");
  cr_assert(seen.target == "/place/a?b=%20c");
  cr_assert(seen.body == "two sacks");
  cr_assert(endpoint.Header(0, "Host") == "h.example");
  cr_assert(endpoint.Header(0, "X-Own") == "kept");
  cr_assert(endpoint.Header(0, "X-Hop") == "");
  cr_assert(endpoint.Header(0, "Authorization") == "");
  cr_assert(endpoint.Header(0, "Fulmarpoint-Hold") == "");
  cr_assert(endpoint.Header(0, "Kv-From") == "");
  cr_assert(endpoint.Header(0, "Fulmarpoint-Tenant") == "roastery");
  cr_assert(endpoint.Header(0, "Fulmarpoint-Expect-Instance") == "i-1");
  const int left = std::stoi(endpoint.Header(0, "Fulmarpoint-Deadline-Ms"));
  cr_assert(left > 0 && left <= 3000, "the route's time-out is shorter: %d", left);
}

Task<void> LostCallIsNotRetried(PlatformWorld& world) {
  EndpointStandin& first = world.AddEndpoint("orders", "a");
  EndpointStandin& second = world.AddEndpoint("orders", "b");
  first.behaviour = EndpointBehaviour::kBreak;
  second.behaviour = EndpointBehaviour::kBreak;
  co_await world.Start();
  const HttpResult result = co_await world.Send("POST", "/place/x");
  cr_assert_eq(result.reply.status, 502, "neither 503 nor 429: the order may have run");
  cr_assert_eq(first.seen.size() + second.seen.size(), 1u);
}

Task<void> UnsealedAnswerIsNoSuccess(PlatformWorld& world) {
  EndpointStandin& endpoint = world.AddEndpoint("orders", "a");
  endpoint.behaviour = EndpointBehaviour::kUnsealed;
  co_await world.Start();
  const HttpResult result = co_await world.Send("POST", "/place/x");
  cr_assert_eq(result.reply.status, 502);
}

Task<void> StrayAnswerIsNotForwarded(PlatformWorld& world) {
  EndpointStandin& endpoint = world.AddEndpoint("orders", "a");
  endpoint.behaviour = EndpointBehaviour::kStray;
  co_await world.Start();
  const HttpResult result =
      co_await world.Send("POST", "/place/x", OneHeader("Fulmarpoint-Deadline-Ms", "300"));
  cr_assert_eq(result.reply.status, 502);
  cr_assert_eq(result.reply.body.find("body of"), std::string::npos);
}

Task<void> RejectedCallGoesElsewhere(PlatformWorld& world) {
  EndpointStandin& first = world.AddEndpoint("orders", "a");
  EndpointStandin& second = world.AddEndpoint("orders", "b");
  first.behaviour = EndpointBehaviour::kReject;
  co_await world.Start();
  const HttpResult result = co_await world.Send("POST", "/place/x");
  cr_assert_eq(result.reply.status, 200);
  cr_assert(result.reply.body == "body of i-2");
  cr_assert_eq(first.seen.size(), 1u);
  second.behaviour = EndpointBehaviour::kMisdirect;
  const HttpResult refused = co_await world.Send("POST", "/place/x");
  cr_assert_eq(refused.reply.status, 503);
  cr_assert_gt(std::stod(HeaderOf(refused, "Retry-After")), 0.0);
}

Task<void> FailedLookupIsTriedElsewhere(PlatformWorld& world) {
  EndpointStandin& first = world.AddEndpoint("orders", "a");
  EndpointStandin& second = world.AddEndpoint("orders", "b");
  first.behaviour = EndpointBehaviour::kFail;
  co_await world.Start();
  HttpResult result = co_await world.Send("GET", "/look/x");
  cr_assert_eq(result.reply.status, 200);
  second.behaviour = EndpointBehaviour::kFail;
  result = co_await world.Send("GET", "/look/x");
  cr_assert_eq(result.reply.status, 500);
  cr_assert_eq(HeaderOf(result, "Fulmarpoint-Server-Seal").substr(0, 5), "seal-");
  cr_assert_eq(first.seen.size() + second.seen.size(), 4u, "two attempts for each request");
}

Task<void> StalledLookupIsTriedElsewhere(PlatformWorld& world) {
  EndpointStandin& first = world.AddEndpoint("orders", "a");
  world.AddEndpoint("orders", "b");
  first.behaviour = EndpointBehaviour::kStall;
  co_await world.Start();
  const HttpResult result = co_await world.Send("GET", "/look/x");
  cr_assert(result.reply.body == "body of i-2");
  co_await PlatformWorld::WaitFor([&first]() { return first.seen[0].caller_disconnected; });
}

Task<void> DeadlineEndsTheWait(PlatformWorld& world) {
  EndpointStandin& endpoint = world.AddEndpoint("orders", "a");
  endpoint.behaviour = EndpointBehaviour::kStall;
  co_await world.Start();
  const HttpResult result =
      co_await world.Send("POST", "/place/x", OneHeader("Fulmarpoint-Deadline-Ms", "200"));
  cr_assert_eq(result.reply.status, 502);
  co_await PlatformWorld::WaitFor([&endpoint]() { return endpoint.seen[0].caller_disconnected; });
}

Task<void> CallerThatLeavesEndsTheCall(PlatformWorld& world) {
  EndpointStandin& endpoint = world.AddEndpoint("orders", "a");
  endpoint.behaviour = EndpointBehaviour::kStall;
  co_await world.Start();
  HttpClientRequest request;
  request.address = world.daemon->CallerAddress();
  request.target = "/look/x";
  request.host = "h.example";
  request.headers = OneHeader("Fulmarpoint-Request-Id", "r");
  request.headers.push_back({"Authorization", "Bearer key-1"});
  request.timeout = std::chrono::milliseconds(100);
  co_await world.client->Send(std::move(request));
  co_await PlatformWorld::WaitFor(
      [&endpoint]() { return !endpoint.seen.empty() && endpoint.seen[0].caller_disconnected; });
}

Task<void> LossOnKeptConnectionIsNoRefusal(PlatformWorld& world) {
  EndpointStandin& endpoint = world.AddEndpoint("orders", "a");
  co_await world.Start();
  cr_assert_eq((co_await world.Send("GET", "/look/a")).reply.status, 200);
  endpoint.behaviour = EndpointBehaviour::kCrash;
  endpoint.crashing_target = "/look/b";
  const HttpResult result = co_await world.Send("GET", "/look/b");
  cr_assert_eq(endpoint.seen.size(), 2u, "the endpoint has begun to run the request");
  cr_assert_neq(result.reply.status, 503, "the request may have run");
}

}  // namespace

// Guards against modified requests and replies, forged internal headers, and keys that reach
// endpoints.
Test(calls, request_and_answer_are_forwarded_unchanged) { RunTest(&AnswerIsUnchanged); }

// Guards against a non-idempotent request that runs twice, and an error status that claims it has
// not run.
Test(calls, a_lost_non_idempotent_call_is_sent_once) { RunTest(&LostCallIsNotRetried); }

// Guards against a success reply that does not come from an endpoint.
Test(calls, an_unsealed_answer_is_no_success) { RunTest(&UnsealedAnswerIsNoSuccess); }

// Guards against forwarding the reply to another request.
Test(calls, a_stray_answer_is_not_forwarded) { RunTest(&StrayAnswerIsNotForwarded); }

// Guards against an error reply although another endpoint could have run the request.
Test(calls, a_rejected_call_goes_to_another_endpoint) { RunTest(&RejectedCallGoesElsewhere); }

// Guards against more attempts than the route allows, and against an endpoint's error reply that is
// forwarded without its seal.
Test(calls, a_failed_lookup_is_tried_once_more) { RunTest(&FailedLookupIsTriedElsewhere); }

// Guards against an idempotent request that waits for a stalled endpoint while another is idle.
Test(calls, a_stalled_endpoint_is_abandoned) { RunTest(&StalledLookupIsTriedElsewhere); }

// Guards against requests that keep running, and callers that keep waiting, after the deadline.
Test(calls, the_deadline_ends_the_wait) { RunTest(&DeadlineEndsTheWait); }

// Guards against requests that keep running after their caller has disconnected.
Test(calls, a_caller_that_leaves_ends_the_call) { RunTest(&CallerThatLeavesEndsTheCall); }

// Guards against status 503, which promises that a request has not run, for one that was lost on a
// kept connection when the endpoint, or the path to all endpoints, was lost.
Test(calls, a_loss_on_a_kept_connection_is_no_refusal) {
  RunTest(&LossOnKeptConnectionIsNoRefusal);
}
