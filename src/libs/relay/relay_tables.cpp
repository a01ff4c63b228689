#include "relay/relay_tables.h"

#include <algorithm>
#include <utility>

#include "coordination/table_replication_options.h"
#include "relay/peer_registration.h"
#include "relay/relay_rollouts.h"
#include "utils/logging.h"

namespace fulmarpoint {

namespace {

// More rows than these in one reply share a log line.
constexpr std::size_t kMostLoggedRows = 8;

ReplicationSourceSelection::Options SelectionOptions(const RelaySettings& settings) {
  ReplicationSourceSelection::Options options;
  options.min_fleet = settings.shared_reading_from;
  return options;
}

}  // namespace

RelayTables::RelayTables(RelayContext& context, PeerConnections& connections, RelaySources sources,
                         Handlers handlers, std::uint64_t seed)
    : m_context(context),
      m_sources(std::move(sources)),
      m_handlers(std::move(handlers)),
      m_seed(seed),
      m_mirrors(context.executor),
      m_peer_copies(connections),
      m_readers(SelectionOptions(context.settings)) {}

void RelayTables::Start(PeerRecord self) {
  m_self = std::move(self);
  using Changes = std::vector<TableWatcher::Change>;
  AddFeed(ConfigurationReplicationOptions(m_sources.configuration_table,
                                          m_context.settings.key_revocation),
          [this](const Changes& changes) { OnConfigurationRows(changes); })
      .Start();
  AddFeed(PeerReplicationOptions(kPeerTable), m_handlers.on_peers).Start();
  // The endpoints are read from a peer if there is one, so the peers come first.
  m_waiting_feed = &AddFeed(EndpointReplicationOptions(m_sources.endpoint_table),
                            [this](const Changes& changes) { OnEndpointRows(changes); });
}

TableFeed& RelayTables::AddFeed(
    TableReplicator::Options options,
    std::function<void(const std::vector<TableWatcher::Change>&)> on_changes) {
  const std::string table = options.watcher.table;
  m_mirrors.Offer(table);
  TableFeed::Handlers handlers;
  handlers.on_changes = [this, table, on_changes = std::move(on_changes)](
                            const std::vector<TableWatcher::Change>& changes) {
    m_mirrors.Apply(table, changes);
    on_changes(changes);
  };
  handlers.on_current = [this, table](std::uint64_t version, TimePoint at) {
    OnCurrent(table, version, at);
  };
  handlers.self = [this]() -> const PeerRecord& { return m_self; };
  handlers.peers = [this](TimePoint now) { return m_context.peers.AvailablePeers(now); };
  m_feeds.push_back(std::make_unique<TableFeed>(m_context.executor, m_context.store, m_peer_copies,
                                                m_readers, std::move(options), std::move(handlers),
                                                m_seed + m_feeds.size() + 1));
  return *m_feeds.back();
}

void RelayTables::OnCurrent(const std::string& table, std::uint64_t version, TimePoint at) {
  m_mirrors.Confirm(table, version, at);
  if (table == m_sources.configuration_table) m_context.freshness.Confirm(at);
  if (table != kPeerTable || m_waiting_feed == nullptr) return;
  std::exchange(m_waiting_feed, nullptr)->Start();
}

Task<TableReplicaReply> RelayTables::AnswerPeer(TableReplicaRequest request) {
  return m_mirrors.Answer(std::move(request));
}

bool RelayTables::FollowsPeer() const {
  return std::any_of(m_feeds.begin(), m_feeds.end(), [](const std::unique_ptr<TableFeed>& feed) {
    return !feed->Source().empty();
  });
}

void RelayTables::OnConfigurationRows(const std::vector<TableWatcher::Change>& changes) {
  for (const TableWatcher::Change& change : changes) {
    if (change.row.key != m_sources.configuration_key) {
      OnOrderRow(change.row);
      continue;
    }
    if (change.row.removed) continue;
    std::optional<RelayConfiguration> parsed = m_sources.parse_configuration(change.row.value);
    if (!parsed) {
      Log(LogLevel::kError, "configuration_rejected", {{"row_version", change.row.version}});
      continue;
    }
    Apply(std::move(*parsed));
  }
}

void RelayTables::OnOrderRow(const StoreRow& row) {
  if (row.removed) {
    const auto known = m_orders.find(row.key);
    if (known == m_orders.end()) return;
    m_context.rollouts->OnOrderRemoved(known->second);
    m_orders.erase(known);
    return;
  }
  const std::optional<RolloutOrder> order = m_sources.parse_rollout(row.key, row.value);
  if (!order) {
    Log(LogLevel::kWarning, "operator_row_ignored", {{"key", row.key}});
    return;
  }
  m_orders[row.key] = order->service;
  m_context.rollouts->OnOrder(*order, row.version);
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
  Log(LogLevel::kInfo, "configuration_applied",
      {{"version", applied.version},
       {"routes", applied.routes.size()},
       {"organisations", applied.organisations.size()}});
}

void RelayTables::OnEndpointRows(const std::vector<TableWatcher::Change>& changes) {
  const bool are_logged = changes.size() <= kMostLoggedRows;
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
    Log(LogLevel::kWarning, "endpoint_row_ignored", {{"endpoint", id}});
    m_context.endpoints.Remove(id, now);
    return;
  }
  m_context.endpoints.Put(*record, now);
  // Which endpoints leave explains requests that went elsewhere, however many leave at once.
  if (!is_logged && !record->draining) return;
  Log(LogLevel::kInfo, record->draining ? "endpoint_draining" : "endpoint_listed",
      {{"endpoint", id},
       {"service", record->service},
       {"address", record->address},
       {"version", record->version}});
}

}  // namespace fulmarpoint
