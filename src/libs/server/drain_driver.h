#pragma once

#include <functional>
#include <memory>

#include "coordination/drain.h"
#include "server/services.h"

namespace fulmarpoint {

/// Steps of the planned shutdown.
struct DrainHooks {
  std::function<void()> leave_lookups;
  std::function<void()> reject_new_work;
  std::function<void()> exit;
};

/// Performs the planned shutdown. Thread-safe.
class DrainDriver {
 public:
  DrainDriver(Services& services, DrainHooks hooks);
  ~DrainDriver();
  DrainDriver(const DrainDriver&) = delete;
  DrainDriver& operator=(const DrainDriver&) = delete;

  /// Starts the shutdown; further calls change nothing.
  void RequestStop();
  DrainPhase Phase() const;

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace fulmarpoint
