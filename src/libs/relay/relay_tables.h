#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "coordination/replication_source_selection.h"
#include "relay/relay_context.h"
#include "relay/relay_sources.h"
#include "relay/replica_client.h"
#include "relay/replica_service.h"
#include "relay/table_replication.h"

namespace fulmarpoint {

/// This daemon's copies of the store's tables: the configuration, the endpoints and the daemons. It
/// keeps the context's configuration and endpoints up to date and offers the copies to peers. Used
/// on the daemon's thread.
class RelayTables {
 public:
  struct Handlers {
    /// The context has another configuration.
    std::function<void()> on_configuration;
    /// Rows of daemons have changed.
    std::function<void(const std::vector<TableWatcher::Change>&)> on_peers;
  };

  /// `context` and `connections` must outlive this.
  RelayTables(RelayContext& context, PeerConnections& connections, RelaySources sources,
              Handlers handlers, std::uint64_t seed);
  RelayTables(const RelayTables&) = delete;
  RelayTables& operator=(const RelayTables&) = delete;

  /// Starts to follow the tables as the daemon `self`. Call once.
  void Start(PeerRecord self);
  /// Stops following them.
  void Stop() { m_feeds.clear(); }
  /// Answers a peer that follows a table here.
  Task<TableReplicaReply> AnswerPeer(TableReplicaRequest request);
  /// Returns whether a table is followed at a peer instead of the store.
  bool FollowsPeer() const;

 private:
  TableFeed& AddFeed(TableReplicator::Options options,
                     std::function<void(const std::vector<TableWatcher::Change>&)> on_changes);
  void OnCurrent(const std::string& table, std::uint64_t version, TimePoint at);
  void OnConfigurationRows(const std::vector<TableWatcher::Change>& changes);
  void OnOrderRow(const StoreRow& row);
  void Apply(RelayConfiguration configuration);
  void OnEndpointRows(const std::vector<TableWatcher::Change>& changes);
  void OnEndpointRow(const TableWatcher::Change& change, bool is_logged);

  RelayContext& m_context;
  const RelaySources m_sources;
  const Handlers m_handlers;
  const std::uint64_t m_seed;
  PeerRecord m_self;
  MirrorService m_mirrors;
  MirrorClient m_peer_copies;
  ReplicationSourceSelection m_readers;
  std::vector<std::unique_ptr<TableFeed>> m_feeds;
  /// The feed of the endpoints until it is started.
  TableFeed* m_waiting_feed = nullptr;
  /// Services with a rollout, by the key of its order.
  std::map<std::string, ServiceName> m_orders;
};

}  // namespace fulmarpoint
