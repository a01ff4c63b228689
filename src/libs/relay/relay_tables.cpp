#include "relay/relay_tables.h"

#include <algorithm>
#include <utility>

#include "coordination/table_replication_options.h"
#include "relay/peer_registration.h"
#include "relay/relay_rollouts.h"
#include "relay/singleton_duties.h"
#include "utils/logging.h"

namespace fulmarpoint {

namespace {

// A reply with more rows than this is logged in one line.
constexpr std::size_t kMaxLoggedRows = 8;

ReplicationSourceSelection::Options SelectionOptions(const RelaySettings& settings) {
  ReplicationSourceSelection::Options options;
  options.min_fleet = settings.min_daemons_for_peer_replication;
  return options;
}

}  // namespace

RelayTables::RelayTables(RelayContext& context, PeerConnections& connections, RelaySources sources,
                         Handlers handlers, std::uint64_t seed)
    : m_context(context),
      m_sources(std::move(sources)),
      m_handlers(std::move(handlers)),
      m_seed(seed),
      m_replicas(context.executor),
      m_replica_client(connections),
      m_source_selection(SelectionOptions(context.settings)) {}

void RelayTables::Start(PeerRecord self) {
  m_self = std::move(self);
  using Changes = std::vector<TableWatcher::Change>;
  m_configuration_replication =
      &AddReplication(ConfigurationReplicationOptions(m_sources.configuration_table,
                                                      m_context.settings.key_revocation_time),
                      [this](const Changes& changes) { OnConfigurationRows(changes); });
  m_configuration_replication->Start();
  AddReplication(PeerReplicationOptions(kPeerTable), m_handlers.on_peers).Start();
  // Endpoints may be replicated from a peer, so the peers must be known first.
  m_endpoint_replication =
      &AddReplication(EndpointReplicationOptions(m_sources.endpoint_table),
                      [this](const Changes& changes) { OnEndpointRows(changes); });
}

void RelayTables::OnSettingsChanged() {
  if (m_configuration_replication == nullptr) return;
  m_configuration_replication->SetOptions(ConfigurationReplicationOptions(
      m_sources.configuration_table, m_context.settings.key_revocation_time));
}

void RelayTables::Stop() {
  m_configuration_replication = nullptr;
  m_endpoint_replication = nullptr;
  m_replications.clear();
}

TableReplication& RelayTables::AddReplication(
    TableReplicator::Options options,
    std::function<void(const std::vector<TableWatcher::Change>&)> on_changes) {
  const std::string table = options.watcher.table;
  m_replicas.AddTable(table);
  TableReplication::Handlers handlers;
  handlers.on_changes = [this, table, on_changes = std::move(on_changes)](
                            const std::vector<TableWatcher::Change>& changes) {
    m_replicas.Apply(table, changes);
    on_changes(changes);
  };
  handlers.on_confirmed = [this, table](StorePosition position, TimePoint at) {
    OnConfirmed(table, position, at);
  };
  handlers.self = [this]() -> const PeerRecord& { return m_self; };
  handlers.peers = [this](TimePoint now) { return m_context.peers.AvailablePeers(now); };
  m_replications.push_back(std::make_unique<TableReplication>(
      m_context.executor, m_context.store, m_replica_client, m_source_selection, std::move(options),
      std::move(handlers), m_seed + m_replications.size() + 1));
  return *m_replications.back();
}

void RelayTables::OnConfirmed(const std::string& table, StorePosition position, TimePoint at) {
  m_context.rollouts->OnStoreEpoch(position.epoch);
  m_context.duties->OnStoreEpoch(position.epoch);
  const bool is_configuration = table == m_sources.configuration_table;
  if (is_configuration) OnConfigurationConfirmed(position, at);
  // A replica whose configuration is not confirmed must not confirm that of a peer.
  const bool is_confirmed = !is_configuration || m_is_configuration_current;
  m_replicas.Confirm(table, position, is_confirmed ? at : m_configuration_confirmed_at);
  if (table == kPeerTable) m_handlers.on_peers_confirmed(position.epoch);
  if (table != kPeerTable || m_endpoint_replication == nullptr) return;
  std::exchange(m_endpoint_replication, nullptr)->Start();
}

void RelayTables::OnConfigurationConfirmed(StorePosition position, TimePoint at) {
  m_restored_check.OnComplete(position.version);
  const bool is_current = m_restored_check.IsCurrent(SteadyNow());
  if (is_current) m_context.freshness.Confirm(at);
  if (is_current) m_configuration_confirmed_at = at;
  if (is_current == m_is_configuration_current) return;
  m_is_configuration_current = is_current;
  Log(is_current ? LogLevel::kInfo : LogLevel::kWarning,
      is_current ? "configuration_current" : "configuration_unconfirmed",
      {{"in_effect", m_context.table ? m_context.table->Version() : 0}});
}

Task<TableReplicaReply> RelayTables::AnswerPeer(TableReplicaRequest request) {
  return m_replicas.Answer(std::move(request));
}

bool RelayTables::ReplicatesFromPeer() const {
  return std::any_of(m_replications.begin(), m_replications.end(),
                     [](const std::unique_ptr<TableReplication>& replication) {
                       return !replication->Source().empty();
                     });
}

void RelayTables::OnConfigurationRows(const std::vector<TableWatcher::Change>& changes) {
  for (const TableWatcher::Change& change : changes) {
    if (change.row.key != m_sources.configuration_key) {
      OnOrderRow(change);
      continue;
    }
    std::optional<RelayConfiguration> parsed;
    if (!change.row.removed) parsed = m_sources.parse_configuration(change.row.value);
    m_restored_check.OnRow(parsed ? parsed->version : 0, change.row.version, change.restored,
                           SteadyNow());
    if (change.row.removed) continue;
    if (!parsed) {
      Log(LogLevel::kError, "configuration_rejected", {{"row_version", change.row.version}});
      continue;
    }
    Apply(std::move(*parsed));
  }
}

void RelayTables::OnOrderRow(const TableWatcher::Change& change) {
  const StoreRow& row = change.row;
  std::optional<RolloutOrder> order;
  if (!row.removed) {
    order = m_sources.parse_rollout(row.key, row.value);
    if (!order) {
      Log(LogLevel::kWarning, "operator_row_ignored", {{"key", row.key}});
      return;
    }
  }
  m_context.rollouts->OnOrderRow(change, order);
}

void RelayTables::Apply(RelayConfiguration configuration) {
  std::shared_ptr<const RelayTable>& table = m_context.table;
  if (table && configuration.version < table->Version()) {
    Log(LogLevel::kWarning, "configuration_ignored",
        {{"version", configuration.version}, {"in_effect", table->Version()}});
    return;
  }
  table = std::make_shared<const RelayTable>(std::move(configuration));
  m_handlers.on_configuration();
  const RelayConfiguration& applied = table->Configuration();
  std::set<ServiceName> services;
  for (const RelayService& service : applied.services) services.insert(service.name);
  m_context.endpoints.SetServices(std::move(services), SteadyNow());
  Log(LogLevel::kInfo, "configuration_applied",
      {{"version", applied.version},
       {"routes", applied.routes.size()},
       {"organisations", applied.organisations.size()}});
}

void RelayTables::OnEndpointRows(const std::vector<TableWatcher::Change>& changes) {
  const bool are_logged = changes.size() <= kMaxLoggedRows;
  for (const TableWatcher::Change& change : changes) OnEndpointRow(change, are_logged);
  if (are_logged) return;
  Log(LogLevel::kInfo, "endpoint_rows",
      {{"rows", changes.size()}, {"endpoints", m_context.endpoints.Size()}});
}

void RelayTables::OnEndpointRow(const TableWatcher::Change& change, bool is_logged) {
  const TimePoint now = SteadyNow();
  const EndpointId& id = change.row.key;
  if (change.row.removed) {
    m_context.endpoints.Remove(id, change.provisional ? change.until : now);
    if (!is_logged) return;
    Log(LogLevel::kInfo, "endpoint_gone", {{"endpoint", id}, {"provisional", change.provisional}});
    return;
  }
  const std::optional<EndpointRecord> record = m_sources.parse_endpoint(id, change.row.value);
  if (!record) {
    // An invalid row removes the endpoint.
    Log(LogLevel::kWarning, "endpoint_row_ignored", {{"endpoint", id}});
    m_context.endpoints.Remove(id, now);
    return;
  }
  if (change.restored) {
    m_context.endpoints.PutRestored(*record, now);
  } else {
    m_context.endpoints.Put(*record, now);
  }
  // Draining endpoints are always logged, because they explain why requests went elsewhere.
  if (!is_logged && !record->draining) return;
  Log(LogLevel::kInfo, record->draining ? "endpoint_draining" : "endpoint_listed",
      {{"endpoint", id},
       {"service", record->service},
       {"address", record->address},
       {"version", record->version}});
}

}  // namespace fulmarpoint
