#pragma once

#include <cstdint>
#include <vector>

#include "relay/relay_context.h"
#include "relay/relayed_request.h"

namespace fulmarpoint {

/// Accounts for the engine capacity that one relayed stream uses, for this daemon's placement and
/// in its heartbeats. Used on the daemon's thread.
class StreamEngineUsage {
 public:
  /// `context` must outlive this.
  StreamEngineUsage(RelayContext& context, const CallerFields& request);
  /// Releases all usage.
  ~StreamEngineUsage();
  StreamEngineUsage(const StreamEngineUsage&) = delete;
  StreamEngineUsage& operator=(const StreamEngineUsage&) = delete;

  /// The stream runs at `engine`, which need not read the prompt if it runs `from_backup`. `backup`
  /// holds a KV cache backup; empty if none does. Replaces what was set before.
  void Set(const EndpointId& engine, const EndpointId& backup, bool from_backup);
  /// The attempt has ended.
  void Clear();
  /// The engine has sent an event. Returns whether it had to read the prompt before.
  bool OnPromptRead();
  /// The engine does not hold the prompt.
  void OnPromptMissing(const EndpointId& engine);

 private:
  void Publish();

  RelayContext& m_context;
  const std::int64_t m_prompt_tokens;
  const std::int64_t m_memory_tokens;
  const std::uint64_t m_id;
  std::vector<EndpointUse> m_uses;
  RelayedStream m_stream;
};

}  // namespace fulmarpoint
