#include "relay/table_feed.h"

#include <string>
#include <utility>

#include "utils/logging.h"

namespace fulmarpoint {

struct TableFeed::State : std::enable_shared_from_this<TableFeed::State> {
  State(const Executor& own_executor, const Store& own_store, TableFollower::Options options,
        Handlers own_handlers, std::uint64_t seed)
      : executor(own_executor),
        store(own_store),
        table(options.table),
        follower(std::move(options), seed),
        handlers(std::move(own_handlers)) {}

  Task<void> Run();
  Task<StoreReply> Perform(TableFollower::Call call);
  void OnReply(StoreReply reply);
  void LogConnection(StoreStatus status);

  const Executor executor;
  const Store store;
  const std::string table;
  TableFollower follower;
  Handlers handlers;
  bool stopped = false;
  bool connected = true;
  /// Start of the call, or of the read in progress, on the clock `BootNow()`.
  TimePoint started{};
};

Task<void> TableFeed::State::Run() {
  const std::shared_ptr<State> self = shared_from_this();
  while (!stopped) {
    TableFollower::NextCall next = follower.Next();
    if (next.delay > Duration::zero()) co_await Sleep(next.delay);
    if (stopped) break;
    const TimePoint now = BootNow();
    const StoreRead* read = std::get_if<StoreRead>(&next.call);
    // The pages of one read are as old as the first of them.
    if (read == nullptr || read->from.empty()) started = now;
    StoreReply reply = co_await Perform(std::move(next.call));
    if (!stopped) OnReply(std::move(reply));
  }
}

Task<StoreReply> TableFeed::State::Perform(TableFollower::Call call) {
  if (const StoreRead* read = std::get_if<StoreRead>(&call)) co_return co_await store.read(*read);
  co_return co_await store.watch(std::get<StoreWatch>(call));
}

void TableFeed::State::OnReply(StoreReply reply) {
  const StoreStatus status = reply.status;
  const std::vector<TableFollower::Change> changes =
      follower.OnReply(std::move(reply), SteadyNow());
  LogConnection(status);
  if (!follower.IsComplete()) return;
  if (!changes.empty()) handlers.on_changes(changes);
  const bool is_current = status == StoreStatus::kOk && follower.IsUpToDate();
  if (is_current && handlers.on_current) handlers.on_current(started);
}

void TableFeed::State::LogConnection(StoreStatus status) {
  if (status == StoreStatus::kHistoryGone) {
    Log(LogLevel::kInfo, "store_history_gone", "table=" + table);
  }
  if (follower.IsConnected() == connected) return;
  connected = follower.IsConnected();
  Log(connected ? LogLevel::kInfo : LogLevel::kWarning, connected ? "store_regained" : "store_lost",
      "table=" + table);
}

TableFeed::TableFeed(const Executor& executor, const Store& store, TableFollower::Options options,
                     Handlers handlers, std::uint64_t seed)
    : m_state(std::make_shared<State>(executor, store, std::move(options), std::move(handlers),
                                      seed)) {}

TableFeed::~TableFeed() { m_state->stopped = true; }

void TableFeed::Start() {
  Spawn(m_state->executor, [state = m_state]() { return state->Run(); });
}

}  // namespace fulmarpoint
