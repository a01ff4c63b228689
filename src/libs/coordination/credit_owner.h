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

/// Lifetime of a grant. It begins at the holder when the request is sent, and at the owner when the
/// request arrives, which is later.
inline constexpr Duration kCreditLifetime = std::chrono::seconds(5);

/// How long an owner reserves the credits of a holder that sends no requests. This is longer than
/// failure detection takes, so that in a partition the owner detects that it sees only a part of
/// the daemons before it grants the credits to others.
inline constexpr Duration kCreditReserve = std::chrono::seconds(10);

/// The set of endpoints changed that this daemon owns by rendezvous hashing over the visible
/// members.
struct OwnedEndpointsChanged {
  std::vector<EndpointHash> endpoints;
  /// There are no other daemons, so none can have granted slots of these endpoints.
  bool alone = false;
};

/// The number of visible or known daemons changed. An owner that sees only a part of the daemons
/// grants only that part of the capacity. `known` includes failed daemons until they have announced
/// that they leave or the instance list confirms it.
struct VisibleDaemonsChanged {
  int visible = 1;
  int known = 1;
};

/// Load report of an owned endpoint, whatever its age.
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

/// Grants the slots of the endpoints that this daemon owns as credits. The sum of the grants that
/// holders may still use never exceeds the capacity. Occupied slots that no grant accounts for
/// reduce the capacity. A new owner only renews the credits that holders report until the grants of
/// its predecessor have expired; so does an owner that was paused. An owner that sees more daemons
/// than before keeps to its earlier share of the capacity for that time. Shares between holders are
/// max-min fair. Needs load reports at least every 2 s. Not thread-safe.
class CreditOwner {
 public:
  using Actions = std::vector<CreditOwnerAction>;

  explicit CreditOwner(InstanceId self) : m_self(std::move(self)) {}

  void Handle(const CreditOwnerEvent& event, TimePoint now, Actions& actions);

  /// Returns the number of holders, summed over the endpoints.
  std::size_t Holders() const;

 private:
  struct GrantRecord {
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
    /// Grants that the holder may be using. It applies them in order, but some may have been lost.
    std::deque<GrantRecord> records;
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

  void ResetAfterPause(TimePoint now);
  int DecideGrant(Endpoint& endpoint, const InstanceId& id, const CreditDemand& demand,
                  TimePoint now);
  int Capacity(const Endpoint& endpoint, TimePoint now) const;
  int FairShare(const Endpoint& endpoint, const InstanceId& id, int capacity) const;
  static int Outstanding(const Holder& holder);
  static void Expire(Endpoint& endpoint, TimePoint now);

  InstanceId m_self;
  VisibleDaemonsChanged m_daemons_seen;
  /// Visible and known daemons before more became visible. The share of the capacity that follows
  /// from them is an upper bound until `m_earlier_share_until`.
  VisibleDaemonsChanged m_earlier_daemons_seen;
  TimePoint m_earlier_share_until{};
  std::optional<TimePoint> m_last_event;
  std::map<EndpointHash, Endpoint> m_endpoints;
};

}  // namespace fulmarpoint
