#pragma once

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>

#include "event_log.h"
#include "transport/http_server.h"

namespace fulmarpoint::standin {

/// Path and query parameters of a request target.
struct Target {
  std::string path;
  std::map<std::string, std::string> query;
};

Target ParseTarget(const std::string& target);

/// Decodes the `%XX` escapes of a path segment.
std::string PercentDecode(const std::string& text);

/// Returns query parameter `name` as a number, or 0 if it is missing.
std::uint64_t QueryNumber(const Target& target, const std::string& name);

HttpReply JsonReply(int status, const nlohmann::json& body);
HttpReply ErrorReply(int status, const std::string& error);
HttpReply OkReply();
HttpReply EmptyReply();

/// HTTP server of one simulated service, with the faults that all kinds of service have in common.
/// Used by one thread. Control requests:
/// - `POST /control` {"action":...}: crash, pause, resume, slow, refuse, silence, and the actions
///   of `Callbacks::control`;
/// - `GET /control/events?since=N`;
/// - `GET /control/state`, see `Callbacks::state`.
class StandinServer {
 public:
  struct Callbacks {
    /// Handles a request of the service's own protocol.
    std::function<Task<void>(HttpExchange&)> handle;
    /// Performs a control action of this kind of service. Returns false if the action is unknown.
    std::function<bool(const std::string& action, const nlohmann::json& request)> control;
    /// Returns the counters and records of the service.
    std::function<nlohmann::json()> state;
    /// Discards the state that a process loses in a crash.
    std::function<void()> on_crash;
  };

  /// `exit_on_crash`: whether a crash without a restart ends the process. Otherwise only this
  /// server stops.
  StandinServer(Executor executor, std::string name, bool exit_on_crash, Callbacks callbacks);

  std::error_code Listen(const std::string& address);
  std::string Address() const { return m_address; }
  const std::string& Name() const { return m_name; }
  const Executor& GetExecutor() const { return m_executor; }
  EventLog& Events() { return m_events; }

  /// Factor by which all processing takes longer.
  double SlowFactor() const { return m_slow_factor; }
  /// Returns whether the connection from `peer` is stalled: it stays open, but nothing is sent.
  bool IsStalled(const std::string& peer) const { return m_stalled_peers.contains(peer); }
  /// Completes when the server is not paused.
  Task<void> WaitWhilePaused();
  /// Ends the process, or closes this server until `restart_after` has passed.
  void Crash(std::optional<Duration> restart_after);

 private:
  Task<void> Handle(HttpExchange& exchange);
  Task<void> HandleControl(HttpExchange& exchange, const Target& target);
  bool PerformAction(const std::string& action, const nlohmann::json& request);
  Task<void> WaitUntilClientDisconnects(HttpExchange& exchange);
  void Open();

  Executor m_executor;
  std::string m_name;
  bool m_exit_on_crash;
  Callbacks m_callbacks;
  EventLog m_events;
  std::string m_address;
  std::unique_ptr<HttpServer> m_server;
  bool m_paused = false;
  bool m_rejects_requests = false;
  double m_slow_factor = 1.0;
  std::map<std::string, TimePoint> m_last_request_by_peer;
  std::set<std::string> m_stalled_peers;
};

}  // namespace fulmarpoint::standin
