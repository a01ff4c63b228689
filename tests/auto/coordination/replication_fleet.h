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

/// A fleet of daemons that follow three tables, and the store, in virtual time. The rows of all
/// daemons are in the store from the start; each daemon reads the tables as `RelayTables` does.
class ReaderFleet {
 public:
  static constexpr Duration kProofValidity = std::chrono::seconds(5);

  ReaderFleet(std::size_t daemons, std::size_t domains, std::size_t rows);
  ~ReaderFleet();
  ReaderFleet(const ReaderFleet&) = delete;
  ReaderFleet& operator=(const ReaderFleet&) = delete;

  /// When the first daemons start.
  static TimePoint Start();

  /// Runs until `end`.
  void RunUntil(TimePoint end);
  /// Calls `action` at `at`.
  void At(TimePoint at, std::function<void()> action);
  /// Changes a row of the configuration.
  void ChangeConfiguration();

  /// Calls that the store has had, and rows in its replies.
  std::size_t Calls() const { return m_calls; }
  std::size_t RowsSent() const { return m_rows_sent; }
  /// Daemons whose proof of the configuration has expired.
  std::size_t Expired() const;
  /// Daemons that do not know the newest configuration.
  std::size_t Behind() const;
  /// Daemons that run and have all they need to serve: the endpoints, and a proven configuration.
  std::size_t Serving() const;
  /// The daemon ends; it answers nobody and forgets everything.
  void Kill(std::size_t daemon);
  /// A daemon that was killed starts.
  void Restart(std::size_t daemon);
  /// The daemons of a domain that read the store for the others.
  std::vector<std::size_t> ReadersOf(std::size_t domain) const;
  /// Index of the daemon that all others of a domain rank first.
  std::size_t BestOf(std::size_t domain) const;

  /// Whether the store answers a daemon; all are answered unless set.
  std::function<bool(std::size_t daemon)> store_answers;
  /// Whether one daemon reaches another.
  std::function<bool(std::size_t from, std::size_t to)> reaches;
  /// Watches in progress get no answer while this holds; when it ends they are cut and the history
  /// is gone.
  void HoldWatches(bool hold);

 private:
  struct Life;
  struct Daemon;
  struct Event {
    TimePoint at{};
    std::uint64_t number = 0;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::tie(other.at, other.number) < std::tie(at, number);
    }
  };
  /// A question that waits for a change. `retry` answers it if there is one.
  struct Waiter {
    std::uint64_t question = 0;
    std::function<void()> retry;
  };

  bool IsOpen(std::size_t daemon, std::size_t table, std::uint64_t question) const;
  void Ask(std::size_t daemon, std::size_t table);
  void AskStore(std::size_t daemon, std::size_t table, const TableWatcher::Call& call);
  void AnswerWatch(std::size_t daemon, std::size_t table, std::uint64_t question,
                   const StoreWatch& watch, TimePoint end);
  void AskPeer(std::size_t daemon, std::size_t table, const TableReplicator::SourceCall& question);
  void AnswerPeer(std::size_t daemon, std::size_t table, std::uint64_t question, std::size_t peer,
                  std::uint64_t after, TimePoint end);
  void Reply(std::size_t daemon, std::size_t table, std::uint64_t question, StoreReply reply,
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
  std::uint64_t m_version = 1;
  std::uint64_t m_history_start = 0;
  std::uint64_t m_configuration_version = 0;
  bool m_holds_watches = false;
  std::vector<Waiter> m_store_waiters;
  std::size_t m_calls = 0;
  std::size_t m_rows_sent = 0;
};

}  // namespace fulmarpoint
