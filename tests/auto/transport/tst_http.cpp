#include <criterion/criterion.h>

#include <atomic>

#include "raw_connection.h"
#include "run_task.h"
#include "transport/http_client.h"
#include "transport/http_server.h"
#include "transport/notification.h"

using namespace fulmarpoint;

namespace {

HttpReply RejectionReply(HttpRejection rejection) {
  return {400 + static_cast<int>(rejection), {}, "rejected"};
}

Task<void> Echo(HttpExchange& exchange) {
  HttpReply reply;
  reply.headers.push_back({"X-Method", exchange.Request().method});
  reply.body = exchange.Request().target + " " + exchange.Request().body;
  co_await exchange.Respond(reply);
}

// The coroutines are free functions because GCC 12 generates clashing symbols for coroutine lambdas
// inside a Criterion test, which has C linkage.
Task<void> NeverAnswer(HttpExchange&) { co_await Sleep(std::chrono::hours(1)); }

Task<void> SendEvents(HttpExchange& exchange) {
  HttpHeaders headers = {{"Content-Type", "text/event-stream"}};
  co_await exchange.StartStream(200, headers);
  co_await exchange.WriteChunk("id: 1\ndata: a\n\nid: 2\r\nda");
  co_await exchange.WriteChunk("ta: b\r\n\r\n: comment\n\nevent: done\ndata: c\ndata: d\n\n");
  co_await exchange.FinishStream();
}

Task<void> SendTruncatedEvents(HttpExchange& exchange) {
  HttpHeaders headers = {{"Content-Type", "text/event-stream"}};
  co_await exchange.StartStream(200, headers);
  co_await exchange.WriteChunk("data: a\n\n");
}

struct DisconnectObserver {
  std::promise<void> started;
  std::promise<void> disconnected;

  HttpHandler Handler() {
    return [this](HttpExchange& exchange) { return Observe(exchange); };
  }
  Task<void> Observe(HttpExchange& exchange) {
    const Executor strand = co_await CurrentExecutor();
    Notification notification(strand);
    exchange.OnClientDisconnect([&]() { notification.Notify(); });
    started.set_value();
    co_await notification.Wait();
    disconnected.set_value();
  }
};

/// Returns the events of a stream as text, followed by "error" if the stream ends with one.
Task<std::string> ReadEvents(HttpClient& client, std::string address) {
  HttpClientRequest request;
  request.address = std::move(address);
  HttpStreamResult opened = co_await client.OpenStream(request);
  std::string all;
  while (opened.stream) {
    const HttpEvent event = co_await opened.stream->Next();
    if (event.error) all += "error";
    if (event.error || event.end) break;
    all += event.id + "," + event.event + "," + event.data + ";";
  }
  co_return all;
}

HttpServerLimits SmallLimits() {
  HttpServerLimits limits;
  limits.head_bytes = 2048;
  limits.body_bytes = 1000;
  limits.url_bytes = 100;
  limits.head_timeout = std::chrono::milliseconds(200);
  return limits;
}

struct Fixture {
  explicit Fixture(HttpHandler handler, HttpServerLimits limits = SmallLimits())
      : server(pool.GetExecutor(), limits, std::move(handler), RejectionReply),
        client(pool.GetExecutor(), {}) {
    cr_assert_not(server.Listen("127.0.0.1:0"));
  }

  HttpResult Send(HttpClientRequest request) {
    if (request.address.empty()) request.address = server.Address();
    return RunTask<HttpResult>(pool, [&]() { return client.Send(request); });
  }

  WorkerPool pool{2};
  HttpServer server;
  HttpClient client;
};

}  // namespace

Test(http, request_and_reply_reuse_one_connection) {
  Fixture fixture(Echo);
  for (int i = 0; i < 3; ++i) {
    HttpClientRequest request;
    request.method = "POST";
    request.target = "/a?b=c";
    request.body = "body";
    const HttpResult result = fixture.Send(request);
    cr_assert_not(result.error, "%s", result.error.message().c_str());
    cr_assert_eq(result.reply.body, "/a?b=c body");
    cr_assert_eq(*FindHeader(result.reply.headers, "x-method"), "POST");
  }
  cr_assert_eq(fixture.server.ConnectionCount(), 1);
  cr_assert_eq(fixture.client.IdleConnectionCount(), 1);
}

// Guards against reporting that a request may have run although it can't have been received.
Test(http, refused_connection_reports_that_nothing_was_written) {
  Fixture fixture(Echo);
  HttpClientRequest request;
  request.address = "127.0.0.1:1";
  const HttpResult result = fixture.Send(request);
  cr_assert(result.error);
  cr_assert(result.nothing_written);
}

// Guards against reporting that a request has not run although the peer received it before it
// failed.
Test(http, lost_reply_reports_that_the_request_may_have_been_written) {
  Fixture fixture(NeverAnswer);
  HttpClientRequest request;
  request.timeout = std::chrono::milliseconds(50);
  const HttpResult result = fixture.Send(request);
  cr_assert_eq(result.error, std::errc::timed_out);
  cr_assert_not(result.nothing_written);
  fixture.pool.Stop();
}

// Guards against header injection through values supplied by a caller.
Test(http, header_with_line_feed_is_not_sent) {
  Fixture fixture(Echo);
  HttpClientRequest request;
  request.headers.push_back({"X-Name", "a\r\nX-Other: b"});
  const HttpResult result = fixture.Send(request);
  cr_assert(result.error);
  cr_assert(result.nothing_written);
}

Test(http, exceeded_limits_are_answered_with_their_rejection) {
  Fixture fixture(Echo);
  HttpClientRequest request;
  request.method = "POST";
  request.body = std::string(1001, 'x');
  cr_assert_eq(fixture.Send(request).reply.status,
               400 + static_cast<int>(HttpRejection::kBodyTooLarge));
  request.body = "";
  request.target = "/" + std::string(100, 'x');
  cr_assert_eq(fixture.Send(request).reply.status,
               400 + static_cast<int>(HttpRejection::kUrlTooLong));
  request.target = "/";
  request.headers.push_back({"X-Long", std::string(2048, 'x')});
  cr_assert_eq(fixture.Send(request).reply.status,
               400 + static_cast<int>(HttpRejection::kHeadTooLarge));
  // The server closes a connection after a rejection; otherwise the test times out here.
  while (fixture.server.ConnectionCount() > 0) ::usleep(1000);
}

// Guards against a chunked body that escapes the limit because it has no Content-Length.
Test(http, chunked_body_over_the_limit_is_rejected) {
  Fixture fixture(Echo);
  RawConnection raw(fixture.server.Address());
  raw.Send("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (int i = 0; i < 3; ++i) raw.Send("200\r\n" + std::string(512, 'x') + "\r\n");
  const std::string expected =
      "HTTP/1.1 " + std::to_string(400 + static_cast<int>(HttpRejection::kBodyTooLarge));
  cr_assert_eq(raw.ReadAll().substr(0, 12), expected);
}

// Guards against clients that keep connections occupied by sending a request very slowly.
Test(http, slow_request_is_timed_out) {
  Fixture fixture(Echo);
  RawConnection raw(fixture.server.Address());
  raw.Send("GET / HTTP/1.1\r\n");
  const std::string expected =
      "HTTP/1.1 " + std::to_string(400 + static_cast<int>(HttpRejection::kTimeout));
  cr_assert_eq(raw.ReadAll().substr(0, 12), expected);
}

Test(http, connections_over_the_limit_are_rejected) {
  HttpServerLimits limits = SmallLimits();
  limits.connections = 1;
  limits.head_timeout = std::chrono::seconds(30);
  Fixture fixture(Echo, limits);
  RawConnection first(fixture.server.Address());
  first.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  cr_assert_eq(first.ReadSome().substr(0, 12), "HTTP/1.1 200");
  const HttpResult second = fixture.Send({});
  cr_assert_eq(second.reply.status, 400 + static_cast<int>(HttpRejection::kTooManyConnections));
}

Test(http, pipelined_requests_are_answered_in_order) {
  Fixture fixture(Echo);
  RawConnection raw(fixture.server.Address());
  raw.Send(
      "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  const std::string all = raw.ReadAll();
  cr_assert_lt(all.find("/1 "), all.find("/2 "));
  cr_assert_neq(all.find("/2 "), std::string::npos);
}

Test(http, streamed_events_arrive_one_by_one) {
  Fixture fixture(SendEvents);
  const std::string text = RunTask<std::string>(
      fixture.pool, [&]() { return ReadEvents(fixture.client, fixture.server.Address()); });
  cr_assert_eq(text, "1,,a;2,,b;,done,c\nd;");
}

// Guards against a truncated stream that is reported as complete.
Test(http, stream_without_its_last_chunk_is_an_error) {
  Fixture fixture(SendTruncatedEvents);
  const std::string text = RunTask<std::string>(
      fixture.pool, [&]() { return ReadEvents(fixture.client, fixture.server.Address()); });
  cr_assert_eq(text, ",,a;error");
}

// Guards against endpoints that keep working for callers who have disconnected.
Test(http, handler_is_notified_when_the_client_disconnects) {
  DisconnectObserver observer;
  Fixture fixture(observer.Handler());
  RawConnection raw(fixture.server.Address());
  raw.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  observer.started.get_future().wait();
  raw.Close();
  observer.disconnected.get_future().wait();
}

Test(http, stopping_closes_idle_connections) {
  Fixture fixture(Echo);
  RawConnection raw(fixture.server.Address());
  raw.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  cr_assert_eq(raw.ReadSome().substr(0, 12), "HTTP/1.1 200");
  fixture.server.StopAccepting();
  cr_assert_eq(raw.ReadAll(), "");
}

// Guards against the reuse of a pooled connection that the server has closed.
Test(http, closed_idle_connection_is_not_used_again) {
  HttpServerLimits limits = SmallLimits();
  limits.idle_timeout = std::chrono::milliseconds(1);
  Fixture fixture(Echo, limits);
  for (int i = 0; i < 20; ++i) {
    cr_assert_not(fixture.Send({}).error);
    while (fixture.server.ConnectionCount() > 0) ::usleep(1000);
    ::usleep(1000);
  }
}
