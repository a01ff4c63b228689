#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

// A macro of Criterion breaks Boost headers that follow it.
#include <criterion/criterion.h>

#include <cstdlib>
#include <string>
#include <vector>

#include "platform_world.h"
#include "raw_caller.h"
#include "transport/address.h"
#include "transport/internal/completion.h"

using namespace fulmarpoint;
namespace asio = boost::asio;

namespace {

constexpr int kEvents = 60;
// The events together are more than the kernel holds for a caller that does not read, and fewer
// than the daemon queues.
constexpr std::size_t kEventPadding = 6000;
// Time in which the daemon reads the end of the engine's reply.
constexpr Duration kSettleTime = std::chrono::milliseconds(100);
constexpr std::size_t kMaxReplyBytes = std::size_t{4} * 1024 * 1024;
constexpr char kLastChunk[] = "0\r\n\r\n";

std::string StreamRequest(const std::string& target, const std::string& version) {
  return "POST " + target + " HTTP/" + version +
         "\r\nHost: h.example\r\nAuthorization: Bearer key-1\r\nFulmarpoint-Request-Id: r1\r\n"
         "Fulmarpoint-Deadline-Ms: 15000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
}

std::vector<int> NumbersOf(const std::string& body) {
  std::vector<int> numbers;
  for (std::size_t at = body.find("id: "); at != std::string::npos; at = body.find("id: ", at + 1))
    numbers.push_back(std::atoi(body.c_str() + at + 4));
  return numbers;
}

std::vector<int> NumbersUpTo(int last) {
  std::vector<int> numbers;
  for (int number = 1; number <= last; ++number) numbers.push_back(number);
  return numbers;
}

bool EndsWithLastChunk(const std::string& body) {
  const std::size_t size = sizeof kLastChunk - 1;
  return body.size() >= size && body.compare(body.size() - size, size, kLastChunk) == 0;
}

void MakeEventsLong(EndpointStandin& engine) {
  engine.total_events = kEvents;
  engine.event_padding = kEventPadding;
  engine.event_interval = Duration::zero();
}

/// Sends a request and reads nothing of its reply before `condition` holds.
Task<std::string> ReadLate(PlatformWorld& world, std::string request,
                           std::function<bool()> condition) {
  RawCaller caller(world.loop.GetExecutor());
  co_await caller.Connect(world.daemon->CallerAddress());
  co_await caller.Send(std::move(request));
  co_await PlatformWorld::WaitFor(std::move(condition));
  co_await Sleep(kSettleTime);
  const std::string head = co_await caller.ReadHead();
  cr_assert(head.find(" 200 ") != std::string::npos, "%s", head.c_str());
  co_return co_await caller.ReadBody(kMaxReplyBytes);
}

Task<void> WholeStream(PlatformWorld& world, std::string target, std::string version) {
  EndpointStandin& engine = world.AddEndpoint("drafts", "a");
  MakeEventsLong(engine);
  co_await world.Start();
  const std::string body = co_await ReadLate(world, StreamRequest(target, version),
                                             [&engine]() { return engine.has_finished_stream; });
  cr_assert(NumbersOf(body) == NumbersUpTo(kEvents), "%zu events", NumbersOf(body).size());
  cr_assert_eq(EndsWithLastChunk(body), version == "1.1");
}

Task<void> ResumableStream(PlatformWorld& world) { return WholeStream(world, "/stream/x", "1.1"); }

Task<void> StreamThatRunsOnce(PlatformWorld& world) {
  return WholeStream(world, "/stream/once/x", "1.1");
}

Task<void> OldCaller(PlatformWorld& world) { return WholeStream(world, "/stream/x", "1.0"); }

Task<void> BrokenStream(PlatformWorld& world) {
  EndpointStandin& engine = world.AddEndpoint("drafts", "a");
  MakeEventsLong(engine);
  engine.behaviour = EndpointBehaviour::kBreak;
  engine.events_before_fault = kEvents - 1;
  co_await world.Start();
  const std::string body = co_await ReadLate(world, StreamRequest("/stream/once/x", "1.1"),
                                             [&engine]() { return engine.sent == kEvents - 1; });
  cr_assert(NumbersOf(body) == NumbersUpTo(kEvents - 1), "%zu events", NumbersOf(body).size());
  cr_assert_not(EndsWithLastChunk(body));
}

// Longer than a stream without a KV cache backup may be silent.
constexpr Duration kPauseOfCaller = std::chrono::milliseconds(1500);
// Events that together are more than the daemon queues.
constexpr int kManyEvents = 200;

Task<void> PausingCaller(PlatformWorld& world) {
  for (const char* domain : {"a", "b"}) {
    EndpointStandin& engine = world.AddEndpoint("drafts", domain);
    MakeEventsLong(engine);
    engine.total_events = kManyEvents;
  }
  co_await world.Start();
  const TimePoint until = SteadyNow() + kPauseOfCaller;
  const std::string body = co_await ReadLate(world, StreamRequest("/stream/x", "1.1"),
                                             [until]() { return SteadyNow() >= until; });
  cr_assert(NumbersOf(body) == NumbersUpTo(kManyEvents), "%zu events", NumbersOf(body).size());
  cr_assert(EndsWithLastChunk(body));
  cr_assert_eq(world.endpoints[0]->seen.size() + world.endpoints[1]->seen.size(), 1u);
}

/// Reads nothing for longer than an engine may be silent, and then as fast as it can. The daemon
/// empties its queue then, before it reads from the engine again.
Task<void> QuickPausingCaller(PlatformWorld& world) {
  for (const char* domain : {"a", "b"}) {
    EndpointStandin& engine = world.AddEndpoint("drafts", domain);
    MakeEventsLong(engine);
    engine.total_events = kManyEvents;
  }
  co_await world.Start();
  const std::optional<SocketAddress> to = ParseSocketAddress(world.daemon->CallerAddress());
  asio::ip::tcp::socket socket(world.loop.GetExecutor());
  co_await socket.async_connect({asio::ip::make_address(to->ip), to->port}, internal::kCompletion);
  const std::string request = StreamRequest("/stream/x", "1.1");
  co_await asio::async_write(socket, asio::buffer(request), internal::kCompletion);
  co_await Sleep(kPauseOfCaller);
  std::string reply;
  co_await asio::async_read(socket, asio::dynamic_buffer(reply), internal::kCompletion);
  cr_assert(NumbersOf(reply) == NumbersUpTo(kManyEvents), "%zu events", NumbersOf(reply).size());
  cr_assert_eq(world.endpoints[0]->seen.size() + world.endpoints[1]->seen.size(), 1u);
}

}  // namespace

// Guards against a stream that ends as complete without the events that were queued for a slow
// caller.
Test(slow_callers, a_stream_ends_only_after_its_last_event) { RunTest(&ResumableStream); }

// As above, for a stream that may run once only and so cannot be resumed by anybody.
Test(slow_callers, a_stream_that_runs_once_ends_only_after_its_last_event) {
  RunTest(&StreamThatRunsOnce);
}

// As above, for a caller to whom only the end of the connection says that the stream is complete.
Test(slow_callers, a_stream_without_chunks_ends_only_after_its_last_event) { RunTest(&OldCaller); }

// Guards against events that arrived before their engine failed and never reach the caller.
Test(slow_callers, events_that_arrived_before_a_failure_are_delivered) { RunTest(&BrokenStream); }

// Guards against a second attempt, with its prompt read anew, because the daemon has stopped
// reading for a caller that pauses and takes the engine for silent.
Test(slow_callers, a_pause_of_the_caller_is_no_silence_of_the_engine) { RunTest(&PausingCaller); }

// As above, for a caller that takes what is queued before the daemon reads from the engine again.
Test(slow_callers, a_pause_of_a_quick_caller_is_no_silence_of_the_engine) {
  RunTest(&QuickPausingCaller);
}
