#include "relay/peer_exchange.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "coordination/heartbeat_payload_schedule.h"
#include "protocol/identifiers.h"
#include "protocol/relay_datagram.h"
#include "relay/poison_request_detector.h"
#include "relay/relay_rollouts.h"
#include "relay/singleton_duties.h"
#include "transport/notification.h"
#include "transport/udp_socket.h"
#include "utils/logging.h"

namespace fulmarpoint {

namespace {

constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(200);
// Changes within this time share a heartbeat. Also the pause after a failed receive.
constexpr Duration kCoalescingDelay = std::chrono::milliseconds(15);
// A heartbeat loop that is this late indicates that the process was paused, so the peers'
// heartbeats may have been missed.
constexpr Duration kProcessPauseThreshold = std::chrono::milliseconds(500);

// An endpoint failure is included in heartbeats for this long.
constexpr Duration kFailureReportPeriod = std::chrono::milliseconds(500);

constexpr Duration kPaceReportInterval = std::chrono::milliseconds(500);

std::vector<EndpointUse> UsesOf(const std::vector<RelayedStream>& streams) {
  std::vector<EndpointUse> uses;
  for (const RelayedStream& stream : streams) {
    uses.push_back({stream.endpoint, stream.pending_prefill_tokens, stream.kv_cache_tokens, true});
    if (!stream.backup.empty()) uses.push_back({stream.backup, 0, stream.kv_cache_tokens, false});
  }
  return uses;
}

}  // namespace

struct PeerExchange::State : std::enable_shared_from_this<PeerExchange::State> {
  explicit State(RelayContext& shared)
      : context(shared), socket(shared.executor), wake(shared.executor) {}

  Task<void> SendLoop();
  Task<void> ReceiveLoop();
  void SendAll();
  void SendPaces(TimePoint now);
  void OnPaceReport(const PaceReport& report, TimePoint now);
  void OnDatagram(const Datagram& datagram);
  void OnHeartbeat(const RelayHeartbeat& heartbeat, TimePoint now);
  void LogReachability();
  void OnProcessPause(TimePoint now);
  void ReleaseUsesOfDepartedPeers(TimePoint now);

  RelayContext& context;
  UdpSocket socket;
  Notification wake;
  std::uint32_t sequence = 0;
  HeartbeatPayloadSchedule schedule;
  std::map<std::string, bool> reachable;
  /// When the last heartbeat of each peer arrived, also of peers that have left the directory
  /// since.
  std::map<std::string, TimePoint> last_heartbeats;
  TimePoint paces_sent_at{};
  bool stopped = false;
};

Task<void> PeerExchange::State::SendLoop() {
  const std::shared_ptr<State> self = shared_from_this();
  while (!stopped) {
    const TimePoint before = SteadyNow();
    const bool was_notified = co_await wake.WaitFor(kHeartbeatInterval);
    if (stopped) break;
    if (was_notified) co_await Sleep(kCoalescingDelay);
    if (stopped) break;
    if (SteadyNow() - before > kProcessPauseThreshold) OnProcessPause(SteadyNow());
    SendAll();
    SendPaces(SteadyNow());
    LogReachability();
    ReleaseUsesOfDepartedPeers(SteadyNow());
  }
}

Task<void> PeerExchange::State::ReceiveLoop() {
  const std::shared_ptr<State> self = shared_from_this();
  while (!stopped) {
    const Datagram datagram = co_await socket.Receive();
    if (stopped) break;
    if (datagram.error) {
      co_await Sleep(kCoalescingDelay);
      continue;
    }
    OnDatagram(datagram);
  }
}

void PeerExchange::State::SendAll() {
  RelayHeartbeat heartbeat;
  heartbeat.sender = StableHash(context.settings.name);
  heartbeat.incarnation = context.incarnation;
  heartbeat.sequence = ++sequence;
  heartbeat.ready = context.IsServing() && !context.reachability.IsIsolated();
  heartbeat.leaving = context.leaving;
  const TimePoint now = SteadyNow();
  HeartbeatPayload payload;
  payload.caller_address = context.settings.caller_address;
  payload.streams = context.streams.Streams();
  // An isolated daemon knows nothing about the endpoints.
  if (!context.reachability.IsIsolated()) {
    payload.failed_endpoints = context.endpoints.FailedSince(now - kFailureReportPeriod);
  }
  if (schedule.MarkSentIfDue(payload, now)) heartbeat.payload = std::move(payload);
  const std::string bytes = EncodeDatagram(std::move(heartbeat));
  for (const PeerRecord& peer : context.peers.HeartbeatPeers()) {
    const std::error_code error = socket.Send(peer.peer_address, bytes);
    context.metrics.Count("heartbeats", error ? "send_failed" : "sent");
  }
}

/// Sends the neighbours the paces that this daemon has newly learned.
void PeerExchange::State::SendPaces(TimePoint now) {
  if (now - paces_sent_at < kPaceReportInterval) return;
  PaceReport report{context.endpoints.TakeNewPaces(now)};
  if (report.paces.empty()) return;
  paces_sent_at = now;
  const std::string bytes = EncodeDatagram(std::move(report));
  for (const PeerRecord& peer : context.peers.HeartbeatPeers()) {
    const std::error_code error = socket.Send(peer.peer_address, bytes);
    context.metrics.Count("pace_reports", error ? "send_failed" : "sent");
  }
}

void PeerExchange::State::OnPaceReport(const PaceReport& report, TimePoint now) {
  context.metrics.Count("pace_reports", "received");
  const std::size_t count = std::min(report.paces.size(), kMaxPaceEntries);
  for (std::size_t index = 0; index < count; ++index) {
    context.endpoints.OnPeerPace(report.paces[index], now);
  }
}

void PeerExchange::State::OnDatagram(const Datagram& datagram) {
  const std::optional<RelayDatagram> received = DecodeRelayDatagram(datagram.data);
  if (!received) {
    // Counted with the heartbeats, because the type of the datagram is unknown.
    context.metrics.Count("heartbeats", "malformed");
    return;
  }
  const TimePoint now = SteadyNow();
  if (const PromptLocationUpdate* notice = std::get_if<PromptLocationUpdate>(&*received)) {
    context.streams.OnPromptLocation(notice->prompt, notice->endpoint, now);
    return;
  }
  if (const CrashMessage* message = std::get_if<CrashMessage>(&*received)) {
    context.poison_requests->OnMessage(datagram.from, *message);
    return;
  }
  if (const BadVersionNotice* notice = std::get_if<BadVersionNotice>(&*received)) {
    context.rollouts->OnBadVersion(*notice);
    return;
  }
  if (const UsageCopy* copy = std::get_if<UsageCopy>(&*received)) {
    context.duties->OnCopy(*copy);
    return;
  }
  if (const PaceReport* report = std::get_if<PaceReport>(&*received)) {
    OnPaceReport(*report, now);
    return;
  }
  OnHeartbeat(std::get<RelayHeartbeat>(*received), now);
}

void PeerExchange::State::OnHeartbeat(const RelayHeartbeat& heartbeat, TimePoint now) {
  const PeerRecord* sender = context.peers.OnHeartbeat(heartbeat, now);
  if (sender == nullptr) {
    context.metrics.Count("heartbeats", "old_or_unknown");
    return;
  }
  last_heartbeats[sender->name] = now;
  if (!heartbeat.payload) return;
  const HeartbeatPayload& payload = *heartbeat.payload;
  context.streams.OnPeerStreams(payload.streams, now);
  for (const EndpointId& id : payload.failed_endpoints) context.endpoints.OnPeerFailure(id, now);
  context.endpoints.SetPeerUses(sender->name, UsesOf(payload.streams));
}

void PeerExchange::State::LogReachability() {
  const TimePoint now = SteadyNow();
  std::map<std::string, bool> seen;
  for (const PeerRecord& peer : context.peers.HeartbeatPeers()) {
    const bool is_reachable = context.peers.IsReachable(peer.name, now);
    seen[peer.name] = is_reachable;
    const auto known = reachable.find(peer.name);
    if (known != reachable.end() && known->second == is_reachable) continue;
    Log(LogLevel::kInfo, is_reachable ? "peer_reachable" : "peer_silent", {{"peer", peer.name}});
    // A lost daemon uses no endpoint capacity, because its connections are closed.
    if (!is_reachable) context.endpoints.SetPeerUses(peer.name, {});
  }
  reachable = std::move(seen);
}

/// Restarts the timeouts of all peers, whose heartbeats could not be received meanwhile.
void PeerExchange::State::OnProcessPause(TimePoint now) {
  context.peers.RestartTimeouts(now);
  for (auto& [peer, last_heartbeat] : last_heartbeats) last_heartbeat = now;
}

/// Releases the endpoint capacity of peers from which nothing is received any more, because they
/// have left or are no neighbours now. A peer that is stopping has streams for at most the time of
/// a stop.
void PeerExchange::State::ReleaseUsesOfDepartedPeers(TimePoint now) {
  std::erase_if(last_heartbeats, [&](const auto& entry) {
    const auto& [peer, last_heartbeat] = entry;
    if (now - last_heartbeat < context.settings.stop_grace) return false;
    context.endpoints.SetPeerUses(peer, {});
    return true;
  });
}

PeerExchange::PeerExchange(RelayContext& context) : m_state(std::make_shared<State>(context)) {}

PeerExchange::~PeerExchange() {
  m_state->stopped = true;
  m_state->socket.Close();
  m_state->wake.Notify();
}

std::error_code PeerExchange::Start(const std::string& address, const UdpSocket::Listen& listen) {
  const std::error_code error = m_state->socket.OpenWithTcp(address, listen);
  if (error) return error;
  Spawn(m_state->context.executor, [state = m_state]() { return state->SendLoop(); });
  Spawn(m_state->context.executor, [state = m_state]() { return state->ReceiveLoop(); });
  return {};
}

void PeerExchange::Send(const std::string& address, const std::string& bytes) {
  const std::error_code error = m_state->socket.Send(address, bytes);
  m_state->context.metrics.Count("peer_datagrams", error ? "send_failed" : "sent");
}

std::string PeerExchange::Address() const { return m_state->socket.Address(); }

void PeerExchange::SendHeartbeatSoon() { m_state->wake.Notify(); }

}  // namespace fulmarpoint
