#pragma once

#include <map>
#include <string>
#include <vector>

#include "standin_server.h"

namespace fulmarpoint::standin {

struct ApplicationOptions {
  std::string version = "v1";
  int slots = 16;
  Duration service_time = std::chrono::milliseconds(20);
};

/// Simulated application engine. Responds to any path with `AnswerTo`, and records each request
/// other than GET and HEAD as an effect half-way through the service time. With more requests than
/// slots, it slows down in proportion to them. `GET /control/effects` returns the effects. Control
/// actions besides those of `StandinServer`: leaving (refuse), lose_replies (count, hang),
/// fail_every (count). Used by one thread.
class ApplicationStandin {
 public:
  ApplicationStandin(const Executor& executor, const std::string& name, bool exit_on_crash,
                     ApplicationOptions options);

  StandinServer& Server() { return m_server; }

 private:
  Task<void> Handle(HttpExchange& exchange);
  Task<void> Run(HttpExchange& exchange);
  Task<void> DropReply(HttpExchange& exchange);
  bool Control(const std::string& action, const nlohmann::json& request);
  nlohmann::json State() const;
  nlohmann::json LoadReport() const;
  Task<void> SimulateWork();

  ApplicationOptions m_options;
  StandinServer m_server;
  std::uint64_t m_incarnation;
  std::vector<nlohmann::json> m_effects;
  int m_active = 0;
  bool m_leaving = false;
  bool m_rejects_when_leaving = false;
  int m_replies_to_drop = 0;
  bool m_hang_when_dropping = false;
  std::uint64_t m_fail_every = 0;
  std::uint64_t m_requests = 0;
};

}  // namespace fulmarpoint::standin
