#include "relay/table_replication.h"

#include <utility>

#include "utils/logging.h"

namespace fulmarpoint {

struct TableFeed::State : std::enable_shared_from_this<TableFeed::State> {
  State(const Executor& own_executor, const Store& own_store, MirrorClient& own_peers,
        ReplicationSourceSelection& readers, Options options, Handlers own_handlers,
        std::uint64_t seed)
      : executor(own_executor),
        store(own_store),
        peers(own_peers),
        table(options.watcher.table),
        reader(std::move(options), readers, seed),
        handlers(std::move(own_handlers)) {}

  Task<void> Run();
  TableReplicator::SourceCall NextQuestion();
  Task<StoreReply> Perform(TableReplicator::SourceCall question);
  void OnReply(StoreReply reply, TimePoint asked);
  void LogReply(StoreStatus status);

  const Executor executor;
  const Store store;
  MirrorClient& peers;
  const std::string table;
  TableReplicator reader;
  Handlers handlers;
  bool stopped = false;
  bool connected = true;
};

Task<void> TableFeed::State::Run() {
  const std::shared_ptr<State> self = shared_from_this();
  while (!stopped) {
    TableReplicator::SourceCall question = NextQuestion();
    if (question.delay > Duration::zero()) co_await Sleep(question.delay);
    if (stopped) break;
    const TimePoint asked = BootNow();
    StoreReply reply = co_await Perform(std::move(question));
    if (!stopped) OnReply(std::move(reply), asked);
  }
}

TableReplicator::SourceCall TableFeed::State::NextQuestion() {
  const std::string before = reader.Source();
  const TimePoint now = SteadyNow();
  TableReplicator::SourceCall question = reader.Next(handlers.self(), handlers.peers(now), now);
  if (question.source != before) {
    Log(LogLevel::kInfo, "feed_source", {{"table", table}, {"source", question.source}});
  }
  return question;
}

Task<StoreReply> TableFeed::State::Perform(TableReplicator::SourceCall question) {
  const StoreWatch* watch = std::get_if<StoreWatch>(&question.call);
  if (!question.source.empty()) {
    const std::uint64_t after = watch == nullptr ? 0 : watch->after;
    co_return co_await peers.Ask(question.source, table, after, question.peer_wait);
  }
  if (watch != nullptr) co_return co_await store.watch(*watch);
  co_return co_await store.read(std::get<StoreRead>(question.call));
}

void TableFeed::State::OnReply(StoreReply reply, TimePoint asked) {
  const StoreStatus status = reply.status;
  // The connection may have gone silent for good.
  if (status == StoreStatus::kUnknown) peers.Drop(reader.Source());
  const TableReplicator::ReplicationUpdate news =
      reader.OnReply(std::move(reply), asked, SteadyNow());
  LogReply(status);
  if (!reader.IsComplete()) return;
  if (!news.changes.empty()) handlers.on_changes(news.changes);
  if (news.current_at) handlers.on_current(reader.Version(), *news.current_at);
}

void TableFeed::State::LogReply(StoreStatus status) {
  if (status == StoreStatus::kHistoryGone) {
    Log(LogLevel::kInfo, "store_history_gone", {{"table", table}, {"source", reader.Source()}});
  }
  if (!reader.Source().empty()) {
    if (status == StoreStatus::kOk || status == StoreStatus::kHistoryGone) return;
    const bool has_no_copy = status == StoreStatus::kRefused;
    Log(LogLevel::kWarning, "feed_source_failed",
        {{"table", table},
         {"source", reader.Source()},
         {"reason", has_no_copy ? "no copy" : "no answer"}});
    return;
  }
  if (reader.IsConnected() == connected) return;
  connected = reader.IsConnected();
  Log(connected ? LogLevel::kInfo : LogLevel::kWarning, connected ? "store_regained" : "store_lost",
      {{"table", table}});
}

TableFeed::TableFeed(const Executor& executor, const Store& store, MirrorClient& peers,
                     ReplicationSourceSelection& readers, Options options, Handlers handlers,
                     std::uint64_t seed)
    : m_state(std::make_shared<State>(executor, store, peers, readers, std::move(options),
                                      std::move(handlers), seed)) {}

TableFeed::~TableFeed() { m_state->stopped = true; }

const std::string& TableFeed::Source() const { return m_state->reader.Source(); }

void TableFeed::Start() {
  Spawn(m_state->executor, [state = m_state]() { return state->Run(); });
}

}  // namespace fulmarpoint
