#include "relay/peer_registration.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

#include "transport/notification.h"
#include "utils/logging.h"

namespace fulmarpoint {

namespace {

constexpr Duration kCheckInterval = std::chrono::milliseconds(500);
// A row that is still there after this time is that of a daemon that lives: its neighbours remove
// the others within a few checks, wherever most of them hear each other.
constexpr Duration kEndedTime = std::chrono::seconds(12);
constexpr Duration kInitialBackoff = std::chrono::milliseconds(100);
constexpr Duration kMaxBackoff = std::chrono::seconds(2);

StoreRow RowOf(const std::string& name) {
  StoreRow row;
  row.table = kPeerTable;
  row.key = name;
  return row;
}

}  // namespace

struct PeerRegistration::State : std::enable_shared_from_this<PeerRegistration::State> {
  State(RelayContext& shared, PeerRecord own)
      : context(shared), self(std::move(own)), value(ToJson(self)), wake(shared.executor) {}

  Task<void> Run();
  Task<bool> Write();
  Task<void> RemoveLostPeers();
  void OnOwnRow(const StoreRow& row);
  void Remove(const std::string& name);
  Task<void> RemoveUnlessWritten(std::string name, TimePoint until);

  RelayContext& context;
  PeerRecord self;
  /// The row's value as it should be.
  std::string value;
  Notification wake;
  /// Row versions of the other daemons, by name.
  std::map<std::string, std::uint64_t> versions;
  /// Incarnations of the other daemons that are listed, and of those whose rows were removed.
  std::map<std::string, std::uint64_t> incarnations;
  std::map<std::string, std::uint64_t> ended;
  /// Daemons whose rows a restored store lacks, and when they count as removed.
  std::map<std::string, TimePoint> missing;
  bool deregistering = false;
  bool written = false;
  /// Epoch of the store in which this daemon's row was last written or found as it should be.
  std::uint64_t written_epoch = 0;
  /// Value of this daemon's row in the store as last read; empty if there was none.
  std::string listed_value;
  bool stopped = false;
};

Task<void> PeerRegistration::State::Run() {
  const std::shared_ptr<State> keep = shared_from_this();
  Duration backoff = kInitialBackoff;
  while (!stopped) {
    const bool is_done = written != deregistering;
    if (is_done) {
      backoff = kInitialBackoff;
      if (!deregistering) co_await RemoveLostPeers();
      co_await wake.WaitFor(kCheckInterval);
      continue;
    }
    if (co_await Write()) continue;
    co_await Sleep(backoff);
    backoff = std::min(backoff * 2, kMaxBackoff);
  }
}

/// Writes or removes this daemon's row. No condition is needed, because no other process writes it;
/// peers only remove it when this daemon is lost.
Task<bool> PeerRegistration::State::Write() {
  StoreTransaction transaction;
  StoreRow row = RowOf(self.name);
  const bool removes = deregistering;
  const std::string written_value = value;
  if (removes) {
    transaction.removes.push_back(std::move(row));
  } else {
    row.value = written_value;
    transaction.puts.push_back(std::move(row));
  }
  const StoreReply reply = co_await context.store.commit(std::move(transaction));
  const bool ok = reply.status == StoreStatus::kOk;
  if (ok) written = !removes && written_value == value;
  if (ok) written_epoch = reply.position.epoch;
  Log(LogLevel::kInfo, "registration", {{"action", removes ? "remove" : "write"}, {"ok", ok}});
  co_return ok;
}

Task<void> PeerRegistration::State::RemoveLostPeers() {
  for (const std::string& name : context.peers.LostNeighbours(SteadyNow())) {
    const auto version = versions.find(name);
    if (version == versions.end()) continue;
    StoreTransaction transaction;
    transaction.conditions.push_back({kPeerTable, "", name, version->second});
    transaction.removes.push_back(RowOf(name));
    Log(LogLevel::kInfo, "peer_row_removed", {{"peer", name}});
    co_await context.store.commit(std::move(transaction));
  }
}

PeerRegistration::PeerRegistration(RelayContext& context, PeerRecord self)
    : m_state(std::make_shared<State>(context, std::move(self))) {}

PeerRegistration::~PeerRegistration() {
  m_state->stopped = true;
  m_state->wake.Notify();
}

void PeerRegistration::Start() {
  Spawn(m_state->context.executor, [state = m_state]() { return state->Run(); });
}

void PeerRegistration::SetIsolated(bool is_isolated) {
  State& state = *m_state;
  const bool is_stated = is_isolated && state.context.peers.View().has_value();
  if (state.self.is_isolated == is_stated) return;
  state.self.is_isolated = is_stated;
  state.value = ToJson(state.self);
  if (state.deregistering) return;
  state.written = false;
  state.wake.Notify();
}

void PeerRegistration::Deregister() {
  m_state->deregistering = true;
  m_state->wake.Notify();
}

/// Another daemon removed the row because it considered this one lost, or the store was restored
/// from a copy that lacks the row or has that of an earlier process.
void PeerRegistration::State::OnOwnRow(const StoreRow& row) {
  listed_value = row.value;
  const std::optional<PeerRecord> record = ParsePeerRecord(row.value);
  const bool is_of_later_process = record && record->incarnation > self.incarnation;
  if (deregistering || row.value == value || is_of_later_process) return;
  written = false;
  wake.Notify();
}

void PeerRegistration::State::Remove(const std::string& name) {
  const auto incarnation = incarnations.find(name);
  if (incarnation != incarnations.end()) ended[name] = incarnation->second;
  versions.erase(name);
  incarnations.erase(name);
  context.peers.Remove(name);
}

/// Removes the peer if its row has not been written again by `until`.
Task<void> PeerRegistration::State::RemoveUnlessWritten(std::string name, TimePoint until) {
  const std::shared_ptr<State> keep = shared_from_this();
  missing[name] = until;
  co_await Sleep(std::max(Duration::zero(), until - SteadyNow()));
  const auto found = missing.find(name);
  if (stopped || found == missing.end() || found->second != until) co_return;
  missing.erase(found);
  Remove(name);
}

void PeerRegistration::OnConfirmed(std::uint64_t epoch) {
  State& state = *m_state;
  if (epoch <= state.written_epoch) return;
  // What was acknowledged in an earlier epoch may be lost, seen in the table before or not.
  const std::string wanted = state.deregistering ? std::string() : state.value;
  state.written_epoch = epoch;
  if (state.listed_value == wanted) return;
  state.written = state.deregistering;
  state.wake.Notify();
}

void PeerRegistration::OnChange(const TableWatcher::Change& change) {
  State& state = *m_state;
  const StoreRow& row = change.row;
  if (row.key == state.self.name) {
    state.OnOwnRow(row);
    return;
  }
  if (change.provisional) {
    Spawn(state.context.executor, [shared = m_state, name = row.key, until = change.until]() {
      return shared->RemoveUnlessWritten(name, until);
    });
    return;
  }
  state.missing.erase(row.key);
  if (row.removed) {
    state.Remove(row.key);
    return;
  }
  state.versions[row.key] = row.version;
  const std::optional<PeerRecord> record = ParsePeerRecord(row.value);
  if (!record) return;
  state.context.peers.Put(*record, SteadyNow());
  state.incarnations[row.key] = record->incarnation;
  if (!change.restored) state.ended.erase(row.key);
  const auto ended = state.ended.find(row.key);
  const bool has_ended = ended != state.ended.end() && record->incarnation <= ended->second;
  if (!has_ended) return;
  Log(LogLevel::kInfo, "peer_row_restored", {{"peer", row.key}});
  state.context.peers.MarkEnded(row.key, SteadyNow() + kEndedTime);
}

}  // namespace fulmarpoint
