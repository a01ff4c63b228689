#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "coordination/replication_source_selection.h"
#include "coordination/restored_configuration.h"
#include "relay/relay_context.h"
#include "relay/relay_sources.h"
#include "relay/replica_client.h"
#include "relay/replica_service.h"
#include "relay/table_replication.h"

namespace fulmarpoint {

/// This daemon's replicas of the store's tables: the configuration, the endpoints and the daemons.
/// Keeps the context's configuration and endpoints up to date and serves the replicas to peers.
/// Used on the daemon's thread.
class RelayTables {
 public:
  struct Handlers {
    /// Called when the context has a new configuration.
    std::function<void()> on_configuration;
    /// Called with the rows of daemons that have changed.
    std::function<void(const std::vector<TableWatcher::Change>&)> on_peers;
    /// Called after them, when the table of daemons is complete in the store's `epoch`.
    std::function<void(std::uint64_t epoch)> on_peers_confirmed;
  };

  /// `context` and `connections` must outlive this.
  RelayTables(RelayContext& context, PeerConnections& connections, RelaySources sources,
              Handlers handlers, std::uint64_t seed);
  RelayTables(const RelayTables&) = delete;
  RelayTables& operator=(const RelayTables&) = delete;

  /// Starts replicating the tables as the daemon `self`. Call once.
  void Start(PeerRecord self);
  /// Applies settings that have changed. Precondition: the context has the new ones.
  void OnSettingsChanged();
  /// Stops replicating.
  void Stop();
  /// Replies to a peer that replicates a table from this daemon.
  Task<TableReplicaReply> AnswerPeer(TableReplicaRequest request);
  /// Returns whether any table is replicated from a peer instead of the store.
  bool ReplicatesFromPeer() const;

 private:
  TableReplication& AddReplication(
      TableReplicator::Options options,
      std::function<void(const std::vector<TableWatcher::Change>&)> on_changes);
  void OnConfirmed(const std::string& table, StorePosition position, TimePoint at);
  void OnConfigurationConfirmed(StorePosition position, TimePoint at);
  void OnConfigurationRows(const std::vector<TableWatcher::Change>& changes);
  void OnOrderRow(const TableWatcher::Change& change);
  void Apply(RelayConfiguration configuration);
  void OnEndpointRows(const std::vector<TableWatcher::Change>& changes);
  void OnEndpointRow(const TableWatcher::Change& change, bool is_logged);

  RelayContext& m_context;
  const RelaySources m_sources;
  const Handlers m_handlers;
  const std::uint64_t m_seed;
  PeerRecord m_self;
  ReplicaService m_replicas;
  ReplicaClient m_replica_client;
  ReplicationSourceSelection m_source_selection;
  std::vector<std::unique_ptr<TableReplication>> m_replications;
  /// Null unless the tables are replicated.
  TableReplication* m_configuration_replication = nullptr;
  /// The replication of the endpoints until it is started, then null.
  TableReplication* m_endpoint_replication = nullptr;
  RestoredConfigurationCheck m_restored_check;
  bool m_is_configuration_current = true;
  /// On the clock `BootNow()`.
  TimePoint m_configuration_confirmed_at{};
};

}  // namespace fulmarpoint
