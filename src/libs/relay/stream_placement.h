#pragma once

#include <optional>
#include <set>

#include "coordination/relay_placement.h"
#include "relay/relay_context.h"
#include "relay/relayed_request.h"

namespace fulmarpoint {

/// Chooses the engines for one relayed stream by their current state. Used on the daemon's thread.
class StreamPlacement {
 public:
  /// Both must outlive this.
  StreamPlacement(const RelayContext& context, const RelayedRequest& request)
      : m_context(context), m_request(request) {}

  /// Excludes an engine that has failed or rejected the stream.
  void Exclude(const EndpointId& engine) { m_excluded.insert(engine); }
  void Readmit(const EndpointId& engine) { m_excluded.erase(engine); }
  bool IsExcluded(const EndpointId& engine) const { return m_excluded.count(engine) > 0; }
  void ClearExcluded() { m_excluded.clear(); }

  /// Sets whether the stream may use the capacity that contention control reserves for more urgent
  /// ones.
  void SetMayUseReserve(bool may_use_reserve) { m_may_use_reserve = may_use_reserve; }

  /// Returns the engine for the next attempt; nothing if none has capacity.
  std::optional<EndpointRecord> ChooseEngine() const;
  /// Returns the engine that receives the KV cache backup of the attempt at `engine`; nothing if
  /// none has capacity.
  std::optional<EndpointRecord> ChooseBackup(const EndpointRecord& engine) const;
  /// Returns the capacity and features of the service's engines; null if not configured.
  const EngineCapacity* Capacity() const;

 private:
  PlacementRequest MakeRequest(TimePoint now) const;

  const RelayContext& m_context;
  const RelayedRequest& m_request;
  std::set<EndpointId> m_excluded;
  bool m_may_use_reserve = false;
};

}  // namespace fulmarpoint
