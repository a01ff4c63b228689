#include "server/caller_stream.h"

#include <algorithm>
#include <utility>

namespace fulmarpoint {

namespace {

// Queued events are written as one chunk until it reaches this size.
constexpr std::size_t kMaxChunkBytes = 4096;

}  // namespace

CallerStream::CallerStream(HttpExchange& exchange, const Executor& strand,
                           std::function<void(std::size_t)> on_written)
    : m_exchange(exchange),
      m_strand(strand),
      m_on_written(std::move(on_written)),
      m_wake(strand),
      m_done(strand) {}

void CallerStream::AppendToken(std::uint64_t position, std::string text) {
  m_queue.push_back({position, std::move(text)});
  Start();
}

void CallerStream::Append(std::string text) {
  m_queue.push_back({std::nullopt, std::move(text)});
  Start();
}

std::optional<std::uint64_t> CallerStream::DropTokens() {
  std::optional<std::uint64_t> first;
  for (const Item& item : m_queue) {
    if (item.position && !first) first = item.position;
  }
  std::erase_if(m_queue, [](const Item& item) { return item.position.has_value(); });
  return first;
}

void CallerStream::Start() {
  m_wake.Notify();
  if (std::exchange(m_started, true)) return;
  Spawn(m_strand, [this]() { return Write(); });
}

Task<void> CallerStream::Write() {
  HttpHeaders headers = {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-store"}};
  m_writing = true;
  const std::error_code error = co_await m_exchange.StartStream(200, std::move(headers));
  m_writing = false;
  m_failed = static_cast<bool>(error);
  co_await WriteQueue();
  if (!m_failed) co_await m_exchange.FinishStream();
  m_done.Notify();
}

Task<void> CallerStream::WriteQueue() {
  while (!m_failed) {
    if (m_queue.empty() && m_closing) co_return;
    if (m_queue.empty()) {
      co_await m_wake.Wait();
      continue;
    }
    std::string chunk;
    while (!m_queue.empty() && chunk.size() < kMaxChunkBytes) {
      chunk += m_queue.front().text;
      m_queue.pop_front();
    }
    const std::size_t bytes = chunk.size();
    m_writing = true;
    const std::error_code error = co_await m_exchange.WriteChunk(std::move(chunk));
    m_writing = false;
    m_failed = static_cast<bool>(error);
    m_on_written(m_failed ? 0 : bytes);
  }
}

Task<void> CallerStream::Finish() {
  m_closing = true;
  m_wake.Notify();
  if (m_started) co_await m_done.Wait();
}

}  // namespace fulmarpoint
