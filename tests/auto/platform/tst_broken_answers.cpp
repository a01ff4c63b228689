#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

// A macro of Criterion breaks Boost headers that follow it.
#include <criterion/criterion.h>

#include "platform_world.h"
#include "scripted_endpoints.h"
#include "transport/address.h"
#include "transport/internal/completion.h"

using namespace fulmarpoint;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr int kEventsBeforeFault = 2;
// Time in which the daemon forwards the events that have arrived.
constexpr Duration kForwardTime = std::chrono::milliseconds(50);
constexpr char kBody[] = "a whole body";

std::string Failure(const std::string& status, const std::string& headers = "") {
  const std::string body = std::string(kForeign) + " " + status;
  return "HTTP/1.1 " + status + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Answer GoodCall() {
  return {"whole reply",
          Head("200 OK", "Content-Length: " + std::to_string(sizeof kBody - 1) + "\r\n") + kBody, 0,
          "", Ending::kClose};
}

/// Streams that break off after `kEventsBeforeFault` events.
std::vector<Answer> BrokenStreams() {
  const std::string open_head = Head("200 OK", kEventStream);
  const std::string chunked_head = Head("200 OK", std::string(kEventStream) + kChunked);
  const std::string long_head =
      Head("200 OK", std::string(kEventStream) + "Content-Length: 100000\r\n");
  const int events = kEventsBeforeFault;
  return {
      {"no last chunk", chunked_head, events, "", Ending::kClose},
      {"chunks, reset", chunked_head, events, "", Ending::kReset},
      {"closed inside a chunk", chunked_head, events, "20\r\nid: 3\nda", Ending::kClose},
      {"last chunk inside an event", chunked_head, events, InChunk("id: 3\nda") + "0\r\n\r\n",
       Ending::kClose},
      {"no length, reset", open_head, events, "", Ending::kReset},
      {"no length, closed inside an event", open_head, events, "id: 3\nda", Ending::kClose},
      {"no length, closed before an event's last line", open_head, events, "id: 3\ndata: e3\n",
       Ending::kClose},
      {"shorter than its length", long_head, events, "", Ending::kClose},
  };
}

/// Replies to a stream that are no continuation of it.
std::vector<Answer> FailuresOfNextEngine() {
  const std::string stream = Head("200 OK", kEventStream);
  const std::string cut_head = std::string("HTTP/1.1 500 ") + kForeign + "\r\n" + kSeal;
  return {
      {"500", Failure("500 FOREIGN", kSeal), 0, "", Ending::kClose},
      {"500 without a seal", Failure("500 FOREIGN"), 0, "", Ending::kClose},
      {"503, not run", Failure("503 FOREIGN", kSeal), 0, "", Ending::kClose},
      {"404", Failure("404 FOREIGN", kSeal), 0, "", Ending::kClose},
      {"421", Failure("421 FOREIGN", "Fulmarpoint-Instance-Id: another\r\n"), 0, "",
       Ending::kClose},
      {"200 that is not a stream", Failure("200 FOREIGN", kSeal), 0, "", Ending::kClose},
      {"500 event stream", Failure("500 FOREIGN", std::string(kSeal) + kEventStream), 0, "",
       Ending::kClose},
      {"cut head", cut_head, 0, "", Ending::kClose},
      {"cut head, reset", cut_head, 0, "", Ending::kReset},
      {"status line", "HTTP/1.1 200 FOREIGN\r\n", 0, "", Ending::kClose},
      {"no bytes", "", 0, "", Ending::kClose},
      {"no protocol", std::string(kForeign) + "\r\n\r\n", 0, "", Ending::kClose},
      {"stream without a length, cut in its first event", stream, 0,
       std::string("data: ") + kForeign, Ending::kClose},
  };
}

/// Closes a server that streams a reply, and returns what the client gets.
Received CloseServerWithinStream(const std::string& version) {
  EventLoop loop;
  HttpServer server(
      loop.GetExecutor(), HttpServerLimits(),
      [](HttpExchange& exchange) -> Task<void> {
        co_await exchange.StartStream(200, HttpHeaders());
        co_await exchange.WriteChunk(AllEvents(1, kEventsBeforeFault));
        while (!exchange.ClientDisconnected()) co_await Sleep(kSettleTime);
      },
      [](HttpRejection) {
        return HttpReply{400, {}, ""};
      });
  server.Listen("127.0.0.1:0");
  Received received;
  Spawn(loop.GetExecutor(), [&]() -> Task<void> {
    co_await Sleep(kForwardTime);
    server.Close();
  });
  Spawn(loop.GetExecutor(), [&]() -> Task<void> {
    const std::string request = RequestText({"/stream/x", version, kLongDeadline});
    received = co_await SendRequest(server.Address(), request);
    loop.Stop();
  });
  loop.Run();
  loop.DestroyPendingWork();
  return received;
}

/// Sends a call whose connection is kept and then another one, and returns how many requests the
/// second caused at the endpoints. As the route allows two attempts, one of them uses the kept
/// connection.
int RequestsOfSecondCall(std::vector<Answer> answers) {
  constexpr int kTwoEndpoints = 2;
  PlatformWorld world;
  ScriptedEndpoints endpoints(world.loop.GetExecutor(), std::move(answers), kTwoEndpoints);
  world.Run([&]() -> Task<void> {
    endpoints.List(*world.store, "orders");
    co_await world.Start();
    const std::string request = RequestText({"/look/x", "HTTP/1.1", kLongDeadline});
    const Received first = co_await SendRequest(world.daemon->CallerAddress(), request);
    cr_assert_eq(first.status, 200, "%d", first.status);
    const Received second = co_await SendRequest(world.daemon->CallerAddress(), request);
    cr_assert_eq(second.status, 502, "%d", second.status);
  });
  return endpoints.requests - 1;
}

void CheckCutStream(const Received& received, const std::string& name) {
  cr_expect_eq(received.status, 200, "%s: %d", name.c_str(), received.status);
  cr_expect_not(received.is_whole, "%s: taken for whole", name.c_str());
  cr_expect(received.body == AllEvents(1, kEventsBeforeFault), "%s: %s", name.c_str(),
            received.bytes.c_str());
}

const char* const kVersions[] = {"HTTP/1.1", "HTTP/1.0"};

void CheckEachPair(const std::string& version, bool ends_well) {
  for (const Answer& broken : BrokenStreams()) {
    for (const Answer& failure : FailuresOfNextEngine()) {
      const std::string name = version + ", " + broken.name + ", then " + failure.name;
      std::vector<Answer> answers = {broken, failure};
      if (ends_well) answers.push_back(GoodStream());
      const Exchange exchange = {"/stream/x", version, ends_well ? kLongDeadline : kShortDeadline};
      const Received received = Play(exchange, std::move(answers));
      if (ends_well) CheckWholeStream(received, name);
      if (!ends_well) CheckCutStream(received, name);
    }
  }
}

/// Returns replies that end within their head, at each position.
std::vector<Answer> CutHeads(const std::string& head) {
  std::vector<Answer> cut;
  for (std::size_t size = 0; size < head.size(); ++size) {
    cut.push_back(
        {"head cut after " + std::to_string(size), head.substr(0, size), 0, "", Ending::kClose});
  }
  return cut;
}

std::vector<Answer> ShortCalls() {
  std::vector<Answer> cut = CutHeads(Head("200 OK", "Content-Length: 12\r\n"));
  cut.push_back({"no body", Head("200 OK", "Content-Length: 12\r\n"), 0, "", Ending::kClose});
  cut.push_back({"short body", Head("200 OK", "Content-Length: 12\r\n"), 0, "a", Ending::kClose});
  cut.push_back({"no chunk", Head("200 OK", kChunked), 0, "", Ending::kClose});
  cut.push_back({"no last chunk", Head("200 OK", kChunked), 0, "1\r\na\r\n", Ending::kClose});
  cut.push_back({"no length, reset", Head("200 OK", ""), 0, "a", Ending::kReset});
  return cut;
}

/// Returns whole replies with a head that is not valid HTTP/1.1, or whose framing is contradictory.
std::vector<Answer> InvalidReplies(const std::string& content_headers) {
  const std::string length = "Content-Length: 12\r\n";
  std::vector<Answer> invalid;
  const auto add = [&](const std::string& status_line, const std::string& headers,
                       const std::string& body) {
    const std::string head = status_line + "\r\n" + kSeal + content_headers + headers + "\r\n";
    invalid.push_back({status_line + " " + headers, head + body, 0, "", Ending::kClose});
  };
  for (const char* line :
       {"HTTP/1.1 000 None", "HTTP/1.1 042 X", "HTTP/1.1 099 X", "HTTP/1.1 101 Switching Protocols",
        "HTTP/1.1 600 X", "HTTP/1.1 999 X", "HTTP/2.0 200 OK", "HTTP/1.2 200 OK", "HTTX/1.1 200 OK",
        "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK"}) {
    add(line, length, kBody);
  }
  for (const std::string& field :
       {std::string("Bad Name: x\r\n"), std::string("Name : x\r\n"), std::string("Name\t: x\r\n"),
        std::string("\x01Name: x\r\n"), std::string("Na\x7fme: x\r\n"), std::string(": x\r\n"),
        std::string("Na(me: x\r\n"), std::string("Name\r\n"), std::string("X: a\x01z\r\n"),
        std::string("X: a\x7fz\r\n"), std::string("X: a\0z\r\n", 8)}) {
    add("HTTP/1.1 200 OK", length + field, kBody);
    add("HTTP/1.1 200 OK", field + length, kBody);
  }
  for (const char* framing :
       {"Content-Length : 12\r\n", "Content-Length: 12\r\nContent-Length: 13\r\n",
        "Content-Length: +12\r\n", "Content-Length: -12\r\n", "Content-Length: 0x0c\r\n",
        "Content-Length: 12, 13\r\n", "Content-Length:\r\n", "Transfer-Encoding: gzip\r\n",
        "Transfer-Encoding: identity\r\n", "Transfer-Encoding: xchunked\r\n",
        "Content-Length: 99999999999999999999999\r\n"}) {
    add("HTTP/1.1 200 OK", framing, kBody);
  }
  const std::string chunked_body = InChunk(kBody) + "0\r\n\r\n";
  for (const char* framing :
       {"Transfer-Encoding: gzip, chunked\r\n", "Transfer-Encoding: chunked, chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 12\r\n",
        "Content-Length: 12\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding : chunked\r\n"}) {
    add("HTTP/1.1 200 OK", framing, chunked_body);
  }
  add("HTTP/1.0 200 OK", kChunked, chunked_body);
  return invalid;
}

std::vector<Answer> ShortStreams() {
  const std::string length = std::string(kEventStream) + "Content-Length: 12\r\n";
  std::vector<Answer> cut = CutHeads(Head("200 OK", kEventStream));
  cut.push_back({"no body", Head("200 OK", length), 0, "", Ending::kClose});
  cut.push_back({"short body", Head("200 OK", length), 0, "id: 1\n", Ending::kClose});
  cut.push_back(
      {"no chunk", Head("200 OK", std::string(kEventStream) + kChunked), 0, "", Ending::kClose});
  cut.push_back({"no length, reset", Head("200 OK", kEventStream), 0, "", Ending::kReset});
  cut.push_back({"no length, cut event", Head("200 OK", kEventStream), 0, "id: 1", Ending::kClose});
  return cut;
}

/// Returns what a caller gets whose HEAD request an endpoint answers with a length of 12.
Received ReplyToHead() {
  PlatformWorld world;
  ScriptedEndpoints endpoints(
      world.loop.GetExecutor(),
      {{"head", Head("200 OK", "Content-Length: 12\r\n"), 0, "", Ending::kClose}});
  Received received;
  world.Run([&]() -> Task<void> {
    endpoints.List(*world.store, "orders");
    co_await world.Start();
    std::string request = RequestText({"/look/x", "HTTP/1.1", kLongDeadline});
    request.replace(0, 4, "HEAD");
    received = co_await SendRequest(world.daemon->CallerAddress(), std::move(request));
  });
  return received;
}

/// Returns what a caller gets that closes its sending side within a stream without chunks.
Received StreamToCallerThatHasClosedItsSide() {
  EventLoop loop;
  HttpServer server(
      loop.GetExecutor(), HttpServerLimits(),
      [](HttpExchange& exchange) -> Task<void> {
        co_await exchange.StartStream(200, HttpHeaders());
        co_await exchange.WriteChunk(AllEvents(1, kEventsBeforeFault));
        while (!exchange.ClientDisconnected()) co_await Sleep(kSettleTime);
        co_await exchange.WriteChunk(AllEvents(kEventsBeforeFault + 1, kWholeStreamEvents));
        co_await exchange.FinishStream();
      },
      [](HttpRejection) {
        return HttpReply{400, {}, ""};
      });
  server.Listen("127.0.0.1:0");
  Received received;
  Spawn(loop.GetExecutor(), [&]() -> Task<void> {
    const std::optional<SocketAddress> to = ParseSocketAddress(server.Address());
    tcp::socket socket(loop.GetExecutor());
    co_await socket.async_connect({asio::ip::make_address(to->ip), to->port},
                                  internal::kCompletion);
    const std::string request = RequestText({"/stream/x", "HTTP/1.0", kLongDeadline});
    co_await asio::async_write(socket, asio::buffer(request), internal::kCompletion);
    co_await Sleep(kForwardTime);
    socket.shutdown(tcp::socket::shutdown_send);
    std::string bytes;
    const internal::IoResult read =
        co_await asio::async_read(socket, asio::dynamic_buffer(bytes), internal::kCompletion);
    received = ParseReply(std::move(bytes), std::get<0>(read) == asio::error::eof);
    loop.Stop();
  });
  loop.Run();
  loop.DestroyPendingWork();
  return received;
}

}  // namespace

// Guards against bytes of the next engine's failure in a stream that goes on at a third engine.
Test(broken_answers, failure_of_next_engine_in_continued_stream) {
  for (const char* version : kVersions) CheckEachPair(version, true);
}

// Guards against a chunked stream that broke off for good and looks whole or has foreign bytes.
Test(broken_answers, cut_chunked_stream_taken_for_whole) { CheckEachPair("HTTP/1.1", false); }

// Guards against a stream that its caller sees close cleanly though it broke off for good.
Test(broken_answers, cut_close_delimited_stream_taken_for_whole) {
  CheckEachPair("HTTP/1.0", false);
}

// Guards against a whole stream whose caller sees its connection reset.
Test(broken_answers, whole_stream_taken_for_cut) {
  for (const char* version : kVersions) {
    CheckWholeStream(Play({"/stream/x", version, kLongDeadline}, {GoodStream()}), version);
  }
}

// Guards against a success that stands for an idempotent call whose replies were all cut.
Test(broken_answers, short_replies_to_idempotent_calls) {
  for (const Answer& cut : ShortCalls()) {
    const Received lost = Play({"/look/x", "HTTP/1.1", kLongDeadline}, {cut});
    cr_expect_eq(lost.status, 502, "%s: %s", cut.name.c_str(), lost.bytes.c_str());
    const Received repeated = Play({"/look/x", "HTTP/1.0", kLongDeadline}, {cut, GoodCall()});
    cr_expect_eq(repeated.status, 200, "%s: %d", cut.name.c_str(), repeated.status);
    cr_expect(repeated.is_whole && repeated.body == kBody, "%s: %s", cut.name.c_str(),
              repeated.bytes.c_str());
  }
}

// Guards against a non-idempotent call that is answered with a cut reply or sent again.
Test(broken_answers, short_replies_to_non_idempotent_calls) {
  for (const Answer& cut : ShortCalls()) {
    int requests = 0;
    const Received lost =
        Play({"/place/x", "HTTP/1.1", kLongDeadline}, {cut, GoodCall()}, &requests);
    cr_expect_eq(lost.status, 502, "%s: %s", cut.name.c_str(), lost.bytes.c_str());
    cr_expect_eq(requests, 1, "%s: %d requests", cut.name.c_str(), requests);
  }
}

// Guards against a stream that looks whole to its client because the server was closed.
Test(broken_answers, server_closed_within_stream) {
  for (const char* version : kVersions) CheckCutStream(CloseServerWithinStream(version), version);
}

// Guards against more repetitions of a call than its route allows when a kept connection breaks.
Test(broken_answers, cut_head_on_kept_connection) {
  Answer kept = GoodCall();
  kept.ending = Ending::kStayOpen;
  const std::string cut = "HTTP/1.1 200 OK\r\nFulmarpoint";
  const int requests = RequestsOfSecondCall({kept, {"cut", cut, 0, "", Ending::kClose}});
  cr_expect_eq(requests, 2, "%d requests", requests);
}

// Guards against an empty or short stream that looks whole because its engine ended in the head.
Test(broken_answers, short_replies_to_streams) {
  for (const Answer& cut : ShortStreams()) {
    const Received whole = Play({"/stream/x", "HTTP/1.0", kLongDeadline}, {cut, GoodStream()});
    CheckWholeStream(whole, cut.name);
    const Received lost = Play({"/stream/x", "HTTP/1.1", kShortDeadline}, {cut});
    cr_expect_geq(lost.status, 500, "%s: %s", cut.name.c_str(), lost.bytes.c_str());
  }
}

// Guards against replies with an invalid head or contradictory framing that a caller gets as the
// endpoint's reply, and against non-idempotent calls that are sent again after one.
Test(broken_answers, invalid_replies_to_calls) {
  for (const Answer& invalid : InvalidReplies("")) {
    int requests = 0;
    const Received lost =
        Play({"/place/x", "HTTP/1.1", kLongDeadline}, {invalid, GoodCall()}, &requests);
    cr_expect_eq(lost.status, 502, "%s: %s", invalid.name.c_str(), lost.bytes.c_str());
    cr_expect_eq(requests, 1, "%s: %d requests", invalid.name.c_str(), requests);
    const Received repeated = Play({"/look/x", "HTTP/1.1", kLongDeadline}, {invalid, GoodCall()});
    cr_expect(repeated.is_whole && repeated.body == kBody, "%s: %s", invalid.name.c_str(),
              repeated.bytes.c_str());
  }
}

// As above, for streams: the next engine runs them.
Test(broken_answers, invalid_replies_to_streams) {
  for (const char* type : {"", kEventStream}) {
    for (const Answer& invalid : InvalidReplies(type)) {
      CheckWholeStream(Play({"/stream/x", "HTTP/1.1", kLongDeadline}, {invalid, GoodStream()}),
                       invalid.name);
    }
  }
}

// Guards against a reply that a caller gets as the endpoint's although the endpoint has switched to
// another protocol before.
Test(broken_answers, a_reply_after_switched_protocols_is_broken) {
  const Answer switched = {"101 before the reply",
                           "HTTP/1.1 101 Switching Protocols\r\n\r\n" + GoodCall().head, 0, "",
                           Ending::kClose};
  const Received lost = Play({"/place/x", "HTTP/1.1", kLongDeadline}, {switched, GoodCall()});
  cr_assert_eq(lost.status, 502, "%s", lost.bytes.c_str());
}

// Guards against a folded field line that reaches the caller as two lines: the standard asks a
// relay to reject it or to replace the fold with a blank.
Test(broken_answers, a_folded_line_is_passed_on_as_one) {
  const std::string length = "Content-Length: 12\r\n";
  const Answer folded = {"folded line", Head("200 OK", length + "X: a\r\n b\r\n") + kBody, 0, "",
                         Ending::kClose};
  const Received received = Play({"/place/x", "HTTP/1.1", kLongDeadline}, {folded});
  cr_assert_eq(received.status, 200, "%s", received.bytes.c_str());
  cr_assert_neq(received.bytes.find("\r\nX: a b\r\n"), std::string::npos, "%s",
                received.bytes.c_str());
  cr_assert(received.is_whole && received.body == kBody, "%s", received.bytes.c_str());
}

// Guards against a reply to HEAD that states a length of 0 where the endpoint states another one.
Test(broken_answers, a_reply_to_head_states_no_other_length) {
  const Received received = ReplyToHead();
  cr_assert_eq(received.status, 200, "%s", received.bytes.c_str());
  cr_assert_eq(received.bytes.find("Content-Length: 0\r\n"), std::string::npos, "%s",
               received.bytes.c_str());
}

// Guards against a stream without chunks that ends as complete although a part was not written,
// because the caller has closed its sending side.
Test(broken_answers, a_stream_whose_last_part_was_not_written_does_not_end_as_whole) {
  const Received received = StreamToCallerThatHasClosedItsSide();
  cr_assert_not(received.is_whole && received.body != AllEvents(1, kWholeStreamEvents), "%s",
                received.bytes.c_str());
}
