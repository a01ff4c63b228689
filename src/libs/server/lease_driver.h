#pragma once

#include <functional>
#include <memory>
#include <string>

#include "coordination/lease.h"
#include "server/services.h"

namespace fulmarpoint {

/// Performs the I/O of one `Lease` with the table service. All events and callbacks run on
/// `strand`, which the holder of the lease also uses, so that no lock is needed. Thread-safe,
/// except that `GetLease` must be called on the strand.
class LeaseDriver {
 public:
  struct Callbacks {
    std::function<void(std::uint64_t fencing_token)> acquired;
    std::function<void()> lost;
  };

  LeaseDriver(Services& services, const Executor& strand, std::string key, Callbacks callbacks,
              Lease::Options options = {});
  ~LeaseDriver();
  LeaseDriver(const LeaseDriver&) = delete;
  LeaseDriver& operator=(const LeaseDriver&) = delete;

  void Start();
  void Stop();
  /// Sets whether this daemon competes for the lease.
  void SetCandidate(bool candidate);
  /// Releases the lease at a planned shutdown.
  void Release();
  /// Check `MaySend(SteadyNow())` before each send.
  const Lease& GetLease() const;

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace fulmarpoint
