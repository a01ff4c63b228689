#include <criterion/criterion.h>

#include <boost/asio/io_context.hpp>
#include <string>

#include "raw_connection.h"
#include "transport/http_server.h"

using namespace fulmarpoint;

namespace {

const char kRequest[] = "GET /order HTTP/1.1\r\nHost: a\r\n\r\n";
const char kBody[] = "confirmed";
constexpr int kMostSteps = 40;

enum class Stop { kStopAccepting, kClose };

/// Part of a request that the client sends before the server accepts, between two of the server's
/// steps, and after the stop.
struct Parts {
  std::string before;
  std::string between;
  std::string after;
};

struct Outcome {
  int handled = 0;
  int handled_disconnected = 0;
  int answered = 0;
  /// Connections that wait after the stop, once the server has done all that it could.
  std::size_t waiting = 0;
};

struct Handler {
  Outcome outcome;

  Task<void> Confirm(HttpExchange& exchange) {
    ++outcome.handled;
    if (exchange.ClientDisconnected()) ++outcome.handled_disconnected;
    HttpReply reply;
    reply.body = kBody;
    co_await exchange.Respond(std::move(reply));
  }
};

int CountAnswers(const std::string& text) {
  int count = 0;
  for (std::size_t at = text.find(kBody); at != std::string::npos; at = text.find(kBody, at + 1)) {
    ++count;
  }
  return count;
}

HttpServerLimits Limits() {
  HttpServerLimits limits;
  limits.head_timeout = std::chrono::milliseconds(100);
  return limits;
}

/// Stops a server after `steps` of its event handlers and lets it end.
Outcome StopAfter(int steps, Stop stop, const Parts& parts) {
  boost::asio::io_context context(1);
  Handler handler;
  HttpServer server(
      context.get_executor(), Limits(),
      [&handler](HttpExchange& exchange) { return handler.Confirm(exchange); },
      [](HttpRejection) {
        return HttpReply{408, {}, "rejected"};
      });
  cr_assert_not(server.Listen("127.0.0.1:0"));
  RawConnection client(server.Address());
  client.Send(parts.before);
  for (int step = 0; step < steps; ++step) {
    if (step == steps / 2) client.Send(parts.between);
    context.poll_one();
  }
  if (stop == Stop::kStopAccepting) server.StopAccepting();
  if (stop == Stop::kClose) server.Close();
  client.Send(parts.after);
  context.poll();
  handler.outcome.waiting = server.ConnectionCount();
  while (server.ConnectionCount() > 0) context.run_one();
  handler.outcome.answered = CountAnswers(client.ReadAll());
  return handler.outcome;
}

/// Stops a server after each number of steps and checks that each request that was handled is
/// answered. Returns the number of runs in which one was handled.
int CheckEachStep(const Parts& parts) {
  int handled_runs = 0;
  for (int steps = 0; steps < kMostSteps; ++steps) {
    const Outcome outcome = StopAfter(steps, Stop::kStopAccepting, parts);
    cr_expect_eq(outcome.handled, outcome.answered, "after %d steps: %d handled, %d answered",
                 steps, outcome.handled, outcome.answered);
    if (outcome.handled > 0) ++handled_runs;
  }
  return handled_runs;
}

}  // namespace

// Guards against a request that is passed on and run while its connection is closed as idle.
Test(stopping_server, request_read_as_the_listener_closes_is_not_handled_without_an_answer) {
  const int handled_runs = CheckEachStep({kRequest, "", ""});
  cr_assert_gt(handled_runs, 0);
  cr_assert_lt(handled_runs, kMostSteps);
}

// Guards against a close between two requests that drops one which has been read.
Test(stopping_server, request_on_a_kept_connection_is_not_handled_without_an_answer) {
  cr_assert_gt(CheckEachStep({kRequest, kRequest, ""}), 0);
  cr_assert_gt(CheckEachStep({std::string(kRequest) + kRequest, "", ""}), 0);
}

// Guards against a close that cuts a request which has begun to arrive.
Test(stopping_server, request_whose_head_has_begun_is_not_handled_without_an_answer) {
  const std::string request = kRequest;
  cr_assert_gt(CheckEachStep({request.substr(0, 9), request.substr(9), ""}), 0);
  cr_assert_gt(CheckEachStep({request.substr(0, 9), "", request.substr(9)}), 0,
               "the rest comes after the stop");
}

// Guards against a request that is passed on after its connection has been aborted.
Test(stopping_server, aborted_connection_has_no_request_handled) {
  int handled_runs = 0;
  for (int steps = 0; steps < kMostSteps; ++steps) {
    const Outcome outcome = StopAfter(steps, Stop::kClose, {kRequest, "", ""});
    cr_expect_eq(outcome.handled_disconnected, 0, "after %d steps", steps);
    if (outcome.handled > 0) ++handled_runs;
  }
  cr_assert_gt(handled_runs, 0);
  cr_assert_lt(handled_runs, kMostSteps);
}

// Guards against a stop that is held up by connections on which nothing has arrived.
Test(stopping_server, connection_without_a_request_ends_at_once) {
  for (int steps = 0; steps < kMostSteps; ++steps) {
    const Outcome outcome = StopAfter(steps, Stop::kStopAccepting, {"", "", ""});
    cr_expect_eq(outcome.waiting, 0u, "after %d steps", steps);
  }
}
