#include "relay/table_feed.h"

#include <algorithm>
#include <utility>

#include "utils/logging.h"

namespace fulmarpoint {

struct TableFeed::State : std::enable_shared_from_this<TableFeed::State> {
  State(const Executor& own_executor, const Store& own_store, MirrorClient& own_peers,
        Options own_options, Handlers own_handlers, std::uint64_t seed)
      : executor(own_executor),
        store(own_store),
        peers(own_peers),
        options(std::move(own_options)),
        table(options.follower.table),
        follower(options.follower, seed),
        handlers(std::move(own_handlers)) {}

  Task<void> Run();
  void ChooseSource();
  Task<StoreReply> Perform(TableFollower::Call call);
  void OnReply(StoreReply reply);
  void LogConnection(StoreStatus status);

  const Executor executor;
  const Store store;
  MirrorClient& peers;
  const Options options;
  const std::string table;
  TableFollower follower;
  Handlers handlers;
  /// Address of the peer whose copy is followed; empty for the store.
  std::string source;
  bool stopped = false;
  bool connected = true;
  /// Start of the call, or of the read in progress, on the clock `BootNow()`.
  TimePoint started{};
};

Task<void> TableFeed::State::Run() {
  const std::shared_ptr<State> self = shared_from_this();
  while (!stopped) {
    ChooseSource();
    TableFollower::NextCall next = follower.Next();
    if (next.delay > Duration::zero() && source.empty()) co_await Sleep(next.delay);
    if (stopped) break;
    const TimePoint now = BootNow();
    const StoreRead* read = std::get_if<StoreRead>(&next.call);
    // The pages of one read are as old as the first of them.
    if (read == nullptr || read->from.empty()) started = now;
    StoreReply reply = co_await Perform(std::move(next.call));
    if (!stopped) OnReply(std::move(reply));
  }
}

/// Follows a peer only with a copy that is complete, so that a restart does not depend on peers.
void TableFeed::State::ChooseSource() {
  if (!follower.IsComplete()) return;
  std::string chosen = handlers.choose_source();
  if (chosen == source) return;
  Log(LogLevel::kInfo, "feed_source", {{"table", table}, {"source", chosen}});
  source = std::move(chosen);
  follower.Restart();
}

Task<StoreReply> TableFeed::State::Perform(TableFollower::Call call) {
  const StoreWatch* watch = std::get_if<StoreWatch>(&call);
  if (!source.empty()) {
    const std::uint64_t cursor = watch == nullptr ? 0 : watch->after;
    const Duration wait = watch == nullptr ? Duration::zero() : options.peer_wait;
    co_return co_await peers.Ask(source, table, cursor, wait);
  }
  if (watch != nullptr) co_return co_await store.watch(*watch);
  co_return co_await store.read(std::get<StoreRead>(call));
}

void TableFeed::State::OnReply(StoreReply reply) {
  const StoreStatus status = reply.status;
  const Duration age = reply.age;
  const bool is_answer = status == StoreStatus::kOk || status == StoreStatus::kHistoryGone;
  if (!source.empty() && !is_answer) {
    Log(LogLevel::kWarning, "feed_source_failed", {{"table", table}, {"source", source}});
    handlers.on_source_failed(source);
    return;
  }
  if (!source.empty() && age > options.max_peer_age) handlers.on_source_old(source);
  if (source.empty() && is_answer) handlers.on_store_answered();
  const std::vector<TableFollower::Change> changes =
      follower.OnReply(std::move(reply), SteadyNow());
  LogConnection(status);
  if (!follower.IsComplete()) return;
  if (!changes.empty()) handlers.on_changes(changes);
  const bool is_current = status == StoreStatus::kOk && follower.IsUpToDate();
  if (is_current) handlers.on_current(follower.Version(), started - age);
}

void TableFeed::State::LogConnection(StoreStatus status) {
  if (status == StoreStatus::kHistoryGone) {
    Log(LogLevel::kInfo, "store_history_gone", {{"table", table}});
  }
  if (follower.IsConnected() == connected) return;
  connected = follower.IsConnected();
  Log(connected ? LogLevel::kInfo : LogLevel::kWarning, connected ? "store_regained" : "store_lost",
      {{"table", table}});
}

TableFeed::TableFeed(const Executor& executor, const Store& store, MirrorClient& peers,
                     Options options, Handlers handlers, std::uint64_t seed)
    : m_state(std::make_shared<State>(executor, store, peers, std::move(options),
                                      std::move(handlers), seed)) {}

TableFeed::~TableFeed() { m_state->stopped = true; }

const std::string& TableFeed::Source() const { return m_state->source; }

void TableFeed::Start() {
  Spawn(m_state->executor, [state = m_state]() { return state->Run(); });
}

}  // namespace fulmarpoint
