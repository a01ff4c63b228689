#pragma once

#include <functional>
#include <memory>
#include <string>
#include <system_error>

#include "relay/relay_settings.h"
#include "relay/relay_sources.h"
#include "relay/relay_wire.h"
#include "transport/task.h"

namespace fulmarpoint {

/// A relay daemon: serves callers, lookups, readiness checks and metrics, and replicates the
/// store's tables. Runs on one thread, the one of `executor`.
class RelayDaemon {
 public:
  RelayDaemon(const Executor& executor, RelaySettings settings, RelayWire wire, Store store,
              RelaySources sources, std::uint64_t seed);
  /// Stops at once. Tasks in progress must not be resumed afterwards.
  ~RelayDaemon();
  RelayDaemon(const RelayDaemon&) = delete;
  RelayDaemon& operator=(const RelayDaemon&) = delete;

  /// Opens the addresses of the settings and starts.
  std::error_code Start();
  /// Starts a graceful shutdown; `on_stopped` is called when no request is left.
  void RequestStop(std::function<void()> on_stopped);
  /// Applies changed limits. The name and the addresses cannot change while the process runs.
  void ApplySettings(const RelaySettings& settings);

  /// Return "ip:port" of the service for callers, of the lookup and of the metrics. Precondition:
  /// its server was started.
  std::string CallerAddress() const;
  std::string LookupAddress() const;
  std::string MetricsAddress() const;
  /// Returns whether any table is replicated from a peer instead of the store.
  bool ReplicatesFromPeer() const;
  /// Returns whether the daemon has a usable configuration and an endpoint. A daemon that is
  /// shutting down still does, although it is no longer ready.
  bool IsServing() const;

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace fulmarpoint
