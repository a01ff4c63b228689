#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "protocol/credit_messages.h"
#include "utils/time.h"

namespace fulmarpoint {

/// An endpoint of the subset that a daemon uses, and the daemon that owns its credits.
struct SubsetEndpoint {
  EndpointId endpoint;
  ServiceName service;
  InstanceId owner;
};

/// The subset of endpoints that this daemon uses, or their owners, changed.
struct SubsetChanged {
  std::vector<SubsetEndpoint> endpoints;
};

/// The number of requests of a service that wait for a credit changed.
struct CreditDemandChanged {
  ServiceName service;
  int waiting = 0;
};

struct CreditGrantReceived {
  CreditGrant grant;
};

/// Send at the time that the latest `SetCreditTimer` gives.
struct CreditTimerFired {};

struct SendCreditRequest {
  InstanceId to;
  CreditRequest request;
};

struct SetCreditTimer {
  TimePoint at;
};

/// The number of requests that may run for a service changed. `slots` is the number of running
/// requests plus free credits.
struct CreditSlotsChanged {
  ServiceName service;
  int slots = 0;
};

using CreditHolderEvent =
    std::variant<SubsetChanged, CreditDemandChanged, CreditGrantReceived, CreditTimerFired>;
using CreditHolderAction = std::variant<SendCreditRequest, SetCreditTimer, CreditSlotsChanged>;

/// Holds the credits of this daemon for the endpoints of its subset. Requests credits for all
/// endpoints of an owner in one message, every 2.4 s and earlier when requests wait. Not
/// thread-safe.
class CreditHolder {
 public:
  using Actions = std::vector<CreditHolderAction>;

  explicit CreditHolder(InstanceId self) : m_self(std::move(self)) {}

  void Handle(const CreditHolderEvent& event, TimePoint now, Actions& actions);

  /// Takes a credit for one request. Returns false if there is no valid and free one.
  bool Take(const EndpointId& endpoint, TimePoint now);
  /// Returns the credit of a request that ended. Endpoints outside the subset are ignored.
  void Return(const EndpointId& endpoint);
  /// Returns the number of credits that are valid and free.
  int Free(const EndpointId& endpoint, TimePoint now) const;
  /// Returns the number of running requests plus free credits at the endpoints of a service.
  int Slots(const ServiceName& service, TimePoint now) const;

 private:
  struct Entry {
    EndpointId endpoint;
    ServiceName service;
    InstanceId owner;
    int in_use = 0;
    int held = 0;
    TimePoint expires{};
    /// `sent_at` of the grant in effect, in microseconds.
    std::int64_t applied_sent_at = 0;
    /// The latest grant was smaller than requested, so spare demand goes to other endpoints first.
    bool was_short = false;
    /// Credits for the running and waiting requests.
    int needed = 0;
    /// `needed` plus spare credits.
    int wanted = 0;
    /// No longer in the subset; the entry is kept until its requests have ended.
    bool removed = false;
  };
  struct Owner {
    std::int64_t last_sent_at = 0;
    TimePoint next_early{};
  };

  void On(const SubsetChanged& event, TimePoint now, Actions& actions);
  void On(const CreditDemandChanged& event, TimePoint now, Actions& actions);
  void On(const CreditGrantReceived& event, TimePoint now, Actions& actions);
  void On(const CreditTimerFired& event, TimePoint now, Actions& actions);

  bool TryTakeEarlyRequest(TimePoint now);
  void UpdateDemand(TimePoint now);
  /// Adds `count` credits to what is wanted from the entries: first where credits are held already,
  /// the rest in equal parts.
  void DistributeDemand(const std::vector<Entry*>& order, int count, TimePoint now);
  void RequestCredits(const InstanceId& owner, TimePoint now, Actions& actions);
  void RequestAllCredits(TimePoint now, Actions& actions);
  void ReportSlots(TimePoint now, Actions& actions);
  int Held(const Entry& entry, TimePoint now) const { return entry.expires > now ? entry.held : 0; }

  InstanceId m_self;
  std::map<EndpointHash, Entry> m_entries;
  std::map<InstanceId, Owner> m_owners;
  std::map<ServiceName, int> m_waiting;
  std::map<ServiceName, int> m_reported;
  TimePoint m_next_request{};
  double m_early_request_tokens = 0.0;
  TimePoint m_early_refilled_at{};
};

/// Returns the endpoints of a service that `self` uses: all that it owns, so that every endpoint is
/// used, and some endpoints of the next owners in a hash ring of the daemons. The number of those
/// owners, and with it the number of messages, does not grow with the fleet. `services` is the
/// number of services that share the limit on endpoints of other owners. Thread-safe.
std::vector<SubsetEndpoint> CreditSubset(const InstanceId& self,
                                         const std::vector<InstanceId>& daemons,
                                         const ServiceName& service,
                                         const std::vector<EndpointId>& endpoints, int services);

/// Returns the owner of an endpoint's credits among `daemons`, by rendezvous hashing.
/// Precondition: `daemons` is not empty. Thread-safe.
const InstanceId& CreditOwnerOf(const EndpointId& endpoint, const std::vector<InstanceId>& daemons);

}  // namespace fulmarpoint
