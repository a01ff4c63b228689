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

/// Replaces `%XX` in a path segment.
std::string PercentDecode(const std::string& text);

/// Returns the number in query parameter `name`, or 0.
std::uint64_t QueryNumber(const Target& target, const std::string& name);

HttpReply JsonReply(int status, const nlohmann::json& body);
HttpReply ErrorReply(int status, const std::string& error);
HttpReply OkReply();
HttpReply EmptyReply();

/// HTTP server of one simulated service with the faults that are common to all kinds. All members
/// run on the one thread of the process. Control requests:
/// - `POST /control` {"action":...}: crash, pause, resume, slow, refuse, silence, and the actions
///   of the kind;
/// - `GET /control/events?since=N`, and `GET /control/state` of the kind.
class StandinServer {
 public:
  struct Callbacks {
    /// Answers a request of the service's own protocol.
    std::function<Task<void>(HttpExchange&)> handle;
    /// Carries out an action of the kind; returns false if there is no such action.
    std::function<bool(const std::string& action, const nlohmann::json& request)> control;
    /// Returns the counters and records of the kind.
    std::function<nlohmann::json()> state;
    /// Forgets everything that a crashed process loses.
    std::function<void()> crashed;
  };

  /// `exit_on_crash`: whether a crash ends the process. Otherwise only this server stops.
  StandinServer(Executor executor, std::string name, bool exit_on_crash, Callbacks callbacks);

  std::error_code Listen(const std::string& address);
  std::string Address() const { return m_address; }
  const std::string& Name() const { return m_name; }
  const Executor& GetExecutor() const { return m_executor; }
  EventLog& Events() { return m_events; }

  /// Factor by which all work takes longer.
  double SlowFactor() const { return m_slow_factor; }
  /// Whether the connection of that peer is to receive nothing any more.
  bool IsSilent(const std::string& peer) const { return m_silent_peers.contains(peer); }
  /// Completes when the server is not paused.
  Task<void> WaitWhilePaused();
  /// Ends the process, or this server until `restart_after` has passed.
  void Crash(std::optional<Duration> restart_after);

 private:
  Task<void> Handle(HttpExchange& exchange);
  Task<void> HandleControl(HttpExchange& exchange, const Target& target);
  bool Act(const std::string& action, const nlohmann::json& request);
  Task<void> HoldUntilClientGone(HttpExchange& exchange);
  void Open();

  Executor m_executor;
  std::string m_name;
  bool m_exit_on_crash;
  Callbacks m_callbacks;
  EventLog m_events;
  std::string m_address;
  std::unique_ptr<HttpServer> m_server;
  bool m_paused = false;
  bool m_refusing = false;
  double m_slow_factor = 1.0;
  std::map<std::string, TimePoint> m_seen_peers;
  std::set<std::string> m_silent_peers;
};

}  // namespace fulmarpoint::standin
