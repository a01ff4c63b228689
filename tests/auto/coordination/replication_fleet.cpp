#include "replication_fleet.h"

#include <algorithm>
#include <array>
#include <utility>

#include "coordination/configuration_freshness.h"
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
// Times of calls as in the store's and the peers' clients.
constexpr Duration kStoreTime = milliseconds(4);
constexpr Duration kStoreTimeout = milliseconds(600);
constexpr Duration kPeerTime = milliseconds(1);
constexpr Duration kPeerTimeout = milliseconds(400);

/// The three tables are read as a daemon reads them.
TableReplicator::Options ReadingOf(std::size_t table) {
  switch (table) {
    case kConfiguration:
      return ConfigurationReplicationOptions("configuration", ReaderFleet::kProofValidity);
    case kEndpoints:
      return EndpointReplicationOptions("endpoints");
    default:
      return PeerReplicationOptions("daemons");
  }
}

}  // namespace

/// What a daemon knows in one life.
struct ReaderFleet::Life {
  explicit Life(std::size_t daemon) {
    for (std::size_t table = 0; table < kTables; ++table) {
      tables.push_back(
          std::make_unique<TableReplicator>(ReadingOf(table), readers, daemon * kTables + table));
    }
  }

  ReplicationSourceSelection readers;
  std::vector<std::unique_ptr<TableReplicator>> tables;
  std::array<TableReplica, kTables> mirrors;
  /// Number of the question in progress for each table, and when it was asked.
  std::array<std::uint64_t, kTables> questions{};
  std::array<TimePoint, kTables> asked{};
  std::vector<Waiter> followers;
  ConfigurationFreshness proof{kProofValidity};
  std::uint64_t configuration_version = 0;
};

struct ReaderFleet::Daemon {
  PeerRecord record;
  std::vector<PeerRecord> peers;
  /// Null while it is dead.
  std::shared_ptr<Life> life;
};

ReaderFleet::ReaderFleet(std::size_t daemons, std::size_t domains, std::size_t rows)
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

ReaderFleet::~ReaderFleet() = default;

TimePoint ReaderFleet::Start() { return kStart; }

void ReaderFleet::RunUntil(TimePoint end) {
  while (!m_events.empty() && m_events.top().at <= end) {
    const Event event = m_events.top();
    m_events.pop();
    m_now = event.at;
    event.action();
  }
  m_now = end;
}

void ReaderFleet::At(TimePoint at, std::function<void()> action) {
  m_events.push({at, ++m_last_number, std::move(action)});
}

void ReaderFleet::Kill(std::size_t daemon) { m_daemons[daemon]->life.reset(); }

void ReaderFleet::Restart(std::size_t daemon) {
  m_daemons[daemon]->life = std::make_shared<Life>(daemon);
  Ask(daemon, kConfiguration);
  Ask(daemon, kPeers);
}

void ReaderFleet::ChangeConfiguration() {
  m_configuration_version = ++m_version;
  StoreRow row;
  row.key = "config";
  row.version = m_version;
  m_tables[kConfiguration][row.key] = row;
  for (const Waiter& waiter : std::exchange(m_store_waiters, {})) waiter.retry();
}

void ReaderFleet::HoldWatches(bool hold) {
  m_holds_watches = hold;
  if (hold) return;
  m_history_start = ++m_version;
  const std::vector<Waiter> cut = std::exchange(m_store_waiters, {});
  for (const std::unique_ptr<Daemon>& daemon : m_daemons) {
    for (std::size_t table = 0; daemon->life && table < kTables; ++table) {
      const std::uint64_t question = daemon->life->questions.at(table);
      const bool is_cut = std::any_of(cut.begin(), cut.end(), [&](const Waiter& waiter) {
        return waiter.question == question;
      });
      if (is_cut) Reply(m_by_address[daemon->record.peer_address], table, question, {}, kStoreTime);
    }
  }
}

std::size_t ReaderFleet::Expired() const {
  const auto is_expired = [this](const std::unique_ptr<Daemon>& daemon) {
    return daemon->life && !daemon->life->proof.IsConfirmed(m_now);
  };
  return static_cast<std::size_t>(std::count_if(m_daemons.begin(), m_daemons.end(), is_expired));
}

std::size_t ReaderFleet::Behind() const {
  const auto is_behind = [this](const std::unique_ptr<Daemon>& daemon) {
    return daemon->life && daemon->life->configuration_version < m_configuration_version;
  };
  return static_cast<std::size_t>(std::count_if(m_daemons.begin(), m_daemons.end(), is_behind));
}

std::size_t ReaderFleet::Serving() const {
  const auto is_serving = [this](const std::unique_ptr<Daemon>& daemon) {
    const Life* life = daemon->life.get();
    return life != nullptr && life->proof.IsConfirmed(m_now) &&
           life->tables[kEndpoints]->IsComplete();
  };
  return static_cast<std::size_t>(std::count_if(m_daemons.begin(), m_daemons.end(), is_serving));
}

std::vector<std::size_t> ReaderFleet::ReadersOf(std::size_t domain) const {
  std::vector<std::size_t> readers;
  for (std::size_t index = domain; index < m_daemons.size(); index += m_domains) {
    const Daemon& daemon = *m_daemons[index];
    // A reader without a copy goes to the store.
    ReplicationSourceSelection fresh;
    if (fresh.Choose(daemon.record, daemon.peers, false, m_now).empty()) readers.push_back(index);
  }
  return readers;
}

std::size_t ReaderFleet::BestOf(std::size_t domain) const {
  for (std::size_t index = domain; index < m_daemons.size(); index += m_domains) {
    const Daemon& daemon = *m_daemons[index];
    ReplicationSourceSelection fresh;
    if (fresh.Choose(daemon.record, daemon.peers, true, m_now).empty()) return index;
  }
  return domain;
}

void ReaderFleet::Ask(std::size_t index, std::size_t table) {
  Daemon& daemon = *m_daemons[index];
  // Nobody is known before the rows of the daemons have been read.
  static const std::vector<PeerRecord> kNobody;
  const bool knows_peers = daemon.life->tables[kPeers]->IsComplete();
  TableReplicator::SourceCall question =
      daemon.life->tables[table]->Next(daemon.record, knows_peers ? daemon.peers : kNobody, m_now);
  At(m_now + question.delay, [this, index, table, question, life = daemon.life]() {
    if (m_daemons[index]->life != life) return;
    life->questions.at(table) = ++m_last_number;
    life->asked.at(table) = m_now;
    if (question.source.empty()) {
      AskStore(index, table, question.call);
    } else {
      AskPeer(index, table, question);
    }
  });
}

bool ReaderFleet::IsOpen(std::size_t index, std::size_t table, std::uint64_t question) const {
  const Life* life = m_daemons[index]->life.get();
  return life != nullptr && life->questions.at(table) == question;
}

void ReaderFleet::AskStore(std::size_t index, std::size_t table, const TableWatcher::Call& call) {
  ++m_calls;
  const std::uint64_t question = m_daemons[index]->life->questions.at(table);
  const StoreWatch* watch = std::get_if<StoreWatch>(&call);
  if (store_answers && !store_answers(index)) {
    const Duration wait = watch == nullptr ? Duration::zero() : watch->wait;
    Reply(index, table, question, {}, wait + kStoreTimeout);
    return;
  }
  if (watch == nullptr) {
    StoreReply reply = Rows(table, 0);
    m_rows_sent += reply.rows.size();
    Reply(index, table, question, std::move(reply), kStoreTime);
    return;
  }
  AnswerWatch(index, table, question, *watch, m_now + watch->wait);
}

void ReaderFleet::AnswerWatch(std::size_t index, std::size_t table, std::uint64_t question,
                              const StoreWatch& watch, TimePoint end) {
  if (!IsOpen(index, table, question)) return;
  StoreReply reply = Rows(table, watch.after);
  if (watch.after < m_history_start) reply = StoreReply{StoreStatus::kHistoryGone, {}};
  const bool is_ready = reply.status != StoreStatus::kOk || !reply.rows.empty() || m_now >= end;
  if (is_ready && !(m_holds_watches && watch.wait > Duration::zero())) {
    m_rows_sent += reply.rows.size();
    Reply(index, table, question, std::move(reply), kStoreTime);
    return;
  }
  const auto retry = [this, index, table, question, watch, end]() {
    AnswerWatch(index, table, question, watch, end);
  };
  m_store_waiters.push_back({question, retry});
  if (m_now < end) At(end, retry);
}

void ReaderFleet::AskPeer(std::size_t index, std::size_t table,
                          const TableReplicator::SourceCall& question) {
  const std::size_t peer = m_by_address.at(question.source);
  const std::uint64_t number = m_daemons[index]->life->questions.at(table);
  if (reaches && !reaches(index, peer)) {
    Reply(index, table, number, {}, kPeerTimeout);
    return;
  }
  const StoreWatch* watch = std::get_if<StoreWatch>(&question.call);
  const std::uint64_t after = watch == nullptr ? 0 : watch->after;
  AnswerPeer(index, table, number, peer, after, m_now + question.peer_wait);
}

void ReaderFleet::AnswerPeer(std::size_t index, std::size_t table, std::uint64_t question,
                             std::size_t peer, std::uint64_t after, TimePoint end) {
  if (!IsOpen(index, table, question)) return;
  Life* asked = m_daemons[peer]->life.get();
  if (asked == nullptr) {
    Reply(index, table, question, {}, kPeerTimeout);
    return;
  }
  const std::optional<TableReplicaReply> answer =
      asked->mirrors.at(table).Answer({std::to_string(table), after, 0}, m_now < end, m_now, m_now);
  if (!answer) {
    const auto retry = [this, index, table, question, peer, after, end]() {
      AnswerPeer(index, table, question, peer, after, end);
    };
    asked->followers.push_back({question, retry});
    At(end, retry);
    return;
  }
  StoreReply reply;
  reply.status = answer->status;
  reply.version = answer->version;
  reply.age = milliseconds(answer->age_ms);
  const std::optional<std::vector<TableReplicaRow>> rows = UnpackRows(answer->packed_rows);
  for (const TableReplicaRow& row : rows.value_or(std::vector<TableReplicaRow>())) {
    StoreRow entry;
    entry.key = row.key;
    entry.version = row.version;
    entry.removed = row.removed;
    reply.rows.push_back(std::move(entry));
  }
  Reply(index, table, question, std::move(reply), kPeerTime);
}

void ReaderFleet::Reply(std::size_t index, std::size_t table, std::uint64_t question,
                        StoreReply reply, Duration delay) {
  At(m_now + delay, [this, index, table, question, reply = std::move(reply)]() {
    if (IsOpen(index, table, question)) OnReply(index, table, reply);
  });
}

void ReaderFleet::OnReply(std::size_t index, std::size_t table, const StoreReply& reply) {
  Life& life = *m_daemons[index]->life;
  life.questions.at(table) = 0;
  TableReplicator& reader = *life.tables[table];
  const bool was_complete = reader.IsComplete();
  const TableReplicator::ReplicationUpdate news =
      reader.OnReply(reply, life.asked.at(table), m_now);
  for (const TableWatcher::Change& change : news.changes) {
    life.mirrors.at(table).Apply(change);
    if (table == kConfiguration) life.configuration_version = change.row.version;
  }
  if (news.current_at) life.mirrors.at(table).Confirm(reader.Version(), *news.current_at);
  if (news.current_at && table == kConfiguration) life.proof.Confirm(*news.current_at);
  for (const Waiter& waiter : std::exchange(life.followers, {})) waiter.retry();
  // The endpoints are read once the daemons are known.
  if (table == kPeers && reader.IsComplete() && !was_complete) Ask(index, kEndpoints);
  Ask(index, table);
}

StoreReply ReaderFleet::Rows(std::size_t table, std::uint64_t after) const {
  StoreReply reply;
  reply.status = StoreStatus::kOk;
  reply.version = m_version;
  for (const auto& [key, row] : m_tables[table]) {
    if (row.version > after) reply.rows.push_back(row);
  }
  return reply;
}

}  // namespace fulmarpoint
