#include "relay/stream_placement.h"

#include <vector>

#include "coordination/stream_admission.h"
#include "protocol/identifiers.h"

namespace fulmarpoint {

std::optional<EndpointRecord> StreamPlacement::ChooseEngine() const {
  const TimePoint now = SteadyNow();
  const std::vector<const DirectoryEndpoint*> usable =
      m_context.UsableFor(m_request.service, m_request.version);
  const DirectoryEndpoint* engine = PlaceStream(usable, MakeRequest(now));
  if (engine == nullptr) return std::nullopt;
  return engine->record;
}

std::optional<EndpointRecord> StreamPlacement::ChooseBackup(const EndpointRecord& engine) const {
  const DirectoryEndpoint* primary = m_context.endpoints.Find(engine.id);
  if (primary == nullptr) return std::nullopt;
  const TimePoint now = SteadyNow();
  const std::vector<const DirectoryEndpoint*> usable =
      m_context.UsableFor(m_request.service, m_request.version);
  const DirectoryEndpoint* backup = PlaceBackup(usable, MakeRequest(now), *primary);
  if (backup == nullptr) return std::nullopt;
  return backup->record;
}

const EngineCapacity* StreamPlacement::Capacity() const {
  const RelayService* service = m_request.table->FindService(m_request.service);
  return service == nullptr || !service->engine ? nullptr : &*service->engine;
}

PlacementRequest StreamPlacement::MakeRequest(TimePoint now) const {
  const CallerFields& fields = m_request.fields;
  PlacementRequest placement;
  placement.daemon = m_context.settings.name;
  placement.failure_domain = m_context.settings.failure_domain;
  placement.now = now;
  placement.excluded = m_excluded;
  placement.ring = m_context.peers.View();
  placement.prompt_tokens = fields.prompt_tokens;
  placement.kv_cache_tokens = fields.KvCacheTokens();
  placement.prefill_time = m_context.ExpectedPrefillTime(m_request.service, fields.prompt_tokens);
  placement.tie_seed = StableHash(fields.request_id, m_context.incarnation);
  placement.max_requests =
      m_context.ConnectionShareOf(*m_request.table, m_request.service).requests;
  const EngineCapacity* capacity = Capacity();
  if (capacity != nullptr) placement.engine_kv_cache_tokens = capacity->kv_cache_tokens;
  if (m_context.HasContentionControl(*m_request.table, m_request.service)) {
    const int level = m_may_use_reserve ? 0 : PriorityLevelOf(m_request);
    placement.fill = StreamAdmission::FillLimitOf(level);
    placement.backup_fill = StreamAdmission::BackupFillLimit();
  }
  if (fields.prompt.empty()) return placement;
  placement.prompt = fields.prompt.back().id;
  placement.preferred = m_context.streams.FindPromptHolder(placement.prompt, now);
  return placement;
}

}  // namespace fulmarpoint
