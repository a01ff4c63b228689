#pragma once

#include <cstdint>
#include <memory>
#include <optional>

#include "coordination/router.h"
#include "protocol/catalogue.h"
#include "protocol/identifiers.h"
#include "server/rejection.h"
#include "server/services.h"
#include "transport/task.h"

namespace fulmarpoint {

class AdmissionTable;
class CreditTable;
class HttpExchange;

/// The properties of a request that its admission depends on.
struct AdmissionTicket {
  RequestId id;
  OrganisationId organisation;
  std::shared_ptr<const CatalogueEntry> entry;
  int weight = 1;
  int max_concurrent = 64;
  Priority priority = Priority::kNormal;
  TimePoint deadline;
};

/// Queues requests until they get a slot, see `Admission`. Thread-safe.
class AdmissionGate {
 public:
  AdmissionGate(Services& services, AdmissionTable& table);
  ~AdmissionGate();
  AdmissionGate(const AdmissionGate&) = delete;
  AdmissionGate& operator=(const AdmissionGate&) = delete;

  /// Takes the number of slots from the credits. Call before `Start`; `credits` must outlive this
  /// object.
  void SetCredits(const CreditTable& credits);
  /// Starts the timer that rejects requests which wait too long.
  void Start();
  void Stop();

  /// Returns whether each service with live endpoints has had a slot at least once. A daemon that
  /// has just started waits for its first credits.
  bool HasHadSlots() const;

  /// Holds the slot of an admitted request. The destructor releases the slot, or removes the
  /// request from the queue if it still waits.
  class Slot {
   public:
    Slot(AdmissionGate& gate, ServiceName service, std::uint64_t number);
    ~Slot();
    Slot(const Slot&) = delete;
    Slot& operator=(const Slot&) = delete;

    /// Set if the request was rejected.
    std::optional<Rejection> rejection;  // NOLINT(readability-identifier-naming)

   private:
    AdmissionGate& m_gate;
    const ServiceName m_service;
    const std::uint64_t m_number;
  };

  /// Waits until the request is admitted or rejected, or its caller has disconnected. Runs on the
  /// strand of `exchange` and uses its `OnClientDisconnect` handler during the wait.
  Task<std::unique_ptr<Slot>> WaitForSlot(AdmissionTicket ticket, HttpExchange& exchange);

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace fulmarpoint
