#include <criterion/criterion.h>

#include <optional>

#include "platform_world.h"
#include "raw_caller.h"

using namespace fulmarpoint;

namespace {

// More than the socket buffers of both ends hold.
constexpr std::size_t kLongBodyBytes = std::size_t{1} * 1024 * 1024;
// More than the caller's receive buffer and less than the daemon's send buffer holds.
constexpr std::size_t kBufferedBodyBytes = std::size_t{40} * 1024;
// Time in which the daemon handles what was sent.
constexpr Duration kSettleTime = std::chrono::milliseconds(50);

void ShortenIdleLimit(PlatformWorld& world) {
  std::string text = PlatformWorld::Configuration(2);
  const std::string limit = R"("idleTimeoutMs":2000)";
  text.replace(text.find(limit), limit.size(), R"("idleTimeoutMs":20)");
  world.store->Put("op", "config", text);
}

Task<void> LongReplyOfStoppingDaemon(PlatformWorld& world, ReplyingEndpoint& endpoint,
                                     RawCaller& caller) {
  co_await UseOnce(caller);
  endpoint.body = std::string(kLongBodyBytes, 'x');
  world.daemon->RequestStop([]() {});
  co_await caller.Send(Request("GET", "long"));
  const std::string head = co_await caller.ReadHead();
  cr_assert_neq(head.find("Connection: close"), std::string::npos);
  co_await caller.Send(Request("GET", "next"));
  const std::string body = co_await caller.ReadBody(kLongBodyBytes);
  cr_assert_eq(body.size(), kLongBodyBytes, "%zu bytes received", body.size());
  cr_assert_eq(endpoint.seen.size(), 2u, "the request after the last reply is not passed on");
}

Task<void> LongReplyAtExit(PlatformWorld& world, ReplyingEndpoint& endpoint, RawCaller& caller) {
  co_await UseOnce(caller);
  endpoint.body = std::string(kLongBodyBytes, 'x');
  co_await caller.Send(Request("GET", "long"));
  cr_assert_neq(co_await caller.ReadHead(), "");
  std::optional<std::size_t> bytes_at_exit;
  world.daemon->RequestStop(
      [&bytes_at_exit, &caller]() { bytes_at_exit = caller.ReceivedBytes(); });
  const std::string body = co_await caller.ReadBody(kLongBodyBytes);
  cr_assert_eq(body.size(), kLongBodyBytes, "%zu bytes received", body.size());
  co_await PlatformWorld::WaitFor([&bytes_at_exit]() { return bytes_at_exit.has_value(); });
  const std::size_t missing = caller.ReceivedBytes() - *bytes_at_exit;
  cr_assert_eq(missing, 0u, "%zu bytes had not arrived at the exit", missing);
}

Task<void> BodyArrivingAtStop(PlatformWorld& world, ReplyingEndpoint& endpoint, RawCaller& caller) {
  co_await UseOnce(caller);
  co_await caller.Send(Request("POST", "slow", "Expect: 100-continue\r\nContent-Length: 4\r\n"));
  cr_assert_eq((co_await caller.ReadHead()).find("HTTP/1.1 100"), 0u);
  co_await caller.Send("bo");
  std::optional<std::size_t> seen_at_exit;
  world.daemon->RequestStop([&seen_at_exit, &endpoint]() { seen_at_exit = endpoint.seen.size(); });
  co_await Sleep(kSettleTime);
  co_await caller.Send("dy");
  cr_assert_eq((co_await caller.ReadHead()).find("HTTP/1.1 200"), 0u);
  cr_assert(co_await caller.ReadBody(5) == "short");
  co_await PlatformWorld::WaitFor([&seen_at_exit]() { return seen_at_exit.has_value(); });
  cr_assert_eq(*seen_at_exit, 2u, "the request was passed on before the exit");
}

Task<void> BodyArrivingBeforeExit(PlatformWorld& world, ReplyingEndpoint& endpoint,
                                  RawCaller& caller) {
  co_await UseOnce(caller);
  endpoint.pause = std::chrono::seconds(2);
  co_await caller.Send(Request("POST", "late", "Content-Length: 4\r\n") + "bo");
  bool has_stopped = false;
  world.daemon->RequestStop([&has_stopped]() { has_stopped = true; });
  co_await Sleep(kSettleTime);
  co_await caller.Send("dy");
  const std::string head = co_await caller.ReadHead();
  cr_assert_eq(head.find("HTTP/1.1 503"), 0u, "the reply is: %s", head.c_str());
  cr_assert_eq(endpoint.seen.size(), 1u, "a request that would be cut is not passed on");
  co_await PlatformWorld::WaitFor([&has_stopped]() { return has_stopped; });
}

/// Sends a request whose reply stays in the kernel while `end_connection` makes the daemon end the
/// idle connection, and another request after that.
Task<void> UnreadReply(PlatformWorld& world, ReplyingEndpoint& endpoint, RawCaller& caller,
                       void (*end_connection)(PlatformWorld&)) {
  co_await UseOnce(caller);
  endpoint.body = std::string(kBufferedBodyBytes, 'x');
  endpoint.pause = kSettleTime;
  co_await caller.Send(Request("GET", "buffered"));
  end_connection(world);
  cr_assert_neq(co_await caller.ReadHead(), "");
  co_await Sleep(kSettleTime);
  co_await caller.Send(Request("GET", "next"));
  co_await Sleep(kSettleTime);
  const std::string body = co_await caller.ReadBody(kBufferedBodyBytes);
  cr_assert_eq(body.size(), kBufferedBodyBytes, "%zu bytes received", body.size());
}

Task<void> UnreadReplyAtStop(PlatformWorld& world, ReplyingEndpoint& endpoint, RawCaller& caller) {
  co_await UnreadReply(world, endpoint, caller, [](PlatformWorld& ending) {
    // The stop begins once the connection is idle.
    Spawn(ending.loop.GetExecutor(), [&ending]() -> Task<void> {
      co_await Sleep(kSettleTime * 3 / 2);
      ending.daemon->RequestStop([]() {});
    });
  });
}

Task<void> UnreadReplyAtIdleLimit(PlatformWorld& world, ReplyingEndpoint& endpoint,
                                  RawCaller& caller) {
  co_await UnreadReply(world, endpoint, caller, ShortenIdleLimit);
}

Task<void> LongReplyToClosingCaller(PlatformWorld&, ReplyingEndpoint& endpoint, RawCaller& caller) {
  co_await UseOnce(caller);
  endpoint.body = std::string(kLongBodyBytes, 'x');
  co_await caller.Send(Request("GET", "long", "Connection: close\r\n"));
  cr_assert_neq(co_await caller.ReadHead(), "");
  co_await caller.Send(Request("GET", "next"));
  const std::string body = co_await caller.ReadBody(kLongBodyBytes);
  cr_assert_eq(body.size(), kLongBodyBytes, "%zu bytes received", body.size());
}

Task<void> PipelinedAroundStop(PlatformWorld& world, ReplyingEndpoint& endpoint,
                               RawCaller& caller) {
  co_await UseOnce(caller);
  endpoint.pause = std::chrono::milliseconds(50);
  co_await caller.Send(Request("GET", "a") + Request("GET", "b") + Request("GET", "c"));
  co_await PlatformWorld::WaitFor([&endpoint]() { return endpoint.seen.size() == 2; });
  world.daemon->RequestStop([]() {});
  std::size_t replies = 1;
  while (true) {
    const std::string head = co_await caller.ReadHead();
    if (head.empty()) break;
    ++replies;
    const std::string body = co_await caller.ReadBody(5);
    cr_assert(body == "short");
  }
  cr_assert_eq(replies, endpoint.seen.size());
}

Task<void> SlowBodies(PlatformWorld& world, ReplyingEndpoint& endpoint, RawCaller& caller) {
  co_await UseOnce(caller);
  co_await caller.Send(Request("POST", "a", "Expect: 100-continue\r\nContent-Length: 4\r\n"));
  const std::string interim = co_await caller.ReadHead();
  cr_assert_eq(interim.find("HTTP/1.1 100"), 0u);
  ShortenIdleLimit(world);
  for (const char* part : {"b", "o", "d", "y"}) {
    co_await Sleep(std::chrono::milliseconds(100));
    co_await caller.Send(part);
  }
  cr_assert_neq(co_await caller.ReadHead(), "");
  cr_assert(co_await caller.ReadBody(5) == "short");
  co_await caller.Send(Request("POST", "b", "Transfer-Encoding: chunked\r\n"));
  for (const char* part : {"2\r\nbo\r\n", "2\r\n", "dy\r\n", "0\r\n", "\r\n"}) {
    co_await Sleep(std::chrono::milliseconds(100));
    co_await caller.Send(part);
  }
  cr_assert_neq(co_await caller.ReadHead(), "");
  cr_assert(co_await caller.ReadBody(5) == "short");
  cr_assert_eq(endpoint.seen.size(), 3u);
  cr_assert(endpoint.seen[2].body == "body");
}

Task<void> RepliesWithoutBody(PlatformWorld&, ReplyingEndpoint& endpoint, RawCaller& caller) {
  co_await UseOnce(caller);
  co_await caller.Send(Request("HEAD", "a") + Request("GET", "b"));
  cr_assert_neq(co_await caller.ReadHead(), "");
  cr_assert_neq(co_await caller.ReadHead(), "");
  cr_assert(co_await caller.ReadBody(5) == "short");
  for (const int status : {204, 304}) {
    endpoint.status = status;
    co_await caller.Send(Request("GET", "c" + std::to_string(status)) + Request("GET", "d"));
    cr_assert_neq(co_await caller.ReadHead(), "");
    cr_assert_neq(co_await caller.ReadHead(), "");
  }
  cr_assert_eq(endpoint.seen.size(), 7u);
}

Task<void> EndpointClosesIdleConnections(PlatformWorld&, ReplyingEndpoint& endpoint,
                                         RawCaller& caller) {
  constexpr std::size_t kRequests = 40;
  endpoint.SetIdleTimeout(std::chrono::milliseconds(10));
  for (std::size_t request = 0; request < kRequests; ++request) {
    co_await caller.Send(Request("GET", std::to_string(request)));
    cr_assert_eq((co_await caller.ReadHead()).find("HTTP/1.1 200"), 0u);
    cr_assert(co_await caller.ReadBody(5) == "short");
    // Some requests are sent just as the endpoint closes.
    co_await Sleep(std::chrono::milliseconds(8 + request % 5));
  }
}

Task<void> RepliesWithoutLength(PlatformWorld&, ReplyingEndpoint& endpoint, RawCaller& caller) {
  endpoint.has_length = false;
  co_await caller.Send(Request("GET", "a") + Request("GET", "b"));
  co_await caller.Send(Request("GET", "c"));
  for (int reply = 0; reply < 3; ++reply) {
    cr_assert_eq((co_await caller.ReadHead()).find("HTTP/1.1 200"), 0u);
    cr_assert(co_await caller.ReadBody(5) == "short");
  }
}

Task<void> ShortReplyMemory(PlatformWorld&, ReplyingEndpoint& endpoint, RawCaller& caller) {
  co_await UseOnce(caller);
  endpoint.body = std::string(kLongBodyBytes, 'x');
  co_await caller.Send(Request("GET", "large"));
  cr_assert_eq((co_await caller.ReadHead()).find("HTTP/1.1 502"), 0u);
}

}  // namespace

// Guards against a reset that discards the rest of a long reply, because another request has
// arrived on the connection that closes after it.
Test(kept_connections, the_last_reply_of_a_stopping_daemon_is_whole) {
  RunTest(LongReplyOfStoppingDaemon);
}

// The same for a caller that asks for the connection to be closed.
Test(kept_connections, a_reply_to_a_closing_caller_is_whole) { RunTest(LongReplyToClosingCaller); }

// Guards against a process that ends before its last reply has left the kernel.
Test(kept_connections, a_daemon_stops_only_after_its_last_reply_is_received) {
  RunTest(LongReplyAtExit, [](RelaySettings& settings) {
    settings.lookup_ttl = Duration::zero();
    settings.stop_grace = std::chrono::seconds(60);
  });
}

// Guards against a process that ends while a request's body is arriving.
Test(kept_connections, a_daemon_stops_only_after_an_arriving_request_is_answered) {
  RunTest(BodyArrivingAtStop, [](RelaySettings& settings) {
    settings.lookup_ttl = Duration::zero();
    settings.stop_grace = std::chrono::seconds(60);
  });
}

// Guards against a request that is passed on late in the grace of a planned stop and cut at its
// end.
Test(kept_connections, a_stopping_daemon_rejects_what_it_would_cut) {
  RunTest(BodyArrivingBeforeExit, [](RelaySettings& settings) {
    settings.lookup_ttl = Duration::zero();
    settings.stop_grace = std::chrono::seconds(2);
  });
}

// Guards against a reset that discards a reply which a slow caller has not received when its idle
// connection is closed.
Test(kept_connections, a_stop_keeps_unread_replies_of_idle_connections) {
  RunTest(UnreadReplyAtStop, [](RelaySettings& settings) {
    settings.lookup_ttl = Duration::zero();
    settings.stop_grace = std::chrono::seconds(60);
  });
}

Test(kept_connections, the_idle_limit_keeps_unread_replies) { RunTest(UnreadReplyAtIdleLimit); }

// Guards against a request that reaches an endpoint and gets no reply when the daemon stops.
Test(kept_connections, pipelined_requests_passed_on_are_answered_around_a_stop) {
  RunTest(PipelinedAroundStop);
}

// Guards against an idle limit that ends a request whose body is still being sent.
Test(kept_connections, slow_bodies_outlast_a_shorter_idle_limit) { RunTest(SlowBodies); }

// Guards against a reply without a body that leaves the next one unread.
Test(kept_connections, replies_without_body_keep_the_connection) { RunTest(RepliesWithoutBody); }

// Guards against a request that is lost with an endpoint's idle connection.
Test(kept_connections, requests_survive_idle_connections_closed_by_the_endpoint) {
  RunTest(EndpointClosesIdleConnections);
}

// Guards against a reply of unknown length that leaves the next one unread.
Test(kept_connections, replies_without_length_keep_the_connection) {
  RunTest(RepliesWithoutLength);
}

// Guards against a connection that ends without a reply when memory for replies is short.
Test(kept_connections, a_reply_too_large_for_the_memory_is_replaced_by_an_error) {
  RunTest(ShortReplyMemory, [](RelaySettings& settings) { settings.max_body_bytes = 65536; });
}
