#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "verification/event_queue.h"

namespace fulmarpoint {

/// Simulated network of nodes, connections and datagrams with virtual time. A node can be paused
/// (its messages and timers are deferred), crashed (they are dropped) and partitioned from another
/// node. Latencies and the order of events depend on the seed of the queue. Not thread-safe.
class VirtualNetwork {
 public:
  using NodeName = std::string;
  using Callback = std::function<void()>;
  using ConnectionId = std::uint64_t;

  /// Callbacks at the client's end of a connection.
  struct ClientCallbacks {
    std::function<void(ConnectionId)> connected;
    /// The connection could not be established; no byte was sent.
    Callback failed;
    /// The server's process ended.
    Callback lost;
  };

  VirtualNetwork(EventQueue& queue, Duration latency) : m_queue(queue), m_latency(latency) {}

  /// Runs `callback` at a node: after the pause if it is paused, never if it crashes before.
  void Post(const NodeName& node, TimePoint at, Callback callback);
  /// Sends a datagram; it is lost if the nodes are partitioned.
  void SendDatagram(const NodeName& from, const NodeName& to, Callback deliver);

  void Connect(const NodeName& client, const NodeName& server, ClientCallbacks callbacks);
  /// Delivers messages in order per direction. During a partition they are queued, as TCP
  /// retransmits them. They are lost if the connection is closed or black-holed or the receiver has
  /// crashed.
  void Send(ConnectionId connection, bool to_server, Callback deliver);
  void Close(ConnectionId connection);

  void Pause(const NodeName& node) { m_nodes[node].paused = true; }
  void Unpause(const NodeName& node);
  void Crash(const NodeName& node);
  void Restart(const NodeName& node);
  /// Rejects new connections until `Restart`.
  void StopListening(const NodeName& node) { m_nodes[node].listening = false; }
  void Partition(const NodeName& a, const NodeName& b) { m_partitions.insert(std::minmax(a, b)); }
  void Heal(const NodeName& a, const NodeName& b);
  bool IsPartitioned(const NodeName& a, const NodeName& b) const;
  bool IsRunning(const NodeName& node) { return m_nodes[node].running; }
  bool IsPaused(const NodeName& node) { return m_nodes[node].paused; }
  /// Drops all further traffic on the open connections of a server without closing them, like a
  /// middlebox that has lost their state.
  void BlackholeConnections(const NodeName& server);

 private:
  struct Node {
    bool running = true;
    bool listening = true;
    bool paused = false;
    /// Grows with each crash; callbacks for an earlier process are dropped.
    std::uint64_t process = 0;
    std::deque<std::pair<std::uint64_t, Callback>> backlog;
  };
  struct Connection {
    NodeName client;
    NodeName server;
    std::uint64_t client_process = 0;
    std::uint64_t server_process = 0;
    bool blackholed = false;
    Callback lost;
    TimePoint last_delivery[2];
    /// Messages sent during a partition, with whether they go to the server.
    std::deque<std::pair<bool, Callback>> queued_messages;
  };

  void Run(const NodeName& node, std::uint64_t process, Callback callback);
  TimePoint ArrivalTime();

  EventQueue& m_queue;
  Duration m_latency;
  std::map<NodeName, Node> m_nodes;
  std::set<std::pair<NodeName, NodeName>> m_partitions;
  std::map<ConnectionId, Connection> m_connections;
  ConnectionId m_last_connection = 0;
};

}  // namespace fulmarpoint
