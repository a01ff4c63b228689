#include <criterion/criterion.h>

#include "endless_endpoint.h"
#include "platform_world.h"

using namespace fulmarpoint;

namespace {

constexpr std::size_t kAnswerMemory = std::size_t{1024} * 1024;
// Limit on the data that the daemon and the socket buffers in between hold.
constexpr std::size_t kMaxWrittenBytes = std::size_t{12} * 1024 * 1024;

/// A reply that never ends: a beginning, and a part that is repeated until the connection is
/// closed.
struct EndlessBytes {
  const char* name;
  const char* begin;
  const char* repeated;
};

constexpr char kSealedHead[] =
    "HTTP/1.1 200 OK\r\nFulmarpoint-Server-Seal: s\r\nFulmarpoint-Request-Id: r1\r\n";

const EndlessBytes kHeads[] = {
    {"no line ends", "", "x"},
    {"a header line does not end", "HTTP/1.1 200 OK\r\nName: ", "x"},
    {"headers do not end", "HTTP/1.1 200 OK\r\n", "Name: value\r\n"},
    {"informational replies", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"line ends", "", "\r\n"},
};

const EndlessBytes kBodies[] = {
    {"a body without a length", "\r\n", "x"},
    {"chunks", "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
    {"a chunk's line does not end", "Transfer-Encoding: chunked\r\n\r\n", "1"},
    {"a long body", "Content-Length: 1000000000000\r\n\r\n", "x"},
    {"trailers", "Transfer-Encoding: chunked\r\n\r\n0\r\n", "Name: value\r\n"},
};

const EndlessBytes kEvents[] = {
    {"an event does not end", "", "x"},
    {"comments", "", ": x\n\n"},
    {"events without a number", "id: 1\ndata: 1\n\n", "data: x\n\n"},
    {"the same event", "id: 1\ndata: 1\n\n", "id: 1\ndata: 1\n\n"},
};

/// Sends a request that reaches the endless endpoint while there is another one, and checks that
/// the daemon closes the endless connection and has read only a limited amount from it.
Task<HttpResult> SendToEndless(PlatformWorld& world, const EndlessBytes& bytes, std::string begin,
                               const std::string& service, std::string target) {
  EndlessEndpoint endless(world.loop.GetExecutor(), std::move(begin), bytes.repeated);
  world.settings.max_body_bytes = kAnswerMemory;
  world.store->Put("servers", "i-endless", endless.Row(service));
  // Calls prefer the daemon's own failure domain. A stream may meet either engine first.
  const bool is_call = service == "orders";
  if (is_call) world.AddEndpoint(service, "b");
  co_await world.Start();
  if (!is_call) {
    Spawn(world.loop.GetExecutor(), [&]() -> Task<void> {
      co_await PlatformWorld::WaitFor([&endless]() { return endless.requests > 0; });
      world.AddEndpoint(service, "b");
    });
  }
  HttpResult result = co_await world.Send("POST", std::move(target));
  co_await PlatformWorld::WaitFor([&endless]() { return endless.closed == endless.requests; });
  cr_assert(endless.requests == 1 || !is_call, "%s", bytes.name);
  cr_assert_leq(endless.max_written, kMaxWrittenBytes, "%s: %zu", bytes.name, endless.max_written);
  world.daemon.reset();
  co_return result;
}

void CheckEndlessAnswer(const EndlessBytes& bytes, const std::string& begin,
                        const std::string& service, const std::string& target,
                        const std::function<void(const HttpResult&)>& check) {
  PlatformWorld world;
  world.Run([&]() -> Task<void> {
    const HttpResult result = co_await SendToEndless(world, bytes, begin, service, target);
    cr_assert_not(result.error, "%s: %s", bytes.name, result.error.message().c_str());
    check(result);
  });
}

std::string WholeStream(int events) {
  std::string whole;
  for (int event = 1; event <= events; ++event) {
    whole += "id: " + std::to_string(event) + "\n";
  }
  return whole;
}

/// Returns the lines of a stream that number its events.
std::string NumberLines(const std::string& body) {
  std::string lines;
  for (std::size_t at = 0; at < body.size();) {
    const std::size_t end = body.find('\n', at);
    const std::string line = body.substr(at, end - at);
    if (line.substr(0, 3) == "id:")
      lines += "id: " + line.substr(line.find_first_of("123456789")) + "\n";
    at = end + 1;
  }
  return lines;
}

}  // namespace

// Guards against a daemon that reads an endless reply head until it is out of memory or the
// request's deadline has passed.
Test(endless_answers, heads) {
  for (const EndlessBytes& bytes : kHeads) {
    CheckEndlessAnswer(bytes, bytes.begin, "orders", "/look/x", [&bytes](const HttpResult& result) {
      cr_assert_eq(result.reply.status, 200, "%s: sent to the other endpoint", bytes.name);
    });
    CheckEndlessAnswer(bytes, bytes.begin, "orders", "/place/x",
                       [&bytes](const HttpResult& result) {
                         cr_assert_eq(result.reply.status, 502, "%s: it may have run", bytes.name);
                       });
  }
}

// Guards against endless bodies that fill the daemon's memory, with and without an endpoint's seal.
Test(endless_answers, bodies) {
  for (const EndlessBytes& bytes : kBodies) {
    for (const std::string& head : {std::string(kSealedHead), std::string("HTTP/1.1 200 OK\r\n")}) {
      CheckEndlessAnswer(
          bytes, head + bytes.begin, "orders", "/look/x", [&bytes](const HttpResult& result) {
            cr_assert_eq(result.reply.status, 200, "%s: sent to the other endpoint", bytes.name);
            cr_assert_lt(result.reply.body.size(), 100u, "%s", bytes.name);
          });
    }
  }
}

// Guards against streams that are delayed by endless reply heads.
Test(endless_answers, heads_of_streams) {
  for (const EndlessBytes& bytes : kHeads) {
    CheckEndlessAnswer(
        bytes, bytes.begin, "drafts", "/stream/x", [&bytes](const HttpResult& result) {
          cr_assert_eq(result.reply.status, 200, "%s", bytes.name);
          cr_assert(NumberLines(result.reply.body) == WholeStream(10), "%s", bytes.name);
        });
  }
}

// Guards against endless data that is forwarded to the caller as events, or keeps an attempt
// without progress alive.
Test(endless_answers, events) {
  for (const EndlessBytes& bytes : kEvents) {
    const std::string head = std::string(kSealedHead) + "Content-Type: text/event-stream\r\n\r\n";
    CheckEndlessAnswer(
        bytes, head + bytes.begin, "drafts", "/stream/x", [&bytes](const HttpResult& result) {
          cr_assert_eq(result.reply.status, 200, "%s", bytes.name);
          cr_assert(NumberLines(result.reply.body) == WholeStream(10), "%s", bytes.name);
          cr_assert_lt(result.reply.body.size(), 64u * 1024, "%s", bytes.name);
        });
  }
}
