#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "coordination/engine_scaling.h"
#include "protocol/duty_messages.h"
#include "utils/time.h"

namespace fulmarpoint {

/// Sums the load that the daemons report on each service. Counters are compared with those of the
/// reply before, of the same process. Not thread-safe.
class FleetDemand {
 public:
  /// Older replies do not count.
  static constexpr Duration kMaxReplyAge = std::chrono::milliseconds(2500);

  /// A daemon replied to a poll that was sent at `asked`.
  void OnReply(const DutyPollReply& reply, TimePoint asked);
  /// Returns the demand for `service` from those of `daemons` that have replied lately.
  EngineScaling::Demand DemandFor(const ServiceName& service, const std::set<std::string>& daemons,
                                  TimePoint now) const;
  /// Forgets the daemons that are not listed.
  void Retain(const std::set<std::string>& daemons);

 private:
  struct Reply {
    std::uint64_t incarnation = 0;
    TimePoint asked{};
    std::map<ServiceName, ServiceLoad> loads;
  };
  struct Daemon {
    Reply latest;
    Reply before;
  };

  std::map<std::string, Daemon> m_daemons;
};

}  // namespace fulmarpoint
