#include "engine_model.h"

#include <algorithm>

namespace fulmarpoint {

namespace {

constexpr double kSecondsPerToken = 1e-4;
constexpr double kLateAfter = 4.5;
constexpr double kKvCacheTokensPerRequest = 5000.0;

}  // namespace

EngineModel::EngineModel(EngineScaling::Limits limits, int engines_per_domain, std::uint64_t seed)
    : m_limits(limits), m_random(seed) {
  for (const std::string domain : {"zone-a", "zone-b", "zone-c", "zone-d"}) {
    m_engines.resize(m_engines.size() + static_cast<std::size_t>(engines_per_domain), {domain});
  }
}

void EngineModel::Advance(double now, double rate) {
  const double elapsed = now - m_now;
  m_now = now;
  for (; !m_streams.empty() && m_streams.top().end <= now; m_streams.pop()) {
    --m_engines[m_streams.top().engine].running;
  }
  for (Engine& engine : m_engines) {
    engine.is_gone = engine.is_gone || (engine.is_leaving && engine.running <= 0);
    if (!engine.is_gone) m_sums.engine_seconds += elapsed;
  }
  const int arrivals = std::poisson_distribution<int>(rate * elapsed)(m_random);
  m_waiting.insert(m_waiting.end(), static_cast<std::size_t>(arrivals), now);
  StartWaiting();
}

EngineModel::Engine* EngineModel::BestEngine() {
  Engine* best = nullptr;
  for (Engine& engine : m_engines) {
    const bool has_room = !engine.is_leaving && !engine.is_gone && engine.serves_at <= m_now &&
                          engine.running < m_limits.slots;
    if (has_room && (best == nullptr || engine.prompts_until < best->prompts_until)) best = &engine;
  }
  return best;
}

void EngineModel::StartWaiting() {
  for (; !m_waiting.empty(); m_waiting.pop_front()) {
    Engine* engine = BestEngine();
    if (engine == nullptr) return;
    const double tokens = std::uniform_real_distribution<double>(1000.0, 7000.0)(m_random);
    engine->prompts_until = std::max(m_now, engine->prompts_until) + tokens * kSecondsPerToken;
    ++engine->running;
    m_prompt_tokens += tokens;
    m_sums.first_events += 1.0;
    if (engine->prompts_until - m_waiting.front() > kLateAfter) m_sums.late_first_events += 1.0;
    const double length = std::uniform_real_distribution<double>(8.0, 12.0)(m_random);
    m_streams.push(
        {engine->prompts_until + length, static_cast<std::size_t>(engine - m_engines.data())});
  }
}

void EngineModel::Order(const std::string& domain, int desired) {
  if (domain == m_lost_domain) return;
  int missing = desired;
  for (Engine& engine : m_engines) {
    if (engine.domain != domain || engine.is_leaving || engine.is_gone) continue;
    engine.is_leaving = missing-- <= 0;
  }
  for (; missing > 0; --missing) {
    const double boot_time = std::chrono::duration<double>(m_limits.boot_time).count();
    m_engines.push_back({domain, m_now + boot_time});
  }
}

void EngineModel::LoseDomain(const std::string& domain) {
  m_lost_domain = domain;
  for (Engine& engine : m_engines) {
    if (engine.domain != domain || engine.is_gone) continue;
    engine.is_gone = true;
    m_waiting.insert(m_waiting.end(), static_cast<std::size_t>(engine.running), m_now);
  }
}

std::map<std::string, int> EngineModel::Listed() const {
  std::map<std::string, int> listed;
  for (const Engine& engine : m_engines) {
    const bool serves = !engine.is_leaving && !engine.is_gone && engine.serves_at <= m_now;
    listed[engine.domain] += serves ? 1 : 0;
  }
  return listed;
}

EngineScaling::Demand EngineModel::TakeDemand() {
  const double elapsed = m_now - m_demand_at;
  const double first_events = m_sums.first_events - m_sums_before.first_events;
  const double late = m_sums.late_first_events - m_sums_before.late_first_events;
  EngineScaling::Demand demand;
  demand.coverage = 1.0;
  for (const Engine& engine : m_engines) demand.requests += engine.is_gone ? 0 : engine.running;
  demand.kv_cache_tokens = demand.requests * kKvCacheTokensPerRequest;
  demand.prompt_tokens_per_second = m_prompt_tokens / elapsed;
  demand.token_time = std::chrono::nanoseconds(static_cast<std::int64_t>(kSecondsPerToken * 1e9));
  demand.waiting = static_cast<double>(m_waiting.size());
  demand.late_share = first_events > 0.0 ? late / first_events : 0.0;
  m_sums_before = m_sums;
  m_prompt_tokens = 0.0;
  m_demand_at = m_now;
  return demand;
}

}  // namespace fulmarpoint
