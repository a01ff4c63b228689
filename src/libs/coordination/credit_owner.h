#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "protocol/credit_messages.h"
#include "utils/time.h"

namespace fulmarpoint {

/// A grant counts for this long: from the request's departure at the holder, from its arrival at
/// the owner, which is later.
inline constexpr Duration kCreditLifetime = std::chrono::seconds(5);

/// An owner keeps the credits of a silent holder in reserve for this long. Longer than the
/// detection of a failure, so that in a partition the owner knows that it sees only a part of the
/// daemons before it grants the credits to others.
inline constexpr Duration kCreditReserve = std::chrono::seconds(10);

/// The endpoints that this daemon owns by rendezvous hashing over the members it sees.
struct OwnedEndpointsChanged {
  std::vector<EndpointHash> endpoints;
  /// No other daemon can have granted these endpoints, because there is none.
  bool alone = false;
};

/// An owner that sees only part of the daemons grants that part of the capacity. `known` includes
/// failed daemons until they have announced that they leave or the instance list confirms it.
struct VisibleDaemonsChanged {
  int visible = 1;
  int known = 1;
};

/// Load report of an owned endpoint, however old.
struct OwnedLoadReported {
  EndpointHash endpoint = 0;
  int slots = 0;
  int active = 0;
  int queued = 0;
};

struct CreditRequestReceived {
  CreditRequest request;
};

struct SendCreditGrant {
  InstanceId to;
  CreditGrant grant;
};

using CreditOwnerEvent = std::variant<OwnedEndpointsChanged, VisibleDaemonsChanged,
                                      OwnedLoadReported, CreditRequestReceived>;
using CreditOwnerAction = std::variant<SendCreditGrant>;

/// Grants the slots of the endpoints that this daemon owns. The sum of the grants that holders may
/// still use never exceeds the capacity; occupied slots that no grant explains reduce it. A new
/// owner renews what holders report and grants more only after the grants of its predecessor have
/// expired; so does an owner that was paused, and one that sees more daemons than before. Shares
/// between holders are max-min fair. Must be given load reports at least every 2 s. Not
/// thread-safe.
class CreditOwner {
 public:
  using Actions = std::vector<CreditOwnerAction>;

  explicit CreditOwner(InstanceId self) : m_self(std::move(self)) {}

  void Handle(const CreditOwnerEvent& event, TimePoint now, Actions& actions);

  std::size_t Holders() const;

 private:
  struct Record {
    std::int64_t sent_at = 0;
    int amount = 0;
    TimePoint expires{};
  };
  struct Holder {
    int in_use = 0;
    int needed = 0;
    int wanted = 0;
    std::int64_t last_sent_at = 0;
    TimePoint expires{};
    /// Grants that the holder may be using: it applies them in order, but some may be lost.
    std::deque<Record> records;
  };
  struct Endpoint {
    TimePoint owned_since{};
    std::optional<OwnedLoadReported> load;
    std::map<InstanceId, Holder> holders;
  };

  void On(const OwnedEndpointsChanged& event, TimePoint now, Actions& actions);
  void On(const VisibleDaemonsChanged& event, TimePoint now, Actions& actions);
  void On(const OwnedLoadReported& event, TimePoint now, Actions& actions);
  void On(const CreditRequestReceived& event, TimePoint now, Actions& actions);

  void ForgetAfterPause(TimePoint now);
  int Decide(Endpoint& endpoint, const InstanceId& id, const CreditDemand& demand, TimePoint now);
  int Capacity(const Endpoint& endpoint, TimePoint now) const;
  int FairShare(const Endpoint& endpoint, const InstanceId& id, int capacity) const;
  static int Outstanding(const Holder& holder);
  static void Expire(Endpoint& endpoint, TimePoint now);

  InstanceId m_self;
  VisibleDaemonsChanged m_seen;
  /// Share of the capacity before more daemons were seen; applies until `m_share_until`.
  VisibleDaemonsChanged m_seen_before;
  TimePoint m_share_until{};
  std::optional<TimePoint> m_last_event;
  std::map<EndpointHash, Endpoint> m_endpoints;
};

}  // namespace fulmarpoint
