#include <criterion/criterion.h>
#include <malloc.h>

#include <cstdlib>
#include <new>
#include <vector>

#include "endless_endpoint.h"
#include "platform_world.h"

using namespace fulmarpoint;

namespace {

std::size_t live_bytes = 0;
std::size_t peak_bytes = 0;

/// Returns null if there is no memory.
void* TryAllocate(std::size_t size) noexcept {
  void* const memory = std::malloc(size);
  if (memory == nullptr) return nullptr;
  live_bytes += malloc_usable_size(memory);
  peak_bytes = std::max(peak_bytes, live_bytes);
  return memory;
}

void* Allocate(std::size_t size) {
  void* const memory = TryAllocate(size);
  if (memory == nullptr) throw std::bad_alloc();
  return memory;
}

void Free(void* memory) noexcept {
  if (memory != nullptr) live_bytes -= malloc_usable_size(memory);
  std::free(memory);
}

}  // namespace

// The program runs one thread.
void* operator new(std::size_t size) { return Allocate(size); }
void* operator new(std::size_t size, const std::nothrow_t&) noexcept { return TryAllocate(size); }
void operator delete(void* memory) noexcept { Free(memory); }
void operator delete(void* memory, std::size_t) noexcept { Free(memory); }
void operator delete(void* memory, const std::nothrow_t&) noexcept { Free(memory); }

namespace {

constexpr std::size_t kReplyMemory = std::size_t{1024} * 1024;
// A string that grows may occupy twice its size.
constexpr std::size_t kMaxReplyMemory = 2 * kReplyMemory;
// For the head of a reply, the buffers of a connection, and the request itself.
constexpr std::size_t kMaxRequestMemory = std::size_t{128} * 1024;
constexpr std::size_t kEndpoints = 4;
constexpr std::size_t kRequests = 24;

constexpr char kOwnHead[] = "Fulmarpoint-Server-Seal: s\r\nFulmarpoint-Request-Id: r\r\n\r\n";

/// Sends requests at the same time to endpoints that reply with endless bodies, and returns the
/// statuses of the replies.
Task<std::vector<int>> SendToEndless(PlatformWorld& world, const std::string& begin,
                                     const std::string& service, const std::string& target) {
  std::vector<std::unique_ptr<EndlessEndpoint>> endless;
  for (std::size_t number = 0; number < kEndpoints; ++number) {
    endless.push_back(std::make_unique<EndlessEndpoint>(world.loop.GetExecutor(), begin, "x"));
    world.store->Put("servers", "i-endless-" + std::to_string(number),
                     endless.back()->Row(service));
  }
  world.settings.max_body_bytes = kReplyMemory;
  co_await world.Start();
  peak_bytes = live_bytes;
  const std::size_t before = live_bytes;
  std::vector<int> statuses;
  for (std::size_t number = 0; number < kRequests; ++number) {
    Spawn(world.loop.GetExecutor(), [&]() -> Task<void> {
      HttpHeaders headers = OneHeader("Fulmarpoint-Request-Id", "r");
      headers.push_back({"Fulmarpoint-Deadline-Ms", "2000"});
      const HttpResult result = co_await world.Send("POST", target, std::move(headers));
      statuses.push_back(result.error ? 0 : result.reply.status);
    });
  }
  co_await PlatformWorld::WaitFor([&]() { return statuses.size() == kRequests; });
  const std::size_t used = peak_bytes - before;
  cr_assert_leq(used, kMaxReplyMemory + kRequests * kMaxRequestMemory, "%zu bytes for %s", used,
                begin.c_str());
  world.daemon.reset();
  co_return statuses;
}

void CheckMemory(const std::string& begin, const std::string& service, const std::string& target,
                 const std::function<bool(int)>& is_expected) {
  PlatformWorld world;
  world.Run([&]() -> Task<void> {
    const std::vector<int> statuses = co_await SendToEndless(world, begin, service, target);
    for (const int status : statuses) cr_expect(is_expected(status), "%d", status);
  });
}

bool IsFailure(int status) { return status == 502 || status == 503; }

}  // namespace

// Guards against streams at an engine that replies without end, whose replies together take the
// daemon's memory.
Test(endless_memory, error_replies_to_streams_share_a_limit) {
  CheckMemory(std::string("HTTP/1.1 500 Failed\r\n") + kOwnHead, "drafts", "/stream/x", IsFailure);
}

// Guards against bodies that are read although they are not forwarded.
Test(endless_memory, bodies_that_are_not_forwarded_are_not_kept) {
  CheckMemory("HTTP/1.1 200 OK\r\nFulmarpoint-Request-Id: r\r\n\r\n", "drafts", "/stream/x",
              IsFailure);
  CheckMemory(std::string("HTTP/1.1 503 Full\r\nFulmarpoint-Not-Run: 1\r\n") + kOwnHead, "drafts",
              "/stream/x", [](int status) { return status == 503; });
}

// Guards against replies to calls that together take the daemon's memory.
Test(endless_memory, replies_to_calls_share_a_limit) {
  CheckMemory(std::string("HTTP/1.1 200 OK\r\n") + kOwnHead, "orders", "/look/x", IsFailure);
  CheckMemory(std::string("HTTP/1.1 500 Failed\r\n") + kOwnHead, "orders", "/look/x", IsFailure);
}
