#include "server/lease_driver.h"

#include <algorithm>
#include <atomic>
#include <random>
#include <utility>

#include "server/table_client.h"
#include "utils/logging.h"
#include "utils/metrics.h"
#include "utils/overloaded.h"

namespace fulmarpoint {

struct LeaseDriver::State : std::enable_shared_from_this<LeaseDriver::State> {
  State(Services& shared, const Executor& own_strand, std::string own_key, Callbacks own_callbacks,
        Lease::Options options)
      : services(shared),
        strand(own_strand),
        key(std::move(own_key)),
        callbacks(std::move(own_callbacks)),
        lease(key, shared.self, options, std::random_device{}()) {}

  void Post(const Lease::Event& event);
  void Handle(const Lease::Event& event);
  void Perform(const Lease::Action& action);
  Task<void> Read(Lease::ReadRow read);
  Task<void> Write(Lease::WriteRow write);

  Services& services;
  const Executor strand;
  const std::string key;
  const Callbacks callbacks;
  Lease lease;
  std::atomic<bool> stopped{false};
};

void LeaseDriver::State::Post(const Lease::Event& event) {
  fulmarpoint::Post(strand, [self = shared_from_this(), event]() { self->Handle(event); });
}

void LeaseDriver::State::Handle(const Lease::Event& event) {
  if (stopped) return;
  std::vector<Lease::Action> actions;
  lease.Handle(event, SteadyNow(), actions);
  for (const Lease::Action& action : actions) Perform(action);
}

void LeaseDriver::State::Perform(const Lease::Action& action) {
  const std::shared_ptr<State> self = shared_from_this();
  std::visit(Overloaded{
                 [&](const Lease::SetTimer& timer) {
                   Spawn(strand, [self, timer]() -> Task<void> {
                     co_await Sleep(std::max(Duration(0), timer.at - SteadyNow()));
                     self->Handle(Lease::TimerFired{});
                   });
                 },
                 [&](const Lease::ReadRow& read) {
                   Spawn(strand, [self, read]() { return self->Read(read); });
                 },
                 [&](const Lease::WriteRow& write) {
                   Spawn(strand, [self, write]() { return self->Write(write); });
                 },
                 [&](const Lease::Acquired& acquired) {
                   Log(LogLevel::kInfo, "lease_acquired",
                       {{"lease", key}, {"token", acquired.fencing_token}});
                   services.metrics.Count("leases", "acquired");
                   callbacks.acquired(acquired.fencing_token);
                 },
                 [&](const Lease::Lost&) {
                   Log(LogLevel::kWarning, "lease_lost", {{"lease", key}});
                   services.metrics.Count("leases", "lost");
                   callbacks.lost();
                 },
             },
             action);
}

Task<void> LeaseDriver::State::Read(Lease::ReadRow read) {
  const std::shared_ptr<State> self = shared_from_this();
  const RowRead result = co_await services.tables.Read(kLeaseTable, read.key);
  Lease::RowRead event{read.token, !result.error, std::nullopt};
  if (result.row && result.row->value) {
    event.row = TableRow{read.key, result.row->version, *result.row->value};
  }
  Handle(event);
}

Task<void> LeaseDriver::State::Write(Lease::WriteRow write) {
  const std::shared_ptr<State> self = shared_from_this();
  const TableOperation& operation = write.operation;
  std::vector<RowChange> rows = {
      {operation.table, operation.key, operation.expect, operation.value}};
  const TransactionResult result = co_await services.tables.Write(std::move(rows));
  Lease::WriteDone event{write.token, TableOutcome::kUnknown, result.version};
  if (result.outcome == WriteOutcome::kCommitted) event.outcome = TableOutcome::kDone;
  if (result.outcome == WriteOutcome::kConflict) event.outcome = TableOutcome::kConflict;
  Handle(event);
}

LeaseDriver::LeaseDriver(Services& services, const Executor& strand, std::string key,
                         Callbacks callbacks, Lease::Options options)
    : m_state(std::make_shared<State>(services, strand, std::move(key), std::move(callbacks),
                                      options)) {}

LeaseDriver::~LeaseDriver() { Stop(); }

void LeaseDriver::Start() { m_state->Post(Lease::Start{}); }

void LeaseDriver::Stop() { m_state->stopped = true; }

void LeaseDriver::SetCandidate(bool candidate) {
  m_state->Post(Lease::CandidateChanged{candidate});
}

void LeaseDriver::Release() { m_state->Post(Lease::Release{}); }

const Lease& LeaseDriver::GetLease() const { return m_state->lease; }

}  // namespace fulmarpoint
