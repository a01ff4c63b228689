#include "relay/stream_engine_usage.h"

namespace fulmarpoint {

StreamEngineUsage::StreamEngineUsage(RelayContext& context, const CallerFields& request)
    : m_context(context),
      m_prompt_tokens(request.prompt_tokens),
      m_memory_tokens(request.KvCacheTokens()),
      m_id(context.streams.NextId()) {
  if (!request.prompt.empty()) m_stream.prompt = request.prompt.back().id;
}

StreamEngineUsage::~StreamEngineUsage() {
  Clear();
  m_context.streams.Remove(m_id);
  if (m_context.on_heartbeat_payload_changed) m_context.on_heartbeat_payload_changed();
}

void StreamEngineUsage::Set(const EndpointId& engine, const EndpointId& backup, bool from_backup) {
  Clear();
  const std::int64_t unread = from_backup ? 0 : m_prompt_tokens;
  m_uses.push_back({engine, unread, m_memory_tokens, true});
  if (!backup.empty()) m_uses.push_back({backup, 0, m_memory_tokens, false});
  for (const EndpointUse& use : m_uses) m_context.endpoints.AddUse(use);
  m_stream.endpoint = engine;
  m_stream.backup = backup;
  m_stream.pending_prefill_tokens = static_cast<std::uint32_t>(unread);
  m_stream.kv_cache_tokens = static_cast<std::uint32_t>(m_memory_tokens);
  Publish();
}

void StreamEngineUsage::Clear() {
  for (const EndpointUse& use : m_uses) m_context.endpoints.RemoveUse(use);
  m_uses.clear();
}

bool StreamEngineUsage::OnPromptRead() {
  if (m_uses.empty() || m_uses.front().pending_prefill_tokens == 0) return false;
  EndpointUse& use = m_uses.front();
  m_context.endpoints.RemoveUse(use);
  use.pending_prefill_tokens = 0;
  m_context.endpoints.AddUse(use);
  m_context.endpoints.OnSuccess(use.endpoint);
  m_stream.pending_prefill_tokens = 0;
  Publish();
  return true;
}

void StreamEngineUsage::OnPromptMissing(const EndpointId& engine) {
  m_context.streams.ForgetHolder(m_stream.prompt, engine);
}

void StreamEngineUsage::Publish() {
  m_context.streams.Set(m_id, m_stream, SteadyNow());
  if (m_context.on_heartbeat_payload_changed) m_context.on_heartbeat_payload_changed();
  if (m_context.on_prompt_location)
    m_context.on_prompt_location(m_stream.prompt, m_stream.endpoint);
}

}  // namespace fulmarpoint
