#include "verification/simulated_engine.h"

#include "verification/token_function.h"

namespace fulmarpoint {

using namespace simulated_engine;

void SimulatedEngine::Open(const StreamRequest& request, Sink sink) {
  if (m_crashed) return;
  if (m_refusing) {
    sink(Refused{});
    return;
  }
  sink(Head{});
  Stream stream{request, request.prefix_tokens, std::move(sink), ++m_last_serial};
  m_prefilled += request.prefix_tokens;
  const auto prefix = static_cast<Duration::rep>(request.prefix_tokens);
  const Duration prefill = m_config.first_token + prefix * m_config.prefill_per_token;
  m_streams[request.stream] = std::move(stream);
  Schedule(request.stream, m_last_serial, prefill);
}

void SimulatedEngine::Reconnect(const std::string& stream, std::uint64_t from, Sink sink) {
  if (m_crashed) return;
  const auto found = m_streams.find(stream);
  if (found == m_streams.end() || from < found->second.request.prefix_tokens) {
    sink(NotHeld{});
    return;
  }
  sink(Head{});
  found->second.sink = std::move(sink);
  SendTokensFrom(found->second, from);
}

void SimulatedEngine::Cancel(const std::string& stream) { m_streams.erase(stream); }

void SimulatedEngine::Crash() {
  m_crashed = true;
  m_paused = false;
  m_streams.clear();
}

void SimulatedEngine::Unpause() {
  if (!m_paused) return;
  m_paused = false;
  for (const auto& [name, stream] : m_streams) Schedule(name, stream.serial, Duration::zero());
}

void SimulatedEngine::Schedule(const std::string& name, std::uint64_t serial, Duration delay) {
  m_queue.After(delay * m_slow_factor, [this, name, serial] { Generate(name, serial); });
}

void SimulatedEngine::Generate(const std::string& name, std::uint64_t serial) {
  const auto found = m_streams.find(name);
  if (found == m_streams.end() || found->second.serial != serial || m_paused) return;
  Stream& stream = found->second;
  if (stream.next >= stream.request.total) {
    if (stream.sink) stream.sink(Done{stream.request.total});
    m_queue.After(m_config.stream_retention, [this, name, serial] {
      const auto held = m_streams.find(name);
      if (held != m_streams.end() && held->second.serial == serial) m_streams.erase(held);
    });
    return;
  }
  ++m_generated;
  const std::uint64_t position = stream.next++;
  if (stream.sink) stream.sink(Token{position, TokenOf(stream, position)});
  const bool last = stream.next >= stream.request.total;
  Schedule(name, serial, last ? Duration::zero() : m_config.token_interval);
}

void SimulatedEngine::SendTokensFrom(const Stream& stream, std::uint64_t from) const {
  for (std::uint64_t position = from; position < stream.next; ++position) {
    stream.sink(Token{position, TokenOf(stream, position)});
  }
  if (stream.next >= stream.request.total) stream.sink(Done{stream.request.total});
}

std::string SimulatedEngine::TokenOf(const Stream& stream, std::uint64_t position) const {
  return TokenAt(m_config.model, m_config.version, stream.request.prompt, stream.request.seed,
                 position);
}

}  // namespace fulmarpoint
