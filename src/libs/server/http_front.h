#pragma once

#include <atomic>
#include <string>
#include <string_view>

#include "server/admin_routes.h"
#include "server/admission_gate.h"
#include "server/services.h"
#include "transport/http_server.h"
#include "transport/task.h"

namespace fulmarpoint {

/// Receives the requests of callers and operators: authentication, checks, routes. Thread-safe.
class HttpFront {
 public:
  HttpFront(Services& services, AdminRoutes& admin, AdmissionGate& gate);

  Task<void> Handle(HttpExchange& exchange);
  /// Refuses new work from now on with `kDraining`.
  void RejectNewWork() { m_refusing = true; }

 private:
  Task<void> Complete(HttpExchange& exchange);
  Task<void> Call(HttpExchange& exchange);
  HttpReply AnswerOther(const HttpExchange& exchange, std::string_view path) const;
  HttpReply Ready() const;

  Services& m_services;
  AdminRoutes& m_admin;
  AdmissionGate& m_gate;
  std::atomic<bool> m_refusing{false};
};

}  // namespace fulmarpoint
