#include <criterion/criterion.h>

#include <string>

#include "platform_world.h"

using namespace fulmarpoint;

namespace {

/// Sends a request to the only endpoint, and more once another one is listed, which run there.
Task<void> OnlyOneRequestReaches(PlatformWorld& world, EndpointStandin& leaving,
                                 std::string service, std::string method, std::string target) {
  leaving.extra_headers = OneHeader("Server-Leaving", "1");
  co_await world.Start();
  co_await world.Send(method, target);
  cr_assert_eq(leaving.seen.size(), 1u);
  EndpointStandin& other = world.AddEndpoint(service, "a");
  HttpResult result;
  do {
    result = co_await world.Send(method, target);
  } while (result.reply.status != 200);
  for (int request = 0; request < 10; ++request) {
    result = co_await world.Send(method, target);
    cr_assert_eq(result.reply.status, 200, "%d", result.reply.status);
  }
  cr_assert_eq(other.seen.size(), 11u, "%zu", other.seen.size());
  cr_assert_eq(leaving.seen.size(), 1u, "%zu", leaving.seen.size());
}

Task<void> CallsGoElsewhere(PlatformWorld& world) {
  EndpointStandin& leaving = world.AddEndpoint("orders", "a");
  co_await OnlyOneRequestReaches(world, leaving, "orders", "GET", "/look/x");
}

Task<void> StreamsGoElsewhere(PlatformWorld& world) {
  EndpointStandin& leaving = world.AddEndpoint("drafts", "a");
  co_await OnlyOneRequestReaches(world, leaving, "drafts", "POST", "/stream/x");
}

Task<void> RejectedCallsGoElsewhere(PlatformWorld& world) {
  EndpointStandin& leaving = world.AddEndpoint("orders", "a");
  leaving.behaviour = EndpointBehaviour::kReject;
  co_await OnlyOneRequestReaches(world, leaving, "orders", "POST", "/place/x");
}

Task<void> RejectsWithoutAnother(PlatformWorld& world) {
  EndpointStandin& leaving = world.AddEndpoint("orders", "a");
  leaving.extra_headers = OneHeader("Server-Leaving", "1");
  co_await world.Start();
  co_await world.Send("GET", "/look/x");
  const HttpResult result = co_await world.Send("GET", "/look/x");
  cr_assert_eq(result.reply.status, 503);
  cr_assert(FindHeader(result.reply.headers, "Retry-After").has_value());
  cr_assert_eq(leaving.seen.size(), 1u);
}

double RetryAfterSeconds(const HttpResult& result) {
  return std::stod(std::string(FindHeader(result.reply.headers, "Retry-After").value_or("-1")));
}

Task<void> NothingBeforeRetryAfter(PlatformWorld& world, std::string service, std::string method,
                                   std::string target) {
  EndpointStandin& endpoint = world.AddEndpoint(service, "a");
  endpoint.behaviour = EndpointBehaviour::kReject;
  endpoint.extra_headers = OneHeader("Retry-After", "0.9");
  co_await world.Start();
  const TimePoint sent = SteadyNow();
  HttpResult result = co_await world.Send(method, target);
  cr_assert_eq(result.reply.status, 503);
  cr_assert_eq(endpoint.seen.size(), 1u);
  endpoint.behaviour = EndpointBehaviour::kAnswer;
  result = co_await world.Send(method, target);
  cr_assert_eq(result.reply.status, 503, "what cannot be served is rejected");
  while (result.reply.status == 503) {
    cr_assert_eq(endpoint.seen.size(), 1u);
    cr_assert_gt(RetryAfterSeconds(result), 0.0);
    cr_assert_leq(RetryAfterSeconds(result), 1.5);
    co_await Sleep(std::chrono::milliseconds(20));
    result = co_await world.Send(method, target);
  }
  cr_assert_eq(result.reply.status, 200, "%d", result.reply.status);
  cr_assert_geq((SteadyNow() - sent).count(), Duration(std::chrono::milliseconds(900)).count());
}

Task<void> CallsWaitForRetryAfter(PlatformWorld& world) {
  return NothingBeforeRetryAfter(world, "orders", "POST", "/place/x");
}

Task<void> StreamsWaitForRetryAfter(PlatformWorld& world) {
  return NothingBeforeRetryAfter(world, "drafts", "POST", "/stream/x");
}

}  // namespace

// Guards against calls to an endpoint that has stated in a reply that it leaves.
Test(leaving_endpoints, calls_go_elsewhere) { RunTest(&CallsGoElsewhere); }

// Guards against streams that start at an engine that has stated in a reply that it leaves.
Test(leaving_endpoints, streams_go_elsewhere) { RunTest(&StreamsGoElsewhere); }

// Guards against taking note of leaving endpoints only in successful replies.
Test(leaving_endpoints, a_rejection_counts_too) { RunTest(&RejectedCallsGoElsewhere); }

// Guards against using a leaving endpoint because there is no other.
Test(leaving_endpoints, requests_are_rejected_if_there_is_no_other) {
  RunTest(&RejectsWithoutAnother);
}

// Guards against calls to an endpoint before the time that it has stated with a rejection, and
// against holding calls that cannot be served.
Test(retry_after, calls_go_elsewhere_or_are_rejected) { RunTest(&CallsWaitForRetryAfter); }

// Guards against the same with streams.
Test(retry_after, streams_go_elsewhere_or_are_rejected) { RunTest(&StreamsWaitForRetryAfter); }
