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

/// Handles the HTTP requests of callers and operators: authenticates, checks and routes them.
/// Thread-safe.
class HttpRequestHandler {
 public:
  HttpRequestHandler(Services& services, AdminRoutes& admin, AdmissionGate& gate);

  Task<void> Handle(HttpExchange& exchange);
  /// Rejects new work with `kDraining` from now on.
  void RejectNewWork() { m_rejects_new_work = true; }

 private:
  Task<void> Complete(HttpExchange& exchange);
  Task<void> Call(HttpExchange& exchange);
  HttpReply AnswerOther(const HttpExchange& exchange, std::string_view path) const;
  HttpReply Ready() const;

  Services& m_services;
  AdminRoutes& m_admin;
  AdmissionGate& m_gate;
  std::atomic<bool> m_rejects_new_work{false};
};

}  // namespace fulmarpoint
