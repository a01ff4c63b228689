#include "support/virtual_network.h"

#include <algorithm>
#include <vector>

namespace fulmarpoint {

namespace {

constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);

}  // namespace

TimePoint VirtualNetwork::ArrivalTime() {
  const auto spread = static_cast<std::uint64_t>(m_latency.count()) / 2 + 1;
  return m_queue.Now() + m_latency + Duration(static_cast<Duration::rep>(m_queue.Draw(spread)));
}

void VirtualNetwork::Run(const NodeName& node, std::uint64_t process, Callback callback) {
  Node& state = m_nodes[node];
  if (!state.running || state.process != process) return;
  if (state.paused) {
    state.backlog.emplace_back(process, std::move(callback));
    return;
  }
  callback();
}

void VirtualNetwork::Post(const NodeName& node, TimePoint at, Callback callback) {
  const std::uint64_t process = m_nodes[node].process;
  m_queue.At(
      at, [this, node, process, callback = std::move(callback)] { Run(node, process, callback); });
}

void VirtualNetwork::SendDatagram(const NodeName& from, const NodeName& to, Callback deliver) {
  if (IsPartitioned(from, to)) return;
  Post(to, ArrivalTime(), std::move(deliver));
}

void VirtualNetwork::Connect(const NodeName& client, const NodeName& server,
                             ClientCallbacks callbacks) {
  if (IsPartitioned(client, server)) {
    Post(client, m_queue.Now() + kConnectTimeout, callbacks.failed);
    return;
  }
  if (!m_nodes[server].running || !m_nodes[server].listening) {
    Post(client, ArrivalTime() + m_latency, callbacks.failed);
    return;
  }
  const ConnectionId id = ++m_last_connection;
  Connection connection;
  connection.client = client;
  connection.server = server;
  connection.client_process = m_nodes[client].process;
  connection.server_process = m_nodes[server].process;
  connection.lost = callbacks.lost;
  m_connections.emplace(id, std::move(connection));
  Post(client, ArrivalTime() + m_latency, [callbacks, id] { callbacks.connected(id); });
}

void VirtualNetwork::Send(ConnectionId id, bool to_server, Callback deliver) {
  const auto found = m_connections.find(id);
  if (found == m_connections.end() || found->second.blackholed) return;
  Connection& connection = found->second;
  if (IsPartitioned(connection.client, connection.server)) {
    connection.queued_messages.emplace_back(to_server, std::move(deliver));
    return;
  }
  TimePoint& last = connection.last_delivery[to_server ? 1 : 0];
  last = std::max(ArrivalTime(), last + Duration(1));
  m_queue.At(last, [this, id, to_server, deliver = std::move(deliver)] {
    const auto open = m_connections.find(id);
    if (open == m_connections.end() || open->second.blackholed) return;
    const Connection& receiving = open->second;
    Run(to_server ? receiving.server : receiving.client,
        to_server ? receiving.server_process : receiving.client_process, deliver);
  });
}

void VirtualNetwork::Close(ConnectionId connection) { m_connections.erase(connection); }

void VirtualNetwork::Unpause(const NodeName& node) {
  Node& state = m_nodes[node];
  state.paused = false;
  while (!state.backlog.empty() && !state.paused) {
    const auto [process, callback] = std::move(state.backlog.front());
    state.backlog.pop_front();
    Run(node, process, callback);
  }
}

void VirtualNetwork::Crash(const NodeName& node) {
  Node& state = m_nodes[node];
  state.running = false;
  state.paused = false;
  ++state.process;
  state.backlog.clear();
  std::vector<ConnectionId> ended;
  for (const auto& [id, connection] : m_connections) {
    if (connection.client == node || connection.server == node) ended.push_back(id);
  }
  for (const ConnectionId id : ended) {
    const Connection connection = std::move(m_connections.at(id));
    m_connections.erase(id);
    const bool notified = connection.server == node && !connection.blackholed && connection.lost &&
                          !IsPartitioned(connection.client, connection.server);
    if (notified) Post(connection.client, ArrivalTime(), connection.lost);
  }
}

void VirtualNetwork::Restart(const NodeName& node) {
  m_nodes[node].running = true;
  m_nodes[node].listening = true;
}

void VirtualNetwork::Heal(const NodeName& a, const NodeName& b) {
  m_partitions.erase(std::minmax(a, b));
  for (auto& [id, connection] : m_connections) {
    const bool between = std::minmax(connection.client, connection.server) == std::minmax(a, b);
    if (!between) continue;
    std::deque<std::pair<bool, Callback>> queued_messages;
    queued_messages.swap(connection.queued_messages);
    for (auto& [to_server, deliver] : queued_messages) Send(id, to_server, std::move(deliver));
  }
}

bool VirtualNetwork::IsPartitioned(const NodeName& a, const NodeName& b) const {
  return m_partitions.contains(std::minmax(a, b));
}

void VirtualNetwork::BlackholeConnections(const NodeName& server) {
  for (auto& [id, connection] : m_connections) {
    if (connection.server == server) connection.blackholed = true;
  }
}

}  // namespace fulmarpoint
