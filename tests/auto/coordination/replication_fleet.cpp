#include "replication_fleet.h"

#include <algorithm>
#include <array>
#include <utility>

#include "coordination/configuration_freshness.h"
#include "coordination/restored_configuration.h"
#include "coordination/table_replication_options.h"
#include "protocol/table_replica_rows.h"

namespace fulmarpoint {

namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr std::size_t kConfiguration = 0;
constexpr std::size_t kEndpoints = 1;
constexpr std::size_t kPeers = 2;
constexpr std::size_t kTables = 3;
// Durations and timeouts of calls, as in the store's and the peers' clients.
constexpr Duration kStoreTime = milliseconds(4);
constexpr Duration kStoreTimeout = milliseconds(600);
constexpr Duration kPeerTime = milliseconds(1);
constexpr Duration kPeerTimeout = milliseconds(400);

/// Returns the options with which a daemon reads a table.
TableReplicator::Options OptionsOf(std::size_t table) {
  switch (table) {
    case kConfiguration:
      return ConfigurationReplicationOptions("configuration",
                                             ReplicationFleet::kConfirmationValidity);
    case kEndpoints:
      return EndpointReplicationOptions("endpoints");
    default:
      return PeerReplicationOptions("daemons");
  }
}

}  // namespace

/// The state of one process of a daemon.
struct ReplicationFleet::Process {
  explicit Process(std::size_t daemon) {
    for (std::size_t table = 0; table < kTables; ++table) {
      tables.push_back(std::make_unique<TableReplicator>(OptionsOf(table), source_selection,
                                                         daemon * kTables + table));
    }
  }

  /// Takes over a configuration that is not older than the one in effect, as `RelayTables` does.
  void OnConfigurationRow(const TableWatcher::Change& change, TimePoint now) {
    const std::uint64_t version = change.row.removed ? 0 : std::stoull(change.row.value);
    restored_check.OnRow(static_cast<std::int64_t>(version), change.row.version, change.restored,
                         now);
    configuration_version = std::max(configuration_version, version);
  }

  ReplicationSourceSelection source_selection;
  std::vector<std::unique_ptr<TableReplicator>> tables;
  std::array<TableReplica, kTables> replicas;
  /// Number of the call in progress for each table, and when it was sent.
  std::array<std::uint64_t, kTables> call_ids{};
  std::array<TimePoint, kTables> sent_at{};
  std::vector<PendingCall> pending_calls;
  ConfigurationFreshness freshness{kConfirmationValidity};
  RestoredConfigurationCheck restored_check;
  std::uint64_t configuration_version = 0;
};

struct ReplicationFleet::Daemon {
  PeerRecord record;
  std::vector<PeerRecord> peers;
  /// Null while the daemon is not running.
  std::shared_ptr<Process> process;
};

ReplicationFleet::ReplicationFleet(std::size_t daemons, std::size_t domains, std::size_t rows)
    : m_now(kStart), m_domains(domains), m_tables(kTables) {
  for (std::size_t row = 0; row < rows; ++row) {
    const std::string key = "endpoint-" + std::to_string(row);
    StoreRow entry;
    entry.key = key;
    entry.version = ++m_version;
    m_tables[kEndpoints][key] = entry;
  }
  ChangeConfiguration();
  for (std::size_t index = 0; index < daemons; ++index) {
    auto daemon = std::make_unique<Daemon>();
    daemon->record.name = "d" + std::to_string(index);
    daemon->record.peer_address = daemon->record.name + ":1";
    daemon->record.failure_domain = "domain-" + std::to_string(index % domains);
    m_by_address[daemon->record.peer_address] = index;
    m_daemons.push_back(std::move(daemon));
  }
  for (std::size_t index = 0; index < daemons; ++index) {
    for (std::size_t other = 0; other < daemons; ++other) {
      if (other != index) m_daemons[index]->peers.push_back(m_daemons[other]->record);
    }
    At(kStart + milliseconds(index % 300), [this, index]() { Restart(index); });
  }
}

ReplicationFleet::~ReplicationFleet() = default;

TimePoint ReplicationFleet::Start() { return kStart; }

void ReplicationFleet::RunUntil(TimePoint end) {
  while (!m_events.empty() && m_events.top().at <= end) {
    const Event event = m_events.top();
    m_events.pop();
    m_now = event.at;
    event.action();
  }
  m_now = end;
}

void ReplicationFleet::At(TimePoint at, std::function<void()> action) {
  m_events.push({at, ++m_last_number, std::move(action)});
}

void ReplicationFleet::Kill(std::size_t daemon) { m_daemons[daemon]->process.reset(); }

void ReplicationFleet::Restart(std::size_t daemon) {
  m_daemons[daemon]->process = std::make_shared<Process>(daemon);
  StartCall(daemon, kConfiguration);
  StartCall(daemon, kPeers);
}

void ReplicationFleet::ChangeConfiguration() {
  ++m_configuration_version;
  WriteConfiguration();
}

void ReplicationFleet::WriteConfiguration() {
  StoreRow row;
  row.key = "config";
  row.value = std::to_string(m_configuration_version);
  row.version = ++m_version;
  m_tables[kConfiguration][row.key] = row;
  for (const PendingCall& pending : std::exchange(m_pending_watches, {})) pending.retry();
}

void ReplicationFleet::Restore(const Copy& copy) {
  ++m_epoch;
  m_tables = copy.tables;
  m_version = copy.version;
  for (const PendingCall& pending : std::exchange(m_pending_watches, {})) pending.retry();
}

void ReplicationFleet::StallWatches(bool stall) {
  m_stalls_watches = stall;
  if (stall) return;
  m_history_start = ++m_version;
  CutWatches();
}

void ReplicationFleet::CutWatches() {
  const std::vector<PendingCall> cut = std::exchange(m_pending_watches, {});
  for (const std::unique_ptr<Daemon>& daemon : m_daemons) {
    for (std::size_t table = 0; daemon->process && table < kTables; ++table) {
      const std::uint64_t call_id = daemon->process->call_ids.at(table);
      const bool is_cut = std::any_of(cut.begin(), cut.end(), [&](const PendingCall& pending) {
        return pending.call_id == call_id;
      });
      if (is_cut) Reply(m_by_address[daemon->record.peer_address], table, call_id, {}, kStoreTime);
    }
  }
}

std::size_t ReplicationFleet::CountExpired() const {
  const auto is_expired = [this](const std::unique_ptr<Daemon>& daemon) {
    return daemon->process && !daemon->process->freshness.IsConfirmed(m_now);
  };
  return static_cast<std::size_t>(std::count_if(m_daemons.begin(), m_daemons.end(), is_expired));
}

std::size_t ReplicationFleet::CountBehind() const {
  const auto is_behind = [this](const std::unique_ptr<Daemon>& daemon) {
    return daemon->process && daemon->process->configuration_version < m_configuration_version;
  };
  return static_cast<std::size_t>(std::count_if(m_daemons.begin(), m_daemons.end(), is_behind));
}

std::size_t ReplicationFleet::CountServing() const {
  const auto is_serving = [this](const std::unique_ptr<Daemon>& daemon) {
    const Process* process = daemon->process.get();
    return process != nullptr && process->freshness.IsConfirmed(m_now) &&
           process->tables[kEndpoints]->IsComplete();
  };
  return static_cast<std::size_t>(std::count_if(m_daemons.begin(), m_daemons.end(), is_serving));
}

std::vector<std::size_t> ReplicationFleet::DirectReadersOf(std::size_t domain) const {
  std::vector<std::size_t> readers;
  for (std::size_t index = domain; index < m_daemons.size(); index += m_domains) {
    const Daemon& daemon = *m_daemons[index];
    // A direct reader without a replica reads the store.
    ReplicationSourceSelection fresh;
    if (fresh.Choose(daemon.record, daemon.peers, false, m_now).empty()) readers.push_back(index);
  }
  return readers;
}

std::size_t ReplicationFleet::FirstRankedOf(std::size_t domain) const {
  for (std::size_t index = domain; index < m_daemons.size(); index += m_domains) {
    const Daemon& daemon = *m_daemons[index];
    ReplicationSourceSelection fresh;
    if (fresh.Choose(daemon.record, daemon.peers, true, m_now).empty()) return index;
  }
  return domain;
}

void ReplicationFleet::StartCall(std::size_t index, std::size_t table) {
  Daemon& daemon = *m_daemons[index];
  // A daemon has no peers before it has read the table of daemons.
  static const std::vector<PeerRecord> kNoPeers;
  const bool has_peers = daemon.process->tables[kPeers]->IsComplete();
  TableReplicator::SourceCall call = daemon.process->tables[table]->Next(
      daemon.record, has_peers ? daemon.peers : kNoPeers, m_now);
  At(m_now + call.delay, [this, index, table, call, process = daemon.process]() {
    if (m_daemons[index]->process != process) return;
    process->call_ids.at(table) = ++m_last_number;
    process->sent_at.at(table) = m_now;
    if (call.source.empty()) {
      CallStore(index, table, call.call);
    } else {
      CallPeer(index, table, call);
    }
  });
}

bool ReplicationFleet::IsOpen(std::size_t index, std::size_t table, std::uint64_t call_id) const {
  const Process* process = m_daemons[index]->process.get();
  return process != nullptr && process->call_ids.at(table) == call_id;
}

void ReplicationFleet::CallStore(std::size_t index, std::size_t table,
                                 const TableWatcher::Call& call) {
  ++m_calls;
  const std::uint64_t call_id = m_daemons[index]->process->call_ids.at(table);
  const StoreWatch* watch = std::get_if<StoreWatch>(&call);
  if (store_answers && !store_answers(index)) {
    const Duration wait = watch == nullptr ? Duration::zero() : watch->wait;
    Reply(index, table, call_id, {}, wait + kStoreTimeout);
    return;
  }
  if (watch == nullptr) {
    StoreReply reply = Rows(table, 0);
    m_rows_sent += reply.rows.size();
    Reply(index, table, call_id, std::move(reply), kStoreTime);
    return;
  }
  AnswerWatch(index, table, call_id, *watch, m_now + watch->wait);
}

void ReplicationFleet::AnswerWatch(std::size_t index, std::size_t table, std::uint64_t call_id,
                                   const StoreWatch& watch, TimePoint end) {
  if (!IsOpen(index, table, call_id)) return;
  StoreReply reply = Rows(table, watch.after.version);
  const bool has_history =
      watch.after.version >= m_history_start && watch.after.version <= m_version;
  if (!has_history) reply.status = StoreStatus::kHistoryGone;
  if (!has_history) reply.rows.clear();
  const bool is_ready = reply.status != StoreStatus::kOk || !reply.rows.empty() || m_now >= end;
  if (is_ready && !(m_stalls_watches && watch.wait > Duration::zero())) {
    m_rows_sent += reply.rows.size();
    Reply(index, table, call_id, std::move(reply), kStoreTime);
    return;
  }
  const auto retry = [this, index, table, call_id, watch, end]() {
    AnswerWatch(index, table, call_id, watch, end);
  };
  m_pending_watches.push_back({call_id, retry});
  if (m_now < end) At(end, retry);
}

void ReplicationFleet::CallPeer(std::size_t index, std::size_t table,
                                const TableReplicator::SourceCall& call) {
  const std::size_t peer = m_by_address.at(call.source);
  const std::uint64_t call_id = m_daemons[index]->process->call_ids.at(table);
  if (reaches && !reaches(index, peer)) {
    Reply(index, table, call_id, {}, kPeerTimeout);
    return;
  }
  const StoreWatch* watch = std::get_if<StoreWatch>(&call.call);
  const StorePosition after = watch == nullptr ? StorePosition() : watch->after;
  AnswerPeer(index, table, call_id, peer, after, m_now + call.peer_wait);
}

void ReplicationFleet::AnswerPeer(std::size_t index, std::size_t table, std::uint64_t call_id,
                                  std::size_t peer, StorePosition after, TimePoint end) {
  if (!IsOpen(index, table, call_id)) return;
  Process* source = m_daemons[peer]->process.get();
  if (source == nullptr) {
    Reply(index, table, call_id, {}, kPeerTimeout);
    return;
  }
  const std::optional<TableReplicaReply> answer = source->replicas.at(table).Answer(
      {std::to_string(table), after, 0}, m_now < end, m_now, m_now);
  if (!answer) {
    const auto retry = [this, index, table, call_id, peer, after, end]() {
      AnswerPeer(index, table, call_id, peer, after, end);
    };
    source->pending_calls.push_back({call_id, retry});
    At(end, retry);
    return;
  }
  StoreReply reply;
  reply.status = answer->status;
  reply.position = answer->position;
  reply.age = milliseconds(answer->age_ms);
  const std::optional<std::vector<TableReplicaRow>> rows = UnpackRows(answer->packed_rows);
  for (const TableReplicaRow& row : rows.value_or(std::vector<TableReplicaRow>())) {
    StoreRow entry;
    entry.key = row.key;
    entry.value = row.value;
    entry.version = row.version;
    entry.removed = row.removed;
    reply.rows.push_back(std::move(entry));
  }
  Reply(index, table, call_id, std::move(reply), kPeerTime);
}

void ReplicationFleet::Reply(std::size_t index, std::size_t table, std::uint64_t call_id,
                             StoreReply reply, Duration delay) {
  At(m_now + delay, [this, index, table, call_id, reply = std::move(reply)]() {
    if (IsOpen(index, table, call_id)) OnReply(index, table, reply);
  });
}

void ReplicationFleet::OnReply(std::size_t index, std::size_t table, const StoreReply& reply) {
  Process& process = *m_daemons[index]->process;
  process.call_ids.at(table) = 0;
  TableReplicator& replicator = *process.tables[table];
  const bool was_complete = replicator.IsComplete();
  const TableReplicator::ReplicationUpdate update =
      replicator.OnReply(reply, process.sent_at.at(table), m_now);
  for (const TableWatcher::Change& change : update.changes) {
    process.replicas.at(table).Apply(change);
    if (table == kConfiguration) process.OnConfigurationRow(change, m_now);
  }
  if (update.current_at)
    process.replicas.at(table).Confirm(replicator.Position(), *update.current_at);
  if (update.current_at && table == kConfiguration) {
    process.restored_check.OnComplete(replicator.Position().version);
  }
  const bool is_confirmed =
      update.current_at && table == kConfiguration && process.restored_check.IsCurrent(m_now);
  if (is_confirmed) process.freshness.Confirm(*update.current_at);
  for (const PendingCall& pending : std::exchange(process.pending_calls, {})) pending.retry();
  // The endpoints are read once the table of daemons is complete.
  if (table == kPeers && replicator.IsComplete() && !was_complete) StartCall(index, kEndpoints);
  StartCall(index, table);
}

StoreReply ReplicationFleet::Rows(std::size_t table, std::uint64_t after) const {
  StoreReply reply;
  reply.status = StoreStatus::kOk;
  reply.position = {m_epoch, m_version};
  for (const auto& [key, row] : m_tables[table]) {
    if (row.version > after) reply.rows.push_back(row);
  }
  return reply;
}

}  // namespace fulmarpoint
