#pragma once

#include <cstdint>
#include <memory>
#include <optional>

#include "coordination/router.h"
#include "protocol/catalogue.h"
#include "protocol/identifiers.h"
#include "server/refusal.h"
#include "server/services.h"
#include "transport/task.h"

namespace fulmarpoint {

class AdmissionTable;
class CreditTable;
class HttpExchange;

/// What admission needs to know about a request.
struct AdmissionTicket {
  RequestId id;
  OrganisationId organisation;
  std::shared_ptr<const CatalogueEntry> entry;
  int weight = 1;
  int max_concurrent = 64;
  Priority priority = Priority::kNormal;
  TimePoint deadline;
};

/// Keeps requests waiting until they have a slot, see `Admission`. Thread-safe.
class AdmissionGate {
 public:
  AdmissionGate(Services& services, AdmissionTable& table);
  ~AdmissionGate();
  AdmissionGate(const AdmissionGate&) = delete;
  AdmissionGate& operator=(const AdmissionGate&) = delete;

  /// Takes the number of slots from the credits. Set before `Start`; `credits` outlives this.
  void SetCredits(const CreditTable& credits);
  /// Starts the timer that refuses requests which wait too long.
  void Start();
  void Stop();

  /// Returns whether each service with live endpoints has had a slot at some time. A daemon that
  /// has just started waits for its first credits.
  bool HasHadSlots() const;

  /// A slot that an admitted request holds until this is destroyed.
  class Slot {
   public:
    Slot(AdmissionGate& gate, ServiceName service, std::uint64_t number);
    ~Slot();
    Slot(const Slot&) = delete;
    Slot& operator=(const Slot&) = delete;

    /// Nothing if the request was admitted.
    std::optional<Refusal> refusal;  // NOLINT(readability-identifier-naming)

   private:
    AdmissionGate& m_gate;
    const ServiceName m_service;
    const std::uint64_t m_number;
  };

  /// Waits until the request is admitted, refused, or its caller has gone. Runs on the strand of
  /// `exchange`; takes its `OnClientDisconnect` for the time of the wait.
  Task<std::unique_ptr<Slot>> WaitForSlot(AdmissionTicket ticket, HttpExchange& exchange);

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace fulmarpoint
