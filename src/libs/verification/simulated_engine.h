#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <variant>

#include "protocol/identifiers.h"
#include "utils/time.h"
#include "verification/event_queue.h"

namespace fulmarpoint {

namespace simulated_engine {

/// The request is accepted, or the stream exists.
struct Head {};
/// The engine rejects the request.
struct Refused {};
/// The engine has no such stream, or not the requested positions of it.
struct NotHeld {};
struct Token {
  std::uint64_t position = 0;
  std::string token;
};
struct Done {
  std::uint64_t total = 0;
};

using Message = std::variant<Head, Refused, NotHeld, Token, Done>;

}  // namespace simulated_engine

struct SimulatedEngineConfig {
  EndpointId endpoint;
  std::string model;
  VersionName version;
  Duration token_interval = std::chrono::milliseconds(27);
  Duration first_token = std::chrono::milliseconds(200);
  /// Prefill time per token of the prefix that the client sends.
  Duration prefill_per_token = std::chrono::microseconds(200);
  /// Time for which a complete stream is retained for reconnection.
  Duration stream_retention = std::chrono::seconds(30);
};

/// Simulated model engine with virtual time. A stream continues while no connection reads it; a
/// client can reconnect to it at any position that this engine generates. Not thread-safe.
class SimulatedEngine {
 public:
  using Message = simulated_engine::Message;
  using Sink = std::function<void(const Message&)>;

  struct StreamRequest {
    std::string stream;
    std::string prompt;
    std::uint64_t seed = 0;
    std::uint64_t prefix_tokens = 0;
    /// Length of the complete generation, including the prefix.
    std::uint64_t total = 0;
  };

  SimulatedEngine(SimulatedEngineConfig config, EventQueue& queue)
      : m_config(std::move(config)), m_queue(queue) {}

  /// Starts a stream. Messages go to `sink`; nothing is sent if the engine has crashed.
  void Open(const StreamRequest& request, Sink sink);
  /// Replaces the sink of a stream and sends its tokens from position `from`.
  void Reconnect(const std::string& stream, std::uint64_t from, Sink sink);
  void Cancel(const std::string& stream);

  /// Discards all streams.
  void Crash();
  void Restart() { m_crashed = false; }
  void Pause() { m_paused = true; }
  void Unpause();
  /// Multiplies the prefill time and the token interval by `factor`.
  void SetSlowFactor(int factor) { m_slow_factor = factor; }
  /// Sets whether new streams are rejected.
  void SetRefusing(bool refusing) { m_refusing = refusing; }

  const SimulatedEngineConfig& Config() const { return m_config; }
  bool Crashed() const { return m_crashed; }
  std::size_t Streams() const { return m_streams.size(); }
  std::uint64_t PrefilledTokens() const { return m_prefilled; }
  std::uint64_t GeneratedTokens() const { return m_generated; }

 private:
  struct Stream {
    StreamRequest request;
    std::uint64_t next = 0;
    Sink sink;
    /// Distinguishes streams that were opened under the same name.
    std::uint64_t serial = 0;
  };

  void Schedule(const std::string& name, std::uint64_t serial, Duration delay);
  void Generate(const std::string& name, std::uint64_t serial);
  void SendTokensFrom(const Stream& stream, std::uint64_t from) const;
  std::string TokenOf(const Stream& stream, std::uint64_t position) const;

  SimulatedEngineConfig m_config;
  EventQueue& m_queue;
  std::map<std::string, Stream> m_streams;
  std::uint64_t m_last_serial = 0;
  bool m_crashed = false;
  bool m_paused = false;
  bool m_refusing = false;
  int m_slow_factor = 1;
  std::uint64_t m_prefilled = 0;
  std::uint64_t m_generated = 0;
};

}  // namespace fulmarpoint
