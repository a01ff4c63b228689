#pragma once

#include <atomic>
#include <cstdint>
#include <string>

#include "protocol/rollout_messages.h"
#include "protocol/suspect_messages.h"
#include "server/services.h"

namespace fulmarpoint {

class ControlPlaneDriver;

/// Spreads notices of bad versions and crash suspects to all daemons, and hands those of others to
/// the modules concerned. Thread-safe.
class NoticeExchange {
 public:
  NoticeExchange(Services& services, ControlPlaneDriver& control);
  NoticeExchange(const NoticeExchange&) = delete;
  NoticeExchange& operator=(const NoticeExchange&) = delete;

  /// Connects dispatcher and control plane. Call once, before the control plane starts.
  void Connect();
  /// Spreads a notice of this daemon.
  void Publish(const BadVersionNotice& notice);

 private:
  void Publish(const SuspectGossip& notice);
  void OnBadVersion(const std::string& body);
  void OnSuspects(const std::string& body);

  Services& m_services;
  ControlPlaneDriver& m_control;
  std::atomic<std::uint64_t> m_next{1};
};

}  // namespace fulmarpoint
