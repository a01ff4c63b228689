#include "coordination/credit_owner.h"

#include <algorithm>
#include <numeric>
#include <set>

namespace fulmarpoint {

namespace {

// More unconfirmed grants than this are merged into their maximum.
constexpr std::size_t kMaxRecords = 8;
// Load reports arrive more often. After a longer gap this process was paused, and another daemon
// may have granted its endpoints.
constexpr Duration kPause = std::chrono::milliseconds(2500);

/// Divides `capacity` so that the smallest shares are as large as possible and nobody gets more
/// than it wants. The remainder goes to the first of those who want more.
std::vector<int> MaxMinShares(const std::vector<int>& wants, int capacity) {
  std::vector<int> sorted = wants;
  std::sort(sorted.begin(), sorted.end());
  int left = std::max(0, capacity);
  int level = 0;
  int remainder = 0;
  for (std::size_t index = 0; index < sorted.size(); ++index) {
    const int sharing = static_cast<int>(sorted.size() - index);
    level = left / sharing;
    remainder = left % sharing;
    if (sorted[index] > level) break;
    left -= sorted[index];
    level = sorted[index];
    remainder = 0;
  }
  std::vector<int> shares;
  shares.reserve(wants.size());
  for (int want : wants) {
    const int extra = want > level && remainder > 0 ? 1 : 0;
    remainder -= extra;
    shares.push_back(std::min(want, level + extra));
  }
  return shares;
}

}  // namespace

void CreditOwner::Handle(const CreditOwnerEvent& event, TimePoint now, Actions& actions) {
  ForgetAfterPause(now);
  std::visit([&](const auto& typed) { On(typed, now, actions); }, event);
}

void CreditOwner::ForgetAfterPause(TimePoint now) {
  const bool paused = m_last_event && now - *m_last_event > kPause;
  m_last_event = now;
  if (!paused) return;
  for (auto& [hash, endpoint] : m_endpoints) {
    endpoint.owned_since = now;
    endpoint.load.reset();
  }
}

std::size_t CreditOwner::Holders() const {
  std::size_t holders = 0;
  for (const auto& [hash, endpoint] : m_endpoints) holders += endpoint.holders.size();
  return holders;
}

void CreditOwner::On(const OwnedEndpointsChanged& event, TimePoint now, Actions&) {
  const std::set<EndpointHash> owned(event.endpoints.begin(), event.endpoints.end());
  std::erase_if(m_endpoints, [&owned](const auto& item) { return !owned.contains(item.first); });
  for (EndpointHash hash : owned) {
    const auto [found, inserted] = m_endpoints.try_emplace(hash);
    if (inserted) found->second.owned_since = event.alone ? now - kCreditLifetime : now;
  }
}

void CreditOwner::On(const VisibleDaemonsChanged& event, TimePoint now, Actions&) {
  if (event.visible > m_seen.visible) {
    // The daemons that returned may hold grants of another owner.
    const bool less = m_seen.visible * m_seen_before.known < m_seen_before.visible * m_seen.known;
    if (now >= m_share_until || less) m_seen_before = m_seen;
    m_share_until = now + kCreditLifetime;
  }
  m_seen = event;
}

void CreditOwner::On(const OwnedLoadReported& event, TimePoint, Actions&) {
  const auto found = m_endpoints.find(event.endpoint);
  if (found != m_endpoints.end()) found->second.load = event;
}

void CreditOwner::On(const CreditRequestReceived& event, TimePoint now, Actions& actions) {
  const CreditRequest& request = event.request;
  CreditGrant grant{m_self, request.sent_at, {}};
  for (const CreditDemand& demand : request.demands) {
    const auto found = m_endpoints.find(demand.endpoint);
    // The holder believes in another owner; it asks again when its members are up to date.
    if (found == m_endpoints.end()) continue;
    Endpoint& endpoint = found->second;
    Holder& holder = endpoint.holders[request.holder];
    if (request.sent_at <= holder.last_sent_at) continue;
    holder.last_sent_at = request.sent_at;
    const std::int64_t applied = request.sent_at - demand.grant_age_us;
    const bool has_applied = demand.grant_age_us != kNoGrantApplied;
    std::erase_if(holder.records,
                  [&](const Record& record) { return has_applied && record.sent_at < applied; });
    const int granted = Decide(endpoint, request.holder, demand, now);
    grant.amounts.push_back({demand.endpoint, static_cast<std::uint16_t>(granted)});
  }
  if (!grant.amounts.empty())
    actions.emplace_back(SendCreditGrant{request.holder, std::move(grant)});
}

int CreditOwner::Decide(Endpoint& endpoint, const InstanceId& id, const CreditDemand& demand,
                        TimePoint now) {
  Holder& holder = endpoint.holders[id];
  holder.in_use = demand.in_use;
  holder.needed = std::max<int>(demand.needed, demand.in_use);
  holder.wanted = std::max<int>(demand.wanted, holder.needed);
  holder.expires = now + kCreditReserve;
  Expire(endpoint, now);
  int others = 0;
  int all = 0;
  for (const auto& [other_id, other] : endpoint.holders) {
    const int outstanding = Outstanding(other);
    all += outstanding;
    if (other_id != id) others += outstanding;
  }
  const int occupied = endpoint.load ? endpoint.load->active + endpoint.load->queued : 0;
  const int unexplained = std::max(0, occupied - all);
  const int slots = endpoint.load ? endpoint.load->slots : 0;
  const int capacity = std::min(Capacity(endpoint, now), slots - unexplained);
  int granted = std::min<int>(demand.wanted, capacity - others);
  if (now < endpoint.owned_since + kCreditLifetime) {
    // Holders that have not reported yet may use the grants of the previous owner.
    granted = std::min(granted, std::max<int>(demand.held, demand.in_use));
    if (!endpoint.load) granted = std::min<int>(demand.wanted, demand.held);
  } else {
    granted = std::min(granted, FairShare(endpoint, id, capacity));
  }
  granted = std::max(0, granted);
  holder.records.push_back({holder.last_sent_at, granted, now + kCreditReserve});
  if (holder.records.size() > kMaxRecords) {
    const int dropped = holder.records.front().amount;
    holder.records.pop_front();
    holder.records.front().amount = std::max(holder.records.front().amount, dropped);
  }
  return granted;
}

int CreditOwner::Capacity(const Endpoint& endpoint, TimePoint now) const {
  if (!endpoint.load) return 0;
  const auto share = [&endpoint](const VisibleDaemonsChanged& seen) {
    return endpoint.load->slots * std::min(seen.visible, seen.known) / std::max(1, seen.known);
  };
  return now < m_share_until ? std::min(share(m_seen), share(m_seen_before)) : share(m_seen);
}

int CreditOwner::FairShare(const Endpoint& endpoint, const InstanceId& id, int capacity) const {
  std::vector<int> needs;
  std::vector<int> spares;
  std::size_t position = 0;
  for (const auto& [other_id, other] : endpoint.holders) {
    if (other_id == id) position = needs.size();
    needs.push_back(other.needed);
    spares.push_back(other.wanted - other.needed);
  }
  const std::vector<int> needed = MaxMinShares(needs, capacity);
  const int left = capacity - std::accumulate(needed.begin(), needed.end(), 0);
  return needed[position] + MaxMinShares(spares, left)[position];
}

int CreditOwner::Outstanding(const Holder& holder) {
  int outstanding = holder.in_use;
  for (const Record& record : holder.records) outstanding = std::max(outstanding, record.amount);
  return outstanding;
}

void CreditOwner::Expire(Endpoint& endpoint, TimePoint now) {
  for (auto& [id, holder] : endpoint.holders) {
    std::erase_if(holder.records, [now](const Record& record) { return record.expires <= now; });
  }
  // What an expired holder still runs shows in the load reports.
  std::erase_if(endpoint.holders, [now](const auto& item) { return item.second.expires <= now; });
}

}  // namespace fulmarpoint
