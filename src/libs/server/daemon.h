#pragma once

#include <memory>
#include <string>
#include <system_error>

#include "server/settings.h"

namespace fulmarpoint {

struct Services;

/// One daemon: owns its threads, clients, drivers and servers. Thread-safe.
class Daemon {
 public:
  explicit Daemon(Settings settings);
  /// Stops at once, without a planned shutdown.
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Opens the sockets and starts all drivers. An error is logged with the address concerned.
  std::error_code Start();
  /// Starts the planned shutdown; may be called again.
  void RequestStop();
  /// Returns whether the planned shutdown has ended.
  bool Stopped() const;
  /// Returns "ip:port" of the HTTP service.
  std::string HttpAddress() const;
  Services& SharedServices();

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace fulmarpoint
