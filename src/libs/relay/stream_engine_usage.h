#pragma once

#include <cstdint>
#include <vector>

#include "relay/relay_context.h"
#include "relay/relayed_request.h"

namespace fulmarpoint {

/// What one relayed stream takes of the engines, as this daemon's placement and its peers see it.
/// Used on the daemon's thread.
class StreamUses {
 public:
  /// `context` must outlive this.
  StreamUses(RelayContext& context, const CallerFields& request);
  /// Gives up all uses.
  ~StreamUses();
  StreamUses(const StreamUses&) = delete;
  StreamUses& operator=(const StreamUses&) = delete;

  /// The stream runs at `engine`, which has read its prompt if it runs `from_copy`, and `backup`
  /// keeps a copy; empty if none does. Replaces what was set before.
  void Set(const EndpointId& engine, const EndpointId& backup, bool from_copy);
  /// The run has ended.
  void Clear();
  /// The engine has begun to send. Returns whether it had the prompt to read until now.
  bool OnPromptRead();
  /// The engine turned out not to hold the prompt.
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
