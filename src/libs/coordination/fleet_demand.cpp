#include "coordination/fleet_demand.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace fulmarpoint {

namespace {

// A share of fewer first events is left to chance.
constexpr double kMinFirstEvents = 20.0;

std::int64_t MedianOf(std::vector<std::uint32_t> values) {
  if (values.empty()) return 0;
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace

void FleetDemand::OnReply(const DutyPollReply& reply, TimePoint asked) {
  Reply latest{reply.incarnation, asked, {}};
  for (const ServiceLoad& load : reply.loads) latest.loads[load.service] = load;
  Daemon& daemon = m_daemons[reply.daemon];
  if (asked < daemon.latest.asked) return;
  daemon.before = std::exchange(daemon.latest, std::move(latest));
}

EngineScaling::Demand FleetDemand::DemandFor(const ServiceName& service,
                                             const std::set<std::string>& daemons,
                                             TimePoint now) const {
  EngineScaling::Demand demand;
  demand.measured_at = now;
  std::vector<std::uint32_t> token_times;
  double first_events = 0.0;
  double late_first_events = 0.0;
  std::size_t current = 0;
  for (const std::string& name : daemons) {
    const auto found = m_daemons.find(name);
    if (found == m_daemons.end() || now - found->second.latest.asked > kMaxReplyAge) continue;
    const auto& [latest, before] = found->second;
    ++current;
    demand.measured_at = std::min(demand.measured_at, latest.asked);
    const auto load = latest.loads.find(service);
    if (load == latest.loads.end()) continue;
    demand.requests += load->second.requests;
    demand.waiting += load->second.waiting;
    demand.kv_cache_tokens += static_cast<double>(load->second.kv_cache_tokens);
    if (load->second.token_ns > 0) token_times.push_back(load->second.token_ns);
    const auto former = before.loads.find(service);
    const bool is_comparable = former != before.loads.end() && latest.asked > before.asked &&
                               before.incarnation == latest.incarnation;
    if (!is_comparable) continue;
    const double seconds = std::chrono::duration<double>(latest.asked - before.asked).count();
    const auto increase = [&](std::uint64_t ServiceLoad::*counter) {
      return static_cast<double>(load->second.*counter - former->second.*counter);
    };
    demand.prompt_tokens_per_second += increase(&ServiceLoad::prompt_tokens) / seconds;
    first_events += increase(&ServiceLoad::first_events);
    late_first_events += increase(&ServiceLoad::late_first_events);
  }
  if (!daemons.empty()) {
    demand.coverage = static_cast<double>(current) / static_cast<double>(daemons.size());
  }
  demand.token_time = std::chrono::nanoseconds(MedianOf(std::move(token_times)));
  if (first_events >= kMinFirstEvents) demand.late_share = late_first_events / first_events;
  return demand;
}

void FleetDemand::Retain(const std::set<std::string>& daemons) {
  std::erase_if(m_daemons, [&](const auto& entry) { return !daemons.contains(entry.first); });
}

}  // namespace fulmarpoint
