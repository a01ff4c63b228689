#include <criterion/criterion.h>

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <tuple>
#include <vector>

#include "platform_world.h"
#include "transport/address.h"
#include "transport/internal/completion.h"

using namespace fulmarpoint;
namespace asio = boost::asio;

namespace {

std::string Head(const std::string& lines) {
  return "POST /place/x HTTP/1.1\r\nHost: h.example\r\nFulmarpoint-Request-Id: r1\r\n"
         "Authorization: Bearer key-1\r\n" +
         lines + "\r\n";
}

int StatusOf(const std::string& received) {
  return received.size() < 12 ? 0 : std::stoi(received.substr(9, 3));
}

std::vector<std::string> AmbiguousRequests() {
  const std::string hidden = "GET /look/hidden HTTP/1.1\r\nHost: h.example\r\n\r\n";
  return {
      Head("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n" + hidden,
      Head("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n") + "0\r\n\r\n" + hidden,
      Head("Content-Length: 5\r\nContent-Length: 6\r\n") + "12345" + hidden,
      Head("Content-Length: +5\r\n") + "12345" + hidden,
      Head("Content-Length : 5\r\n") + "12345" + hidden,
      Head("Transfer-Encoding: gzip, chunked\r\n") + "0\r\n\r\n" + hidden,
      Head("Transfer-Encoding: chunked\r\n") + "zz\r\n" + hidden,
      Head("Host: other.example\r\nContent-Length: 0\r\n"),
  };
}

/// A request that would be served, to be hidden in the body of another one.
std::string HiddenRequest() {
  return "POST /place/hidden HTTP/1.1\r\nHost: h.example\r\nFulmarpoint-Request-Id: hidden\r\n"
         "Authorization: Bearer key-1\r\nContent-Length: 0\r\n\r\n";
}

/// Heads that do not say, or say in two ways, where the body ends.
std::vector<std::string> HeadsOfUnknownFraming() {
  std::vector<std::string> heads;
  for (const char* coding : {"gzip", "identity", "chunked, identity", "chunked, gzip", "xchunked",
                             "chunked;q=1", "\"chunked\"", "", ","}) {
    const std::string line = "Transfer-Encoding: " + std::string(coding) + "\r\n";
    heads.push_back(Head(line));
    heads.push_back(Head(line + "Content-Length: 0\r\n"));
    heads.push_back(Head("Content-Length: 0\r\n" + line));
    heads.push_back(Head(line + "Transfer-Encoding: identity\r\n"));
    heads.push_back(Head("Connection: keep-alive\r\nExpect: 100-continue\r\n" + line));
  }
  return heads;
}

std::size_t CountReplies(const std::string& received) {
  std::size_t count = 0;
  for (std::size_t at = received.find("HTTP/1.1 "); at != std::string::npos;
       at = received.find("HTTP/1.1 ", at + 1)) {
    ++count;
  }
  return count;
}

Task<void> UnknownFraming(PlatformWorld& world) {
  EndpointStandin& endpoint = world.AddEndpoint("orders", "a");
  co_await world.Start();
  for (const std::string& head : HeadsOfUnknownFraming()) {
    const std::string received = co_await world.SendRaw(head + HiddenRequest());
    cr_expect_eq(StatusOf(received), 400, "%s -> %s", head.c_str(), received.c_str());
    cr_expect_eq(CountReplies(received), 1u, "%s -> %s", head.c_str(), received.c_str());
    cr_expect_eq(endpoint.seen.size(), 0u, "%s", head.c_str());
  }
}

Task<void> ChunksOfHttp10(PlatformWorld& world) {
  EndpointStandin& endpoint = world.AddEndpoint("orders", "a");
  co_await world.Start();
  std::string head = Head("Connection: keep-alive\r\nTransfer-Encoding: chunked\r\n");
  head.replace(head.find("HTTP/1.1"), 8, "HTTP/1.0");
  const std::string received = co_await world.SendRaw(head + "0\r\n\r\n" + HiddenRequest());
  cr_assert_eq(StatusOf(received), 400, "%s", received.c_str());
  cr_assert_eq(CountReplies(received), 1u, "%s", received.c_str());
  cr_assert_eq(endpoint.seen.size(), 0u);
}

Task<void> SoundRequestBeforeUnknownFraming(PlatformWorld& world) {
  EndpointStandin& endpoint = world.AddEndpoint("orders", "a");
  co_await world.Start();
  const std::string sound = Head("Transfer-Encoding: Chunked \r\n") + "3\r\none\r\n0\r\n\r\n";
  std::string received =
      co_await world.SendRaw(sound + Head("Transfer-Encoding: gzip\r\n") + HiddenRequest());
  cr_assert_eq(StatusOf(received), 200, "%s", received.c_str());
  cr_assert_eq(CountReplies(received), 2u, "%s", received.c_str());
  received = co_await world.SendRaw(Head("Connection: close\r\nContent-Length: 3\r\n") + "two");
  cr_assert_eq(StatusOf(received), 200, "%s", received.c_str());
  cr_assert_eq(endpoint.seen.size(), 2u);
  cr_assert(endpoint.seen[0].request.body == "one");
  cr_assert(endpoint.seen[1].request.body == "two");
}

Task<void> Smuggled(PlatformWorld& world) {
  EndpointStandin& endpoint = world.AddEndpoint("orders", "a");
  co_await world.Start();
  for (const std::string& attempt : AmbiguousRequests()) {
    const std::string received = co_await world.SendRaw(attempt);
    cr_assert_eq(StatusOf(received), 400, "%s -> %s", attempt.c_str(), received.c_str());
  }
  cr_assert_eq(endpoint.seen.size(), 0u);
}

Task<void> Pipelined(PlatformWorld& world) {
  EndpointStandin& endpoint = world.AddEndpoint("orders", "a");
  co_await world.Start();
  const std::string received =
      co_await world.SendRaw(Head("Content-Length: 3\r\n") + "one" +
                             Head("Connection: close\r\nContent-Length: 3\r\n") + "two");
  cr_assert_eq(endpoint.seen.size(), 2u);
  cr_assert(endpoint.seen[0].request.body == "one");
  cr_assert(endpoint.seen[1].request.body == "two");
  cr_assert_neq(received.find("HTTP/1.1 200", 10), std::string::npos, "both are answered");
}

Task<void> Trailers(PlatformWorld& world) {
  EndpointStandin& endpoint = world.AddEndpoint("orders", "a");
  co_await world.Start();
  const std::string received = co_await world.SendRaw(
      Head("Connection: close\r\nTransfer-Encoding: chunked\r\nTrailer: X-Late\r\n") +
      "3\r\nabc\r\n4\r\ndefg\r\n0\r\nX-Late: 1\r\nFulmarpoint-Tenant: forged\r\n\r\n");
  cr_assert_eq(StatusOf(received), 200);
  cr_assert(endpoint.seen[0].request.body == "abcdefg");
  cr_assert(endpoint.Header(0, "X-Late") == "");
  cr_assert(endpoint.Header(0, "Fulmarpoint-Tenant") == "roastery");
}

Task<void> Limits(PlatformWorld& world) {
  EndpointStandin& endpoint = world.AddEndpoint("orders", "a");
  co_await world.Start();
  std::string received = co_await world.SendRaw(Head("X-Long: " + std::string(9000, 'x') + "\r\n"));
  cr_assert_eq(StatusOf(received), 431);
  received = co_await world.SendRaw(Head("Content-Length: 70000\r\n"));
  cr_assert_eq(StatusOf(received), 413);
  received = co_await world.SendRaw("POST /place/x HTTP/1.1\r\nHost: h.exa");
  cr_assert_eq(StatusOf(received), 408, "%s", received.c_str());
  received = co_await world.SendRaw("NONSENSE\r\n\r\n");
  cr_assert_eq(StatusOf(received), 400);
  received = co_await world.SendRaw(
      "GET /look/x HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\r\n");
  cr_assert_eq(StatusOf(received), 400, "the request id is missing");
  cr_assert_eq(endpoint.seen.size(), 0u);
}

Task<void> IdleCallersHoldAllConnections(PlatformWorld& world) {
  world.AddEndpoint("orders", "a");
  // Half of the connections are for callers.
  world.settings.max_connections = 8;
  co_await world.Start();
  const std::optional<SocketAddress> to = ParseSocketAddress(world.daemon->CallerAddress());
  std::vector<asio::ip::tcp::socket> idle;
  for (int caller = 0; caller < 4; ++caller) {
    idle.emplace_back(world.loop.GetExecutor());
    const std::tuple<boost::system::error_code> connected = co_await idle.back().async_connect(
        {asio::ip::make_address(to->ip), to->port}, internal::kCompletion);
    cr_assert_not(std::get<0>(connected));
  }
  for (int caller = 0; caller < 7; ++caller) {
    const std::string received =
        co_await world.SendRaw(Head("Connection: close\r\nContent-Length: 0\r\n"));
    cr_assert_eq(StatusOf(received), 503, "%s", received.c_str());
    cr_assert_neq(received.find("Retry-After"), std::string::npos);
  }
  idle.clear();
  const std::string request = Head("Connection: close\r\nContent-Length: 0\r\n");
  std::string received;
  for (int attempt = 0; attempt < 1000 && StatusOf(received) != 200; ++attempt) {
    received = co_await world.SendRaw(request);
  }
  cr_assert_eq(StatusOf(received), 200, "the connections are free again");
}

}  // namespace

// Guards against request smuggling.
Test(framing, ambiguous_requests_are_rejected) { RunTest(&Smuggled); }

// Guards against a request that is hidden in a body whose end the daemon does not know, and runs.
Test(framing, a_body_of_unknown_framing_is_not_read_as_a_request) { RunTest(&UnknownFraming); }

// Guards against chunks of HTTP/1.0, whose end another server on the way may see elsewhere.
Test(framing, chunks_of_an_old_protocol_version_are_rejected) { RunTest(&ChunksOfHttp10); }

// Guards against sound requests that are rejected beside one of unknown framing.
Test(framing, requests_beside_one_of_unknown_framing_are_answered) {
  RunTest(&SoundRequestBeforeUnknownFraming);
}

// Guards against pipelined requests that are lost or mixed up.
Test(framing, pipelined_requests_are_answered_in_order) { RunTest(&Pipelined); }

// Guards against trailers that are forwarded as headers.
Test(framing, trailers_are_dropped) { RunTest(&Trailers); }

// Guards against callers that exhaust memory or hold connections open.
Test(framing, limits_are_enforced) { RunTest(&Limits); }

// Guards against a daemon that reports that it is ready but leaves new connections without a reply,
// because idle callers hold all connections.
Test(framing, new_callers_are_answered_beside_idle_ones) {
  RunTest(&IdleCallersHoldAllConnections);
}
