#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "transport/http_server.h"
#include "transport/task.h"

namespace fulmarpoint {

/// Test double of the platform's store that holds its rows in memory. Used on one strand.
class StoreStandin {
 public:
  explicit StoreStandin(const Executor& executor);

  std::string Address() const { return m_server.Address(); }
  /// Writes a row as the operator or an endpoint does.
  void Put(const std::string& table, const std::string& key, const std::string& value);
  void Remove(const std::string& table, const std::string& key);
  /// Drops the history: watches from an earlier version are answered with 410.
  void DropHistory() { m_history_start = m_version; }
  /// Replies to every call with this status; 0 restores normal service.
  void FailWith(int status) { m_failure = status; }
  /// Leaves calls without a reply until reset.
  void Hang(bool hang) { m_hang = hang; }
  /// Keeps a copy of all rows.
  void TakeCopy() { m_copy = {m_tables, m_version}; }
  /// Loses everything since the last copy was taken and begins a new epoch.
  void Restore();
  bool Has(const std::string& table, const std::string& key) const;
  /// Returns the value of a row; empty if there is none.
  std::string Value(const std::string& table, const std::string& key) const;
  int Calls() const { return m_calls; }

 private:
  struct Row {
    std::string value;
    std::uint64_t version = 0;
    bool removed = false;
  };
  using Table = std::map<std::string, Row>;

  struct Copy {
    std::map<std::string, Table> tables;
    std::uint64_t version = 0;
  };

  Task<void> Handle(HttpExchange& exchange);
  Task<HttpReply> Answer(HttpRequest request);
  HttpReply Read(const std::string& target);
  Task<HttpReply> Watch(std::string target);
  /// Returns the reply to a watch; nothing if there is no change and `even_if_none` is false.
  std::optional<HttpReply> Changes(const std::string& table, std::uint64_t after,
                                   bool even_if_none);
  HttpReply Commit(const std::string& body);

  std::map<std::string, Table> m_tables;
  std::uint64_t m_version = 1;
  std::uint64_t m_epoch = 1;
  Copy m_copy;
  std::uint64_t m_history_start = 0;
  int m_failure = 0;
  bool m_hang = false;
  int m_calls = 0;
  HttpServer m_server;
};

}  // namespace fulmarpoint
