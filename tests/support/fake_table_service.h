#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "support/virtual_network.h"

namespace fulmarpoint {

/// Fake table service with virtual time and fault injection, unlike `SimulatedTableService`, which
/// only models rows and transactions. Clients reach it through the network
/// as the node `kNode`. Not thread-safe.
class FakeTableService {
 public:
  static constexpr const char* kNode = "store";

  enum class Mode {
    kUp,
    /// Requests are lost.
    kDown,
    /// Requests are applied and answered after the delay.
    kSlow,
    /// Transactions are applied; the response is lost.
    kResponseLost,
    /// Transactions are applied after the delay; the response is lost.
    kDelayedWrite,
  };

  struct Row {
    std::string value;
    std::uint64_t version = 0;
  };
  /// Conditional write of a row.
  struct Operation {
    std::string table;
    std::string key;
    /// Version that the row must have; 0 if it must not exist.
    std::uint64_t expect = 0;
    /// Nothing deletes the row.
    std::optional<std::string> value;
  };
  struct Conflict {
    std::string table;
    std::string key;
    /// Current row; nothing if it does not exist.
    std::optional<Row> row;
  };
  struct Result {
    /// Version of the written rows; 0 on conflict.
    std::uint64_t version = 0;
    std::vector<Conflict> conflicts;
  };

  FakeTableService(VirtualNetwork& network, EventQueue& queue)
      : m_network(network), m_queue(queue) {}

  void SetMode(Mode mode) { m_mode = mode; }
  /// Sets the delay of `kSlow` and `kDelayedWrite`.
  void SetDelay(Duration delay) { m_delay = delay; }

  /// Sends a transaction; `reply` is not called if the request or the response is lost.
  void Submit(const std::string& client, std::vector<Operation> operations,
              std::function<void(Result)> reply);
  /// Sends a read of one row.
  void Read(const std::string& client, const std::string& table, const std::string& key,
            std::function<void(std::optional<Row>)> reply);
  /// Sends a read of the rows of a table that changed after version `since`. `reply` also gets the
  /// version of the service.
  void ReadSince(const std::string& client, const std::string& table, std::uint64_t since,
                 std::function<void(std::map<std::string, Row>, std::uint64_t)> reply);

  /// Applies a transaction immediately, without the network and its faults.
  Result Apply(const std::vector<Operation>& operations);
  std::optional<Row> Find(const std::string& table, const std::string& key) const;
  std::uint64_t Transactions() const { return m_transactions; }

 private:
  /// Runs `serve` at the service and the callback that it returns at the client, subject to the
  /// faults of the current mode.
  void Exchange(const std::string& client, bool write,
                const std::function<std::function<void()>()>& serve);

  VirtualNetwork& m_network;
  EventQueue& m_queue;
  Mode m_mode = Mode::kUp;
  Duration m_delay = std::chrono::milliseconds(1500);
  std::map<std::pair<std::string, std::string>, Row> m_rows;
  std::uint64_t m_version = 0;
  std::uint64_t m_transactions = 0;
};

}  // namespace fulmarpoint
