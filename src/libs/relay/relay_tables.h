#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "coordination/reader_selection.h"
#include "relay/mirror_client.h"
#include "relay/mirror_service.h"
#include "relay/relay_context.h"
#include "relay/relay_sources.h"
#include "relay/table_feed.h"

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
    std::function<void(const std::vector<TableFollower::Change>&)> on_peers;
  };

  /// `context` and `connections` must outlive this.
  RelayTables(RelayContext& context, PeerConnections& connections, RelaySources sources,
              Handlers handlers, std::uint64_t seed);
  RelayTables(const RelayTables&) = delete;
  RelayTables& operator=(const RelayTables&) = delete;

  /// Starts to follow the tables as the daemon `self`. Call once.
  void Start(PeerRecord self);
  /// Stops following them.
  void Stop() { m_replications.clear(); }
  /// Answers a peer that follows a table here.
  Task<MirrorReply> AnswerPeer(MirrorRequest request);
  /// Returns whether a table is followed at a peer instead of the store.
  bool ReplicatesFromPeer() const;

 private:
  TableReplication& AddReplication(
      TableReader::Options options,
      std::function<void(const std::vector<TableFollower::Change>&)> on_changes);
  void OnCurrent(const std::string& table, std::uint64_t version, TimePoint at);
  void OnConfigurationRows(const std::vector<TableFollower::Change>& changes);
  void OnOrderRow(const StoreRow& row);
  void Apply(RelayConfiguration configuration);
  void OnEndpointRows(const std::vector<TableFollower::Change>& changes);
  void OnEndpointRow(const TableFollower::Change& change, bool is_logged);

  RelayContext& m_context;
  const RelaySources m_sources;
  const Handlers m_handlers;
  const std::uint64_t m_seed;
  PeerRecord m_self;
  ReplicaService m_replicas;
  ReplicaClient m_replica_client;
  ReaderSelection m_source_selection;
  std::vector<std::unique_ptr<TableReplication>> m_replications;
  /// The feed of the endpoints until it is started.
  TableReplication* m_endpoint_replication = nullptr;
  /// Services with a rollout, by the key of its order.
  std::map<std::string, ServiceName> m_orders;
};

}  // namespace fulmarpoint
