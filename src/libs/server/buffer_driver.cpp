#include "server/buffer_driver.h"

#include <atomic>
#include <utility>
#include <variant>

namespace fulmarpoint {

namespace {

constexpr Duration kTimerInterval = std::chrono::milliseconds(100);

}  // namespace

struct BufferDriver::State {
  std::atomic<bool> stopped{false};
};

BufferDriver::BufferDriver(Executor executor, CallerBuffersSettings settings)
    : m_executor(std::move(executor)), m_state(std::make_shared<State>()), m_buffers(settings) {}

void BufferDriver::Start() {
  Spawn(MakeStrand(m_executor), [this]() { return RunTimer(m_state, *this); });
}

void BufferDriver::Stop() { m_state->stopped = true; }

Task<void> BufferDriver::RunTimer(std::shared_ptr<State> state, BufferDriver& driver) {
  while (!state->stopped) {
    driver.Handle(BufferTimerFired{});
    co_await Sleep(kTimerInterval);
  }
}

bool BufferDriver::MayOpen(const OrganisationId& organisation) const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_buffers.MayOpen(organisation);
}

std::size_t BufferDriver::HeldBytes() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_buffers.HeldBytes();
}

std::uint64_t BufferDriver::Open(const OrganisationId& organisation, bool can_regenerate,
                                 const Executor& strand, Listener listener) {
  std::uint64_t number = 0;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    number = ++m_last_stream;
    m_streams.emplace(number, std::make_shared<Stream>(Stream{strand, std::move(listener)}));
  }
  Handle(StreamOpened{number, organisation, can_regenerate});
  return number;
}

void BufferDriver::Handle(const CallerBuffersEvent& event) {
  std::vector<CallerBuffersAction> actions;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_buffers.Handle(event, SteadyNow(), actions);
  }
  Distribute(actions);
}

void BufferDriver::Close(std::uint64_t stream) {
  Handle(StreamClosed{stream});
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_streams.find(stream);
  if (found == m_streams.end()) return;
  found->second->listener = nullptr;
  m_streams.erase(found);
}

void BufferDriver::Distribute(const std::vector<CallerBuffersAction>& actions) {
  for (const CallerBuffersAction& action : actions) {
    const std::uint64_t number =
        std::visit([](const auto& specific) { return specific.stream; }, action);
    std::shared_ptr<Stream> stream;
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      const auto found = m_streams.find(number);
      if (found != m_streams.end()) stream = found->second;
    }
    if (!stream) continue;
    Post(stream->strand, [stream, action]() {
      if (stream->listener) stream->listener(action);
    });
  }
}

}  // namespace fulmarpoint
