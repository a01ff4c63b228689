#include "coordination/endpoint_ramp_filter.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <set>
#include <utility>

namespace fulmarpoint {

namespace {

// Daemons on both sides of an endpoint that use it mostly, as a multiple of those within the
// visible distance, which exchange heartbeats with each other.
constexpr double kNearDistances = 2.0;

bool IsExempt(const DirectoryEndpoint& endpoint, const RampFleet& fleet) {
  return !fleet.new_version.empty() && endpoint.record.version == fleet.new_version;
}

bool HasRamp(const DirectoryEndpoint& endpoint, const RampFleet& fleet, TimePoint now) {
  return !IsExempt(endpoint, fleet) && endpoint.ramp.Phase(now) != RampPhase::kSteady;
}

double ReturnedShare(const std::vector<const DirectoryEndpoint*>& endpoints, const RampFleet& fleet,
                     TimePoint now) {
  const std::ptrdiff_t returned =
      std::count_if(endpoints.begin(), endpoints.end(), [&](const DirectoryEndpoint* endpoint) {
        return !IsExempt(*endpoint, fleet) && endpoint->ramp.HasReturnedRecently(now);
      });
  return static_cast<double>(returned) / static_cast<double>(endpoints.size());
}

std::size_t NearDaemons(const RampFleet& fleet) {
  if (!fleet.ring) return fleet.daemons;
  const double share = 2 * kNearDistances * fleet.ring->visible_distance;
  const double near = std::round(share * static_cast<double>(fleet.daemons));
  return std::clamp<std::size_t>(static_cast<std::size_t>(near), 1, fleet.daemons);
}

/// Returns the endpoints that this daemon uses mostly. Ranks them on the ring as placement does.
std::set<const DirectoryEndpoint*> NearEndpoints(
    const std::vector<const DirectoryEndpoint*>& endpoints, const RingView& ring) {
  std::vector<std::pair<std::uint64_t, const DirectoryEndpoint*>> ordered;
  ordered.reserve(endpoints.size());
  for (const DirectoryEndpoint* endpoint : endpoints) {
    ordered.emplace_back(StableHash(endpoint->record.id), endpoint);
  }
  std::sort(ordered.begin(), ordered.end());
  std::set<const DirectoryEndpoint*> near;
  for (std::size_t i = 0; i < ordered.size(); ++i) {
    const double position = static_cast<double>(i) / static_cast<double>(ordered.size());
    const double offset = std::abs(position - ring.position);
    const double distance = std::min(offset, 1.0 - offset);
    if (distance < kNearDistances * ring.visible_distance) near.insert(ordered[i].second);
  }
  return near;
}

}  // namespace

std::vector<const DirectoryEndpoint*> WithoutRampLimited(
    const std::vector<const DirectoryEndpoint*>& endpoints, const RampFleet& fleet, TimePoint now) {
  const bool has_ramps = std::any_of(
      endpoints.begin(), endpoints.end(),
      [&](const DirectoryEndpoint* endpoint) { return HasRamp(*endpoint, fleet, now); });
  if (!has_ramps) return endpoints;
  RampConditions conditions;
  conditions.near_daemons = NearDaemons(fleet);
  conditions.returned_share = ReturnedShare(endpoints, fleet, now);
  const std::set<const DirectoryEndpoint*> near =
      fleet.ring ? NearEndpoints(endpoints, *fleet.ring) : std::set<const DirectoryEndpoint*>();
  std::vector<const DirectoryEndpoint*> admitted;
  for (const DirectoryEndpoint* endpoint : endpoints) {
    conditions.slots = endpoint->record.slots;
    conditions.is_near = !fleet.ring || near.contains(endpoint);
    const bool may_take = IsExempt(*endpoint, fleet) ||
                          endpoint->ramp.MayTake(endpoint->own.requests, conditions, now);
    if (may_take) admitted.push_back(endpoint);
  }
  return admitted.empty() ? endpoints : admitted;
}

}  // namespace fulmarpoint
