#include "relay/peer_registration.h"

#include <algorithm>
#include <map>
#include <utility>

#include "transport/notification.h"
#include "utils/logging.h"

namespace fulmarpoint {

namespace {

constexpr Duration kCheckInterval = std::chrono::seconds(5);
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

  RelayContext& context;
  const PeerRecord self;
  const std::string value;
  Notification wake;
  /// Row versions of the other daemons, by name.
  std::map<std::string, std::uint64_t> versions;
  bool deregistering = false;
  bool written = false;
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
  if (removes) {
    transaction.removes.push_back(std::move(row));
  } else {
    row.value = value;
    transaction.puts.push_back(std::move(row));
  }
  const StoreReply reply = co_await context.store.commit(std::move(transaction));
  const bool ok = reply.status == StoreStatus::kOk;
  if (ok) written = !removes;
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

void PeerRegistration::Deregister() {
  m_state->deregistering = true;
  m_state->wake.Notify();
}

void PeerRegistration::OnRow(const StoreRow& row) {
  if (row.key == m_state->self.name) {
    // Another daemon removed the row because it considered this one lost; write it again.
    if (row.removed && !m_state->deregistering) {
      m_state->written = false;
      m_state->wake.Notify();
    }
    return;
  }
  if (row.removed) {
    m_state->versions.erase(row.key);
    m_state->context.peers.Remove(row.key);
    return;
  }
  m_state->versions[row.key] = row.version;
  if (const std::optional<PeerRecord> record = ParsePeerRecord(row.value)) {
    m_state->context.peers.Put(*record, SteadyNow());
  }
}

}  // namespace fulmarpoint
