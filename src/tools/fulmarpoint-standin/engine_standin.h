#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "prefix_cache.h"
#include "standin_server.h"
#include "transport/notification.h"

namespace fulmarpoint::standin {

struct EngineOptions {
  std::string model = "draft";
  std::vector<std::string> versions = {"v1"};
  int slots = 8;
  /// Number of requests waiting for a slot above which the engine slows down.
  int slowdown_queue_length = 16;
  Duration prefill_per_token = std::chrono::microseconds(200);
  Duration token_interval = std::chrono::milliseconds(20);
  std::size_t cache_tokens = 100'000;
  /// Age of the reported load, i.e. how long a change takes to appear in the load report.
  Duration load_report_delay = std::chrono::milliseconds(200);
  /// Time to load a version of the model.
  Duration version_load_time = std::chrono::seconds(2);
  bool enforces_fencing = true;
};

/// Simulated model engine, see section 4.1 of docs/design.md. Generates the tokens of `TokenAt`.
/// Positions and `max_tokens` count from the start of the generation, so a request with
/// `prefix_tokens` continues after them. As with a real model, a prefix that differs from the
/// generation's own tokens changes those that follow. A finished stream, or one without a reader,
/// is kept for 30 s. Control actions besides those of `StandinServer`: leaving (refuse), version
/// (slow, fail_every), crash_on, cache_events (delay_ms, drop), fencing, load_lag. Used by one
/// thread.
class EngineStandin {
 public:
  EngineStandin(const Executor& executor, const std::string& name, bool exit_on_crash,
                EngineOptions options);

  StandinServer& Server() { return m_server; }

 private:
  struct Stream;
  using StreamPointer = std::shared_ptr<Stream>;
  /// Faults of one version.
  struct VersionFault {
    double slow = 1.0;
    std::uint64_t fail_every = 0;
    std::uint64_t requests = 0;
  };

  Task<void> Handle(HttpExchange& exchange);
  Task<void> StartStream(HttpExchange& exchange);
  Task<void> ReconnectStream(HttpExchange& exchange, const std::string& id, std::uint64_t from);
  Task<void> WriteTokens(HttpExchange& exchange, StreamPointer stream, std::uint64_t from);
  Task<void> Generate(StreamPointer stream);
  Task<void> ProduceTokens(const StreamPointer& stream);
  Task<void> HandleOrder(HttpExchange& exchange);
  Task<void> UpdateLoadReports();
  bool Control(const std::string& action, const nlohmann::json& request);
  nlohmann::json State() const;
  nlohmann::json LoadReport() const;
  nlohmann::json DelayedLoadReport() const;
  void Cancel(const std::string& id);
  void OnCrash();
  void AdmitWaiting();
  void LoadVersion(const std::string& version);
  bool FailsByVersion(const std::string& version);
  /// Returns the factor by which faults and overload slow the engine down.
  double SlowFactor(const std::string& version) const;

  EngineOptions m_options;
  StandinServer m_server;
  PrefixCache m_cache;
  std::uint64_t m_incarnation;
  std::set<std::string> m_versions;
  std::map<std::string, VersionFault> m_version_faults;
  std::map<std::string, StreamPointer> m_streams;
  std::deque<StreamPointer> m_waiting;
  int m_active = 0;
  bool m_leaving = false;
  bool m_rejects_when_leaving = false;
  std::string m_role = "serve";
  std::string m_crash_trigger;
  std::uint64_t m_highest_fencing_token = 0;
  std::deque<std::pair<TimePoint, nlohmann::json>> m_reports;
  std::map<std::string, std::uint64_t> m_counters;
};

}  // namespace fulmarpoint::standin
