#include "coordination/credit_holder.h"

#include <algorithm>
#include <set>

#include "coordination/credit_owner.h"

namespace fulmarpoint {

namespace {

// Interval between requests to each owner. Two of them fit the lifetime of a grant, so that one
// lost message does not end it.
constexpr Duration kRequestInterval = std::chrono::milliseconds(2400);
// Minimum time between requests to an owner while requests of callers wait for credits.
constexpr Duration kMinEarlyRequestInterval = std::chrono::milliseconds(250);
// Token bucket for requests that are sent before they are due, so that overload does not multiply
// messages.
constexpr double kEarlyRequestsPerSecond = 4.0;
constexpr double kEarlyRequestBurst = 16.0;
// The running requests are divided by this to get the number of spare credits to keep.
constexpr int kSpareDivisor = 8;
// Number of endpoints of other owners that a daemon uses, over all services, and of their owners.
constexpr int kRemoteEndpoints = 16;
constexpr int kRemoteOwners = 8;
constexpr int kMaxCredits = 65535;

}  // namespace

void CreditHolder::Handle(const CreditHolderEvent& event, TimePoint now, Actions& actions) {
  std::visit([&](const auto& typed) { On(typed, now, actions); }, event);
}

bool CreditHolder::Take(const EndpointId& endpoint, TimePoint now) {
  if (Free(endpoint, now) <= 0) return false;
  ++m_entries[StableHash(endpoint)].in_use;
  return true;
}

void CreditHolder::Return(const EndpointId& endpoint) {
  const auto found = m_entries.find(StableHash(endpoint));
  if (found == m_entries.end()) return;
  Entry& entry = found->second;
  entry.in_use = std::max(0, entry.in_use - 1);
  if (entry.removed && entry.in_use == 0) m_entries.erase(found);
}

int CreditHolder::Free(const EndpointId& endpoint, TimePoint now) const {
  const auto found = m_entries.find(StableHash(endpoint));
  if (found == m_entries.end() || found->second.removed) return 0;
  return std::max(0, Held(found->second, now) - found->second.in_use);
}

int CreditHolder::Slots(const ServiceName& service, TimePoint now) const {
  int slots = 0;
  for (const auto& [hash, entry] : m_entries) {
    if (entry.service != service) continue;
    slots += entry.removed ? entry.in_use : std::max(entry.in_use, Held(entry, now));
  }
  return slots;
}

void CreditHolder::On(const SubsetChanged& event, TimePoint now, Actions& actions) {
  for (auto& [hash, entry] : m_entries) entry.removed = true;
  for (const SubsetEndpoint& member : event.endpoints) {
    Entry& entry = m_entries[StableHash(member.endpoint)];
    entry.endpoint = member.endpoint;
    entry.service = member.service;
    entry.owner = member.owner;
    entry.removed = false;
  }
  std::erase_if(m_entries,
                [](const auto& item) { return item.second.removed && item.second.in_use == 0; });
  std::set<InstanceId> owners;
  for (const auto& [hash, entry] : m_entries) owners.insert(entry.owner);
  std::erase_if(m_owners, [&owners](const auto& item) { return !owners.contains(item.first); });
  // Reports the credits held to new owners without delay.
  RequestAllCredits(now, actions);
}

void CreditHolder::On(const CreditDemandChanged& event, TimePoint now, Actions& actions) {
  m_waiting[event.service] = event.waiting;
  if (event.waiting == 0) return;
  UpdateDemand(now);
  std::set<InstanceId> owners;
  for (const auto& [hash, entry] : m_entries) {
    const bool needs_more = entry.service == event.service && entry.wanted > Held(entry, now);
    // An owner that had too few credits is queried again only when the next request is due.
    if (needs_more && !entry.removed && !entry.was_short) owners.insert(entry.owner);
  }
  for (const InstanceId& owner : owners) {
    if (now < m_owners[owner].next_early || !TryTakeEarlyRequest(now)) continue;
    RequestCredits(owner, now, actions);
  }
}

void CreditHolder::On(const CreditGrantReceived& event, TimePoint now, Actions& actions) {
  const CreditGrant& grant = event.grant;
  const auto found = m_owners.find(grant.owner);
  if (found == m_owners.end() || grant.sent_at > found->second.last_sent_at) return;
  for (const CreditAmount& amount : grant.amounts) {
    const auto known = m_entries.find(amount.endpoint);
    if (known == m_entries.end() || known->second.owner != grant.owner) continue;
    Entry& entry = known->second;
    // A grant that arrives after a newer one would restore credits that were withdrawn.
    if (grant.sent_at <= entry.applied_sent_at) continue;
    entry.applied_sent_at = grant.sent_at;
    entry.held = amount.granted;
    entry.expires = TimePoint(Duration(grant.sent_at)) + kCreditLifetime;
    entry.was_short = amount.granted < entry.wanted;
  }
  ReportSlots(now, actions);
}

void CreditHolder::On(const CreditTimerFired&, TimePoint now, Actions& actions) {
  if (now >= m_next_request) RequestAllCredits(now, actions);
  ReportSlots(now, actions);
}

bool CreditHolder::TryTakeEarlyRequest(TimePoint now) {
  const double seconds = static_cast<double>((now - m_early_refilled_at).count()) / 1e6;
  m_early_refilled_at = now;
  m_early_request_tokens =
      std::min(kEarlyRequestBurst, m_early_request_tokens + seconds * kEarlyRequestsPerSecond);
  if (m_early_request_tokens < 1.0) return false;
  m_early_request_tokens -= 1.0;
  return true;
}

void CreditHolder::UpdateDemand(TimePoint now) {
  struct Service {
    int in_use = 0;
    std::vector<Entry*> order;
  };
  std::map<ServiceName, Service> services;
  for (auto& [hash, entry] : m_entries) {
    entry.needed = entry.wanted = entry.removed ? 0 : entry.in_use;
    Service& service = services[entry.service];
    service.in_use += entry.in_use;
    if (!entry.removed) service.order.push_back(&entry);
  }
  for (auto& [name, service] : services) {
    const auto found = m_waiting.find(name);
    const int waiting = found == m_waiting.end() ? 0 : found->second;
    // Endpoints with free credits come first, then those that had enough credits last time.
    std::stable_sort(service.order.begin(), service.order.end(), [&](Entry* left, Entry* right) {
      const bool left_free = Held(*left, now) > left->in_use;
      const bool right_free = Held(*right, now) > right->in_use;
      if (left_free != right_free) return left_free;
      if (left->was_short != right->was_short) return !left->was_short;
      return left->in_use < right->in_use;
    });
    DistributeDemand(service.order, waiting, now);
    for (Entry* entry : service.order) entry->needed = entry->wanted;
    DistributeDemand(service.order, std::max(1, service.in_use / kSpareDivisor), now);
  }
}

void CreditHolder::DistributeDemand(const std::vector<Entry*>& order, int count, TimePoint now) {
  for (Entry* entry : order) {
    const int kept = std::min(count, std::max(0, Held(*entry, now) - entry->wanted));
    entry->wanted += kept;
    count -= kept;
  }
  const int entries = static_cast<int>(order.size());
  for (int index = 0; index < entries && count > 0; ++index) {
    const int part = (count + (entries - index) - 1) / (entries - index);
    order[index]->wanted = std::min(kMaxCredits, order[index]->wanted + part);
    count -= part;
  }
}

void CreditHolder::RequestCredits(const InstanceId& owner, TimePoint now, Actions& actions) {
  Owner& state = m_owners[owner];
  CreditRequest request{
      m_self, std::max(now.time_since_epoch().count(), state.last_sent_at + 1), {}};
  const auto send = [&] {
    state.last_sent_at = request.sent_at;
    actions.emplace_back(SendCreditRequest{owner, request});
    ++request.sent_at;
    request.demands.clear();
  };
  for (const auto& [hash, entry] : m_entries) {
    if (entry.owner != owner) continue;
    const int held = Held(entry, now);
    if (entry.in_use == 0 && held == 0 && entry.wanted == 0) continue;
    const auto limited = [](int count) {
      return static_cast<std::uint16_t>(std::min(count, kMaxCredits));
    };
    CreditDemand demand;
    demand.endpoint = hash;
    demand.in_use = limited(entry.in_use);
    demand.held = limited(held);
    demand.needed = limited(entry.needed);
    demand.wanted = limited(entry.wanted);
    const std::int64_t age = request.sent_at - entry.applied_sent_at;
    if (age < kNoGrantApplied) demand.grant_age_us = static_cast<std::uint32_t>(age);
    request.demands.push_back(demand);
    if (request.demands.size() == kMaxCreditEntries) send();
  }
  if (!request.demands.empty()) send();
  state.next_early = now + kMinEarlyRequestInterval;
}

void CreditHolder::RequestAllCredits(TimePoint now, Actions& actions) {
  UpdateDemand(now);
  std::set<InstanceId> owners;
  for (const auto& [hash, entry] : m_entries) owners.insert(entry.owner);
  for (const InstanceId& owner : owners) RequestCredits(owner, now, actions);
  m_next_request = now + kRequestInterval;
  actions.emplace_back(std::in_place_type<SetCreditTimer>, SetCreditTimer{m_next_request});
  ReportSlots(now, actions);
}

void CreditHolder::ReportSlots(TimePoint now, Actions& actions) {
  std::map<ServiceName, int> slots;
  for (const auto& [service, reported] : m_reported) slots[service] = 0;
  for (const auto& [hash, entry] : m_entries) {
    slots[entry.service] += entry.removed ? entry.in_use : std::max(entry.in_use, Held(entry, now));
  }
  for (const auto& [service, count] : slots) {
    const auto reported = m_reported.find(service);
    if (reported != m_reported.end() && reported->second == count) continue;
    m_reported[service] = count;
    actions.emplace_back(CreditSlotsChanged{service, count});
  }
}

std::vector<SubsetEndpoint> CreditSubset(const InstanceId& self,
                                         const std::vector<InstanceId>& daemons,
                                         const ServiceName& service,
                                         const std::vector<EndpointId>& endpoints, int services) {
  std::map<InstanceId, std::vector<EndpointId>> owned;
  for (const EndpointId& endpoint : endpoints) {
    owned[CreditOwnerOf(endpoint, daemons)].push_back(endpoint);
  }
  std::vector<SubsetEndpoint> subset;
  for (const EndpointId& endpoint : owned[self]) subset.push_back({endpoint, service, self});
  owned.erase(self);
  // Owners of the service's endpoints in ring order, beginning after this daemon.
  const std::uint64_t start = StableHash(self.name);
  std::vector<std::pair<std::uint64_t, InstanceId>> ring;
  ring.reserve(owned.size());
  for (const auto& [owner, owner_endpoints] : owned) {
    ring.emplace_back(StableHash(owner.name) - start, owner);
  }
  std::sort(ring.begin(), ring.end());
  ring.resize(std::min<std::size_t>(ring.size(), kRemoteOwners));
  const int count = static_cast<int>(endpoints.size());
  const int daemon_count = std::max<int>(1, static_cast<int>(daemons.size()));
  int remote = std::max({2, kRemoteEndpoints / std::max(1, services), count / (2 * daemon_count)});
  for (std::size_t position = 0; position < ring.size() && remote > 0; ++position) {
    std::vector<EndpointId>& owner_endpoints = owned[ring[position].second];
    std::sort(owner_endpoints.begin(), owner_endpoints.end(),
              [start](const EndpointId& left, const EndpointId& right) {
                return StableHash(left, start) > StableHash(right, start);
              });
    const int owners_left = static_cast<int>(ring.size() - position);
    const int part = std::min<int>((remote + owners_left - 1) / owners_left,
                                   static_cast<int>(owner_endpoints.size()));
    for (int index = 0; index < part; ++index) {
      subset.push_back({owner_endpoints[index], service, ring[position].second});
    }
    remote -= part;
  }
  return subset;
}

const InstanceId& CreditOwnerOf(const EndpointId& endpoint,
                                const std::vector<InstanceId>& daemons) {
  const std::uint64_t seed = StableHash(endpoint);
  const auto weight = [seed](const InstanceId& id) { return StableHash(id.name, seed); };
  return *std::max_element(daemons.begin(), daemons.end(),
                           [&weight](const InstanceId& left, const InstanceId& right) {
                             return weight(left) < weight(right);
                           });
}

}  // namespace fulmarpoint
