#pragma once

#include <deque>
#include <map>
#include <string>
#include <utility>

#include "standin_server.h"

namespace fulmarpoint::standin {

struct PlatformOptions {
  /// Limits per second, for the table service and the object store together.
  int reads_per_second = 2000;
  int writes_per_second = 500;
  /// Minimum time between two downloads from the weight store.
  Duration weight_interval = std::chrono::seconds(1);
  /// Delay until a change of the instance list becomes visible.
  Duration list_lag = std::chrono::seconds(2);
};

/// Simulated platform, see section 4.2 of docs/design.md: table service, object store, weight store
/// and instance list. Control actions besides those of `StandinServer`:
/// - store: {"service":"tables|objects|weights","state":"up|down|slow|hang|lose","delay_ms":N};
///   `lose` applies a write and closes the connection within the reply;
/// - instances: {"list":[...]} replaces the list; instance: {"name":...,"state":...} changes one
///   entry, `gone` removes it; list_lag: {"ms":N}.
/// `GET /control/state` returns all rows and the current list. Used by one thread.
class PlatformStandin {
 public:
  PlatformStandin(const Executor& executor, const std::string& name, PlatformOptions options);

  StandinServer& Server() { return m_server; }
  void SetInstances(nlohmann::json list);

 private:
  struct Row {
    /// Null if the row was deleted.
    nlohmann::json value;
    std::uint64_t version = 0;
  };
  struct StoreFault {
    std::string state = "up";
    Duration delay = Duration::zero();
  };
  struct RateWindow {
    TimePoint start;
    int count = 0;
  };

  Task<void> Handle(HttpExchange& exchange);
  Task<void> HandleStoreRequest(HttpExchange& exchange, const std::string& service, bool is_write,
                                std::function<HttpReply()> apply);
  HttpReply ReadTable(const Target& target) const;
  HttpReply Transaction(const std::string& body);
  HttpReply ReadObject(const std::string& key) const;
  HttpReply DownloadWeights(const std::string& path);
  HttpReply Instances() const;
  bool Control(const std::string& action, const nlohmann::json& request);
  nlohmann::json State() const;
  bool IsWithinRate(RateWindow& window, int limit);

  PlatformOptions m_options;
  StandinServer m_server;
  std::uint64_t m_version = 0;
  std::map<std::string, std::map<std::string, Row>> m_tables;
  std::map<std::string, std::string> m_objects;
  std::map<std::string, StoreFault> m_faults;
  RateWindow m_reads;
  RateWindow m_writes;
  TimePoint m_next_weight_download;
  nlohmann::json m_instances = nlohmann::json::array();
  std::deque<std::pair<TimePoint, nlohmann::json>> m_instance_lists;
};

}  // namespace fulmarpoint::standin
