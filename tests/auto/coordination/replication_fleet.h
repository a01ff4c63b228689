#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <tuple>
#include <vector>

#include "coordination/table_replica.h"
#include "coordination/table_replicator.h"

namespace fulmarpoint {

/// Simulates a store and a fleet of daemons that replicate three tables from it, in virtual time.
/// The rows of all daemons are in the store from the start. Each daemon reads the tables as
/// `RelayTables` does.
class ReplicationFleet {
 public:
  static constexpr Duration kConfirmationValidity = std::chrono::seconds(5);

  ReplicationFleet(std::size_t daemons, std::size_t domains, std::size_t rows);
  ~ReplicationFleet();
  ReplicationFleet(const ReplicationFleet&) = delete;
  ReplicationFleet& operator=(const ReplicationFleet&) = delete;

  /// Returns the time at which the first daemons start.
  static TimePoint Start();

  /// Runs until `end`.
  void RunUntil(TimePoint end);
  /// Calls `action` at `at`.
  void At(TimePoint at, std::function<void()> action);
  /// The store's rows at one time.
  struct Copy {
    std::vector<std::map<std::string, StoreRow>> tables;
    std::uint64_t version = 0;
  };

  /// Changes the configuration.
  void ChangeConfiguration();
  /// Writes the latest configuration again.
  void WriteConfiguration();
  Copy TakeCopy() const { return {m_tables, m_version}; }
  /// The store loses all that it acknowledged since `copy` and begins a new epoch.
  void Restore(const Copy& copy);

  /// Returns the number of calls to the store, and of rows in its replies.
  std::size_t Calls() const { return m_calls; }
  std::size_t RowsSent() const { return m_rows_sent; }
  /// Returns the number of daemons whose confirmation of the configuration has expired.
  std::size_t CountExpired() const;
  /// Returns the number of daemons without the latest configuration.
  std::size_t CountBehind() const;
  /// Returns the number of running daemons that can serve: they have the endpoints and a confirmed
  /// configuration.
  std::size_t CountServing() const;
  /// Ends the daemon's process; it stops answering and loses its state.
  void Kill(std::size_t daemon);
  /// Starts a daemon that was killed.
  void Restart(std::size_t daemon);
  /// Returns the direct readers of a domain.
  std::vector<std::size_t> DirectReadersOf(std::size_t domain) const;
  /// Returns the daemon that ranks first in a domain.
  std::size_t FirstRankedOf(std::size_t domain) const;

  /// Returns whether the store answers a daemon. If unset, it answers all.
  std::function<bool(std::size_t daemon)> store_answers;
  /// Returns whether one daemon reaches another. If unset, each reaches all.
  std::function<bool(std::size_t from, std::size_t to)> reaches;
  /// While `stall` is set, watches get no answer. When it is cleared, the waiting ones fail and the
  /// history of changes is dropped.
  void StallWatches(bool stall);
  /// The watches in progress fail.
  void CutWatches();

 private:
  struct Process;
  struct Daemon;
  struct Event {
    TimePoint at{};
    std::uint64_t number = 0;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::tie(other.at, other.number) < std::tie(at, number);
    }
  };
  /// A call that waits for a change. `retry` answers it if there is one.
  struct PendingCall {
    std::uint64_t call_id = 0;
    std::function<void()> retry;
  };

  bool IsOpen(std::size_t daemon, std::size_t table, std::uint64_t call_id) const;
  void StartCall(std::size_t daemon, std::size_t table);
  void CallStore(std::size_t daemon, std::size_t table, const TableWatcher::Call& call);
  void AnswerWatch(std::size_t daemon, std::size_t table, std::uint64_t call_id,
                   const StoreWatch& watch, TimePoint end);
  void CallPeer(std::size_t daemon, std::size_t table, const TableReplicator::SourceCall& call);
  void AnswerPeer(std::size_t daemon, std::size_t table, std::uint64_t call_id, std::size_t peer,
                  StorePosition after, TimePoint end);
  void Reply(std::size_t daemon, std::size_t table, std::uint64_t call_id, StoreReply reply,
             Duration delay);
  void OnReply(std::size_t daemon, std::size_t table, const StoreReply& reply);
  StoreReply Rows(std::size_t table, std::uint64_t after) const;

  TimePoint m_now;
  std::uint64_t m_last_number = 0;
  std::priority_queue<Event> m_events;
  std::vector<std::unique_ptr<Daemon>> m_daemons;
  std::map<std::string, std::size_t> m_by_address;
  std::size_t m_domains;
  std::vector<std::map<std::string, StoreRow>> m_tables;
  std::uint64_t m_epoch = 1;
  std::uint64_t m_version = 1;
  std::uint64_t m_history_start = 0;
  std::uint64_t m_configuration_version = 0;
  bool m_stalls_watches = false;
  std::vector<PendingCall> m_pending_watches;
  std::size_t m_calls = 0;
  std::size_t m_rows_sent = 0;
};

}  // namespace fulmarpoint
