#include "coordination/engine_scaling.h"

#include <algorithm>
#include <cmath>

namespace fulmarpoint {

namespace {

// Older figures say nothing about the next seconds.
constexpr Duration kMaxDemandAge = std::chrono::seconds(3);
constexpr double kMinCoverage = 0.9;
// Share of the time for which engines are busy at the highest demand. Leaves room for demand that
// doubles while new engines start.
constexpr double kTargetUtilization = 0.45;
// KV cache may be used up to a higher share than processing time, because backups of streams that
// are needed less give way.
constexpr double kMemoryWeight = 0.7;
// The engines left after the loss of a failure domain are busy for at most this share.
constexpr double kUtilizationAfterLoss = 0.65;
// With more late first events than this, engines are missing whatever the other figures say.
constexpr double kMaxLateShare = 0.1;
constexpr double kGrowthWhenLate = 1.25;
// One order removes at most this share of a failure domain's engines, in case the figures are
// wrong; the next follows when its effect shows.
constexpr double kMaxShrinkShare = 0.5;
// Fewer engines are not worth an order, because chance changes the demand by as much.
constexpr double kMinShrinkShare = 0.15;
// Prompts arrive in clusters, so their rate is averaged over about two seconds.
constexpr Duration kRateAveragingTime = std::chrono::seconds(2);
// First events also wait for other prompts, so the fastest measured time counts for an engine. It
// follows slower ones within minutes, in case the engines have changed.
constexpr Duration kTokenTimeAdaption = std::chrono::minutes(2);
// Demand is observed for at least this long before engines are removed.
constexpr Duration kMinObservation = std::chrono::seconds(5);

/// Returns the weight of a sample after `elapsed` in a mean over about `time`.
double SampleWeight(Duration elapsed, Duration time) {
  return std::min(1.0, static_cast<double>(elapsed.count()) / static_cast<double>(time.count()));
}

std::string Reason(double busy, double late_share, double waiting) {
  std::string reason = "busy engines " + std::to_string(std::lround(busy));
  if (late_share > kMaxLateShare) reason += ", first events late";
  if (waiting > 0) reason += ", requests waiting";
  return reason;
}

}  // namespace

void EngineScaling::Observe(const Demand& demand, TimePoint now) {
  m_latest = demand;
  if (!IsCurrent(now)) return;
  const Duration elapsed = now - m_observed_at;
  m_observed_at = now;
  m_token_rate +=
      (demand.prompt_tokens_per_second - m_token_rate) * SampleWeight(elapsed, kRateAveragingTime);
  ObserveTokenTime(std::chrono::duration<double>(demand.token_time).count(), elapsed);
  const bool has_had_traffic = !m_history.empty() || BusyEngines(demand) > 0.0;
  if (!has_had_traffic) return;
  const bool is_first_after_gap = m_history.empty() || elapsed > kMaxDemandAge;
  if (is_first_after_gap) m_observed_since = now;
  m_history.push_back({now, BusyEngines(demand)});
  while (now - m_history.front().at > Past()) m_history.pop_front();
}

void EngineScaling::ObserveTokenTime(double seconds, Duration elapsed) {
  if (seconds <= 0.0) return;
  const bool is_fastest = m_token_seconds == 0.0 || seconds < m_token_seconds;
  m_token_seconds +=
      (seconds - m_token_seconds) * (is_fastest ? 1.0 : SampleWeight(elapsed, kTokenTimeAdaption));
}

bool EngineScaling::IsCurrent(TimePoint now) const {
  return m_latest && m_latest->coverage >= kMinCoverage &&
         now - m_latest->measured_at <= kMaxDemandAge;
}

/// Returns how far back demand counts: engines that are removed now would be missed until new ones
/// have started.
Duration EngineScaling::Past() const { return std::max(m_limits.boot_time, kMinObservation); }

/// Returns the number of engines that the demand keeps fully busy.
double EngineScaling::BusyEngines(const Demand& demand) const {
  const double prefill = m_token_rate * m_token_seconds;
  const double slots = (demand.requests + demand.waiting) / std::max(1, m_limits.slots);
  const double memory =
      m_limits.kv_cache_tokens <= 0
          ? 0.0
          : demand.kv_cache_tokens / static_cast<double>(m_limits.kv_cache_tokens);
  return std::max({prefill, slots, memory * kMemoryWeight});
}

std::optional<double> EngineScaling::PeakOfPast(TimePoint now) const {
  if (!IsCurrent(now) || m_history.empty()) return std::nullopt;
  double peak = 0.0;
  for (const Sample& sample : m_history) peak = std::max(peak, sample.busy_engines);
  return peak;
}

std::optional<int> EngineScaling::NeededEngines(std::size_t failure_domains, TimePoint now) const {
  const std::optional<double> peak = PeakOfPast(now);
  if (!peak) return std::nullopt;
  double needed = *peak / kTargetUtilization;
  if (failure_domains > 1) {
    const double domains = static_cast<double>(failure_domains);
    needed = std::max(needed, *peak / kUtilizationAfterLoss * domains / (domains - 1.0));
  }
  return static_cast<int>(std::ceil(needed));
}

std::vector<EngineScaling::Order> EngineScaling::Decide(const std::map<std::string, int>& engines,
                                                        TimePoint now) {
  std::vector<Order> orders;
  const std::optional<int> needed = NeededEngines(engines.size(), now);
  if (!needed || engines.empty()) return orders;
  const bool is_short = m_latest->late_share > kMaxLateShare || m_latest->waiting > 0.0;
  const bool may_shrink = !is_short && now - m_observed_since >= Past();
  const int share = static_cast<int>(
      std::ceil(static_cast<double>(*needed) / static_cast<double>(engines.size())));
  for (const auto& [domain, listed] : engines) {
    const auto ordered = m_ordered.find(domain);
    const int current = ordered == m_ordered.end() ? listed : ordered->second.engines;
    int desired = share;
    if (m_latest->late_share > kMaxLateShare) {
      // Engines that were ordered and do not serve yet are not ordered again.
      const int serving = std::min(current, listed);
      desired = std::max(desired, static_cast<int>(std::ceil(serving * kGrowthWhenLate)));
    }
    const int floor = static_cast<int>(std::ceil(current * (1.0 - kMaxShrinkShare)));
    desired = std::clamp(std::max(desired, floor), m_limits.min_engines, m_limits.max_engines);
    const bool is_worthwhile = share <= current * (1.0 - kMinShrinkShare);
    if (desired < current && !MayShrink(domain, may_shrink && is_worthwhile, now)) {
      desired = current;
    }
    if (desired == current && !IsOrderDue(domain, listed, now)) continue;
    m_ordered[domain] = {desired, now};
    orders.push_back(
        {domain, desired, Reason(BusyEngines(*m_latest), m_latest->late_share, m_latest->waiting)});
  }
  return orders;
}

bool EngineScaling::MayShrink(const std::string& domain, bool may_shrink, TimePoint now) const {
  const auto ordered = m_ordered.find(domain);
  return may_shrink && (ordered == m_ordered.end() || now - ordered->second.at >= Past());
}

/// Returns whether the last order for the failure domain should be given again: its engines still
/// differ, because the order was lost or an older one was executed after it.
bool EngineScaling::IsOrderDue(const std::string& domain, int listed, TimePoint now) const {
  const auto ordered = m_ordered.find(domain);
  if (ordered == m_ordered.end() || ordered->second.engines == listed) return false;
  return now - ordered->second.at >= Past() + kMaxDemandAge;
}

void EngineScaling::ForgetOrders() { m_ordered.clear(); }

}  // namespace fulmarpoint
