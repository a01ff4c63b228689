#include "relay/table_replication.h"

#include <utility>

#include "utils/logging.h"

namespace fulmarpoint {

struct TableReplication::State : std::enable_shared_from_this<TableReplication::State> {
  State(const Executor& own_executor, const Store& own_store, ReplicaClient& own_replica_client,
        ReplicationSourceSelection& source_selection, Options options, Handlers own_handlers,
        std::uint64_t seed)
      : executor(own_executor),
        store(own_store),
        replica_client(own_replica_client),
        table(options.watcher.table),
        replicator(std::move(options), source_selection, seed),
        handlers(std::move(own_handlers)) {}

  Task<void> Run();
  TableReplicator::SourceCall NextCall();
  Task<StoreReply> Perform(TableReplicator::SourceCall request);
  void OnReply(StoreReply reply, TimePoint sent_at);
  void LogReply(StoreStatus status);

  const Executor executor;
  const Store store;
  ReplicaClient& replica_client;
  const std::string table;
  TableReplicator replicator;
  Handlers handlers;
  bool stopped = false;
  bool connected = true;
};

Task<void> TableReplication::State::Run() {
  const std::shared_ptr<State> self = shared_from_this();
  while (!stopped) {
    TableReplicator::SourceCall request = NextCall();
    if (request.delay > Duration::zero()) co_await Sleep(request.delay);
    if (stopped) break;
    const TimePoint sent_at = BootNow();
    StoreReply reply = co_await Perform(std::move(request));
    if (!stopped) OnReply(std::move(reply), sent_at);
  }
}

TableReplicator::SourceCall TableReplication::State::NextCall() {
  const std::string before = replicator.Source();
  const TimePoint now = SteadyNow();
  TableReplicator::SourceCall request = replicator.Next(handlers.self(), handlers.peers(now), now);
  if (request.source != before) {
    Log(LogLevel::kInfo, "feed_source", {{"table", table}, {"source", request.source}});
  }
  return request;
}

Task<StoreReply> TableReplication::State::Perform(TableReplicator::SourceCall request) {
  const StoreWatch* watch = std::get_if<StoreWatch>(&request.call);
  if (!request.source.empty()) {
    const StorePosition after = watch == nullptr ? StorePosition() : watch->after;
    co_return co_await replica_client.FetchChanges(request.source, table, after, request.peer_wait);
  }
  if (watch != nullptr) co_return co_await store.watch(*watch);
  co_return co_await store.read(std::get<StoreRead>(request.call));
}

void TableReplication::State::OnReply(StoreReply reply, TimePoint sent_at) {
  const StoreStatus status = reply.status;
  const std::uint64_t epoch_before = replicator.Epoch();
  // The connection may be dead although it looks open.
  if (status == StoreStatus::kUnknown) replica_client.Drop(replicator.Source());
  const TableReplicator::ReplicationUpdate update =
      replicator.OnReply(std::move(reply), sent_at, SteadyNow());
  LogReply(status);
  if (replicator.IsComplete() && replicator.Epoch() != epoch_before) {
    Log(LogLevel::kWarning, "store_restored",
        {{"table", table}, {"epoch", replicator.Epoch()}, {"epoch_before", epoch_before}});
  }
  if (!replicator.IsComplete()) return;
  if (!update.changes.empty()) handlers.on_changes(update.changes);
  if (update.current_at) handlers.on_confirmed(replicator.Position(), *update.current_at);
}

void TableReplication::State::LogReply(StoreStatus status) {
  if (status == StoreStatus::kHistoryGone) {
    Log(LogLevel::kInfo, "store_history_gone", {{"table", table}, {"source", replicator.Source()}});
  }
  if (!replicator.Source().empty()) {
    if (status == StoreStatus::kOk || status == StoreStatus::kHistoryGone) return;
    const bool has_no_replica = status == StoreStatus::kRefused;
    Log(LogLevel::kWarning, "feed_source_failed",
        {{"table", table},
         {"source", replicator.Source()},
         {"reason", has_no_replica ? "no copy" : "no answer"}});
    return;
  }
  if (replicator.IsConnected() == connected) return;
  connected = replicator.IsConnected();
  Log(connected ? LogLevel::kInfo : LogLevel::kWarning, connected ? "store_regained" : "store_lost",
      {{"table", table}});
}

TableReplication::TableReplication(const Executor& executor, const Store& store,
                                   ReplicaClient& replica_client,
                                   ReplicationSourceSelection& source_selection, Options options,
                                   Handlers handlers, std::uint64_t seed)
    : m_state(std::make_shared<State>(executor, store, replica_client, source_selection,
                                      std::move(options), std::move(handlers), seed)) {}

TableReplication::~TableReplication() { m_state->stopped = true; }

const std::string& TableReplication::Source() const { return m_state->replicator.Source(); }

void TableReplication::SetOptions(Options options) {
  m_state->replicator.SetOptions(std::move(options));
}

void TableReplication::Start() {
  Spawn(m_state->executor, [state = m_state]() { return state->Run(); });
}

}  // namespace fulmarpoint
