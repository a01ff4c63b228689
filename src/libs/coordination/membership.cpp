#include "coordination/membership.h"

#include <algorithm>
#include <bit>

namespace fulmarpoint {

namespace {

constexpr Duration kTick = std::chrono::milliseconds(250);
constexpr Duration kDirectTimeout = std::chrono::milliseconds(450);
/// A tick that is this late shows that this process did not run, so that unanswered pings say
/// nothing about others.
constexpr Duration kOwnPause = std::chrono::seconds(2);
/// Answers that arrive later are ignored.
constexpr Duration kAnswerTime = std::chrono::seconds(10);
constexpr Duration kPageTimeout = std::chrono::seconds(1);
constexpr Duration kAloneTimeout = std::chrono::seconds(5);
constexpr std::size_t kMaxRelays = 64;
constexpr std::size_t kMaxSeeds = 3;
constexpr std::size_t kIndirectProbes = 3;
/// Bytes of a datagram left for updates after the fixed fields.
constexpr std::size_t kPiggybackBytes = 800;
constexpr std::size_t kSmallPiggybackBytes = 200;
constexpr std::size_t kNoticeShareBytes = 400;

MemberUpdate WithoutPlaces(MemberUpdate update) {
  update.has_location = false;
  update.address.clear();
  update.failure_domain.clear();
  update.region.clear();
  return update;
}

bool IsReachable(const Member& member) { return member.info.state <= MemberState::kSuspect; }

bool IsNewer(const MemberUpdate& update, const MemberUpdate& known) {
  if (update.id.incarnation != known.id.incarnation) {
    return update.id.incarnation > known.id.incarnation;
  }
  if (known.state == MemberState::kLeft) return false;
  if (update.state == MemberState::kLeft) return true;
  if (update.epoch != known.epoch) return update.epoch > known.epoch;
  return update.state > known.state || (update.leaving && !known.leaving);
}

}  // namespace

Membership::Membership(MemberUpdate self, Options options, std::uint64_t seed)
    : m_self(std::move(self)), m_options(options), m_random(seed) {}

void Membership::Handle(const Event& event, TimePoint now, std::vector<Action>& actions) {
  std::visit([&](const auto& specific) { On(specific, now, actions); }, event);
}

void Membership::On(const Start&, TimePoint now, Actions& actions) {
  m_last_tick = now;
  m_full_read.started = now;
  m_next_probe = now;
  m_next_page = now + m_options.page_interval;
  m_next_reconnect = now + m_options.reconnect_interval;
  const Duration phase(static_cast<Duration::rep>(m_random() % kTick.count()));
  actions.emplace_back(SetTimer{now + phase});
}

void Membership::On(const TimerFired&, TimePoint now, Actions& actions) {
  actions.emplace_back(SetTimer{now + kTick});
  if (now - m_last_tick > kOwnPause) ForgiveOwnPause(now);
  m_last_tick = now;
  if (m_superseded || m_self.state == MemberState::kLeft) return;
  AdvanceProbe(now, actions);
  if (now >= m_next_reconnect) Reconnect(now, actions);
  if (now >= m_next_page) RequestRandomPage(now, actions);
  if (m_full_read.alone && ReachableCount() > 1) m_full_read = FullRead{.started = now};
  const bool stopped = now - m_full_read.progress >= kPageTimeout;
  if (!m_full_read.complete && stopped) ContinueFullRead(now, actions);
  ExpireSuspects(now, actions);
  std::erase_if(m_asked, [now](const auto& item) { return now - item.second.at > kAnswerTime; });
  std::erase_if(m_relays, [now](const auto& item) { return now >= item.second.expires; });
}

void Membership::ForgiveOwnPause(TimePoint now) {
  m_probe.reset();
  m_asked.clear();
  m_full_read = FullRead{.started = now};
  for (const std::string& name : m_suspects) {
    const auto member = m_members.find(name);
    if (member != m_members.end()) member->second.deadline = now + m_options.suspicion;
  }
}

void Membership::On(const HeadChanged& event, TimePoint, Actions&) { m_head = event; }

void Membership::On(const PublishGossip& event, TimePoint, Actions&) {
  m_notices.Add(event.notice);
}

void Membership::On(const PingMember& event, TimePoint now, Actions& actions) {
  if (m_superseded || m_self.state == MemberState::kLeft) return;
  const auto member = m_members.find(event.member.name);
  if (member == m_members.end() || member->second.info.id != event.member) return;
  Ping(event.member, member->second.info.address, 0, now, actions);
}

void Membership::On(const Leave& event, TimePoint now, Actions& actions) {
  m_self.leaving = true;
  ++m_self.epoch;
  if (event.gone) m_self.state = MemberState::kLeft;
  QueueUpdate(m_self.id.name);
  // The announcement does not wait for the next ping, because the process may end now.
  for (const Member* member : RandomReachable(kIndirectProbes, m_self.id)) {
    Ping(member->info.id, member->info.address, kPiggybackBytes, now, actions);
  }
}

void Membership::On(const InstanceListRead& event, TimePoint now, Actions& actions) {
  std::map<std::string, const ListedDaemon*> listed;
  m_lists.emplace_front();
  for (const ListedDaemon& daemon : event.daemons) {
    listed[daemon.name] = &daemon;
    m_lists.front().insert(daemon.name);
  }
  if (m_lists.size() > kListsForUnknown) m_lists.pop_back();
  for (auto& [name, member] : m_members) {
    const auto row = listed.find(name);
    MergeListed(member, row == listed.end() ? nullptr : row->second);
  }
  std::vector<const ListedDaemon*> unknown;
  for (const auto& [name, daemon] : listed) {
    if (name == m_self.id.name || m_members.contains(name) || daemon->leaving) continue;
    unknown.push_back(daemon);
  }
  std::shuffle(unknown.begin(), unknown.end(), m_random);
  if (unknown.size() > kMaxSeeds) unknown.resize(kMaxSeeds);
  for (const ListedDaemon* daemon : unknown) {
    Ping(InstanceId{}, daemon->address, kSmallPiggybackBytes, now, actions);
  }
}

void Membership::MergeListed(Member& member, const ListedDaemon* listed) {
  if (listed != nullptr) {
    member.was_listed = true;
    member.absent_lists = 0;
    member.list_leaving = listed->leaving;
    return;
  }
  // A list that lags may not name a new daemon yet; only one that was named can be missing.
  if (member.was_listed) ++member.absent_lists;
}

void Membership::On(const DatagramReceived& event, TimePoint now, Actions& actions) {
  const PeerDatagram& datagram = event.datagram;
  if (datagram.from.id == m_self.id || m_superseded) return;
  Merge(datagram.from, now, actions);
  for (const MemberUpdate& update : datagram.updates) Merge(update, now, actions);
  for (const GossipMessage& notice : datagram.notices) {
    if (m_notices.Add(notice)) actions.emplace_back(GossipReceived{notice});
  }
  if (m_self.state == MemberState::kLeft || m_superseded) return;
  switch (datagram.kind) {
    case DatagramKind::kPing: {
      actions.emplace_back(PeerHead{datagram.from.id, datagram.head, std::nullopt});
      // A ping to a predecessor is not answered: the answer would vouch for a process that ended.
      if (!datagram.to.name.empty() && datagram.to != m_self.id) return;
      PeerDatagram ack = Compose(DatagramKind::kAck, datagram.from.id, datagram.nonce, now);
      Piggyback(ack, kPiggybackBytes);
      actions.emplace_back(SendDatagram{event.address, std::move(ack)});
      return;
    }
    case DatagramKind::kAck:
      return OnAck(event, now, actions);
    case DatagramKind::kPingRequest:
      return OnPingRequest(event, now, actions);
    case DatagramKind::kIndirectAck:
      if (m_probe && m_probe->nonce == datagram.nonce) m_probe->answered = true;
      return;
    case DatagramKind::kPageRequest:
      return SendPage(event, now, actions);
    case DatagramKind::kPage:
      return OnPage(datagram, now, actions);
  }
}

void Membership::OnAck(const DatagramReceived& event, TimePoint now, Actions& actions) {
  const PeerDatagram& ack = event.datagram;
  const auto relay = m_relays.find(ack.nonce);
  const auto asked = m_asked.find(ack.nonce);
  if (asked == m_asked.end()) return;
  const Asked request = asked->second;
  m_asked.erase(asked);
  if (!request.target.name.empty() && request.target != ack.from.id) return;
  actions.emplace_back(PeerHead{ack.from.id, ack.head, request.at});
  if (m_probe && m_probe->nonce == ack.nonce) m_probe->answered = true;
  if (relay != m_relays.end()) {
    PeerDatagram answer =
        Compose(DatagramKind::kIndirectAck, relay->second.requester_id, relay->second.nonce, now);
    Piggyback(answer, kSmallPiggybackBytes);
    actions.emplace_back(SendDatagram{relay->second.requester, std::move(answer)});
    m_relays.erase(relay);
  }
  if (!m_full_read.complete && m_full_read.nonce == 0) ContinueFullRead(now, actions);
}

void Membership::OnPingRequest(const DatagramReceived& event, TimePoint now, Actions& actions) {
  if (m_relays.size() >= kMaxRelays) return;
  const PeerDatagram& request = event.datagram;
  const std::uint64_t nonce =
      Ping(request.subject, request.subject_address, kSmallPiggybackBytes, now, actions);
  m_relays[nonce] =
      Relay{event.address, request.from.id, request.nonce, now + m_options.probe_period};
}

void Membership::SendPage(const DatagramReceived& event, TimePoint now, Actions& actions) {
  const PeerDatagram& request = event.datagram;
  PeerDatagram page = Compose(DatagramKind::kPage, request.from.id, request.nonce, now);
  std::size_t used = 0;
  page.cursor = request.cursor;
  for (auto member = m_members.upper_bound(request.cursor); member != m_members.end(); ++member) {
    const std::size_t size = EncodedSize(member->second.info);
    if (used + size > kPiggybackBytes) break;
    page.updates.push_back(member->second.info);
    page.cursor = member->first;
    used += size;
  }
  if (page.updates.empty()) {
    page.gossip_cursor = m_notices.FillPage(page, kPiggybackBytes, request.gossip_cursor);
    if (page.gossip_cursor == 0) page.cursor.clear();
  }
  actions.emplace_back(SendDatagram{event.address, std::move(page)});
}

void Membership::OnPage(const PeerDatagram& page, TimePoint now, Actions& actions) {
  if (m_full_read.complete || page.nonce != m_full_read.nonce) return;
  m_full_read.cursor = page.cursor;
  m_full_read.gossip_cursor = page.gossip_cursor;
  m_full_read.complete = page.cursor.empty();
  if (!m_full_read.complete) ContinueFullRead(now, actions);
}

void Membership::ContinueFullRead(TimePoint now, Actions& actions) {
  m_full_read.progress = now;
  const std::vector<const Member*> reachable = RandomReachable(1, m_self.id);
  const bool is_alone = ListNamesNobodyElse() || now - m_full_read.started >= kAloneTimeout;
  if (reachable.empty() && is_alone) {
    m_full_read.complete = m_full_read.alone = true;
  }
  for (const Member* member : reachable) {
    m_full_read.nonce = m_random();
    PeerDatagram request =
        Compose(DatagramKind::kPageRequest, member->info.id, m_full_read.nonce, now);
    request.cursor = m_full_read.cursor;
    request.gossip_cursor = m_full_read.gossip_cursor;
    actions.emplace_back(SendDatagram{member->info.address, std::move(request)});
  }
}

bool Membership::ListNamesNobodyElse() const {
  if (m_lists.empty() || !m_members.empty()) return false;
  const std::set<std::string>& names = m_lists.front();
  return std::all_of(names.begin(), names.end(),
                     [this](const std::string& name) { return name == m_self.id.name; });
}

void Membership::RequestRandomPage(TimePoint now, Actions& actions) {
  const Duration jitter(static_cast<Duration::rep>(m_random() % m_options.page_interval.count()));
  m_next_page = now + m_options.page_interval / 2 + jitter;
  for (const Member* member : RandomReachable(1, m_self.id)) {
    PeerDatagram request = Compose(DatagramKind::kPageRequest, member->info.id, m_random(), now);
    auto start = m_members.begin();
    std::advance(start, static_cast<std::ptrdiff_t>(m_random() % m_members.size()));
    // Every fourth page asks for notices, which follow the last member.
    if (m_random() % 4 == 0) start = std::prev(m_members.end());
    request.cursor = start->first;
    request.gossip_cursor = static_cast<std::uint32_t>(m_random() % (m_notices.Size() + 1));
    actions.emplace_back(SendDatagram{member->info.address, std::move(request)});
  }
}

void Membership::Merge(const MemberUpdate& update, TimePoint now, Actions& actions) {
  if (update.id.name == m_self.id.name) return MergeSelf(update, actions);
  const auto known = m_members.find(update.id.name);
  if (known == m_members.end()) {
    // A member is added only with its places, and not if it is already gone.
    if (update.has_location && update.state <= MemberState::kFailed) Store(update, now, actions);
    return;
  }
  if (!IsNewer(update, known->second.info)) return;
  if (update.id.incarnation > known->second.info.id.incarnation && !update.has_location) return;
  Store(update, now, actions);
}

void Membership::MergeSelf(const MemberUpdate& update, Actions& actions) {
  if (update.id.incarnation > m_self.id.incarnation) {
    m_superseded = true;
    actions.emplace_back(Superseded{update.id});
    return;
  }
  if (update.id.incarnation < m_self.id.incarnation) {
    QueueUpdate(m_self.id.name);
    return;
  }
  if (update.state == MemberState::kAlive || update.epoch < m_self.epoch) return;
  if (m_self.state == MemberState::kLeft) return;
  m_self.epoch = update.epoch + 1;
  QueueUpdate(m_self.id.name);
}

void Membership::Store(const MemberUpdate& update, TimePoint now, Actions& actions) {
  Member& member = m_members[update.id.name];
  const bool same_process = member.info.id == update.id;
  if (!same_process) member = Member{.info = {}, .was_listed = member.was_listed};
  MemberUpdate merged = update;
  if (!update.has_location) {
    merged = member.info;
    merged.epoch = update.epoch;
    merged.state = update.state;
  }
  merged.leaving = update.leaving || (same_process && member.info.leaving);
  member.info = merged;
  const bool gone = merged.state >= MemberState::kFailed;
  member.deadline = now + (gone ? m_options.retention : m_options.suspicion);
  if (merged.state == MemberState::kSuspect) m_suspects.push_back(merged.id.name);
  QueueUpdate(merged.id.name);
  actions.emplace_back(MemberChanged{member.info});
}

void Membership::AdvanceProbe(TimePoint now, Actions& actions) {
  if (m_probe && !m_probe->answered && !m_probe->indirect &&
      now - m_probe->sent >= kDirectTimeout) {
    AskOthers(now, actions);
  }
  if (now < m_next_probe) return;
  if (m_probe && !m_probe->answered) {
    const auto member = m_members.find(m_probe->target.name);
    if (member != m_members.end() && member->second.info.id == m_probe->target &&
        member->second.info.state == MemberState::kAlive) {
      MemberUpdate suspect = WithoutPlaces(member->second.info);
      suspect.state = MemberState::kSuspect;
      Store(suspect, now, actions);
    }
  }
  m_probe.reset();
  StartProbe(now, actions);
  // The jitter keeps daemons that start together from pinging in step.
  const Duration::rep tenth = m_options.probe_period.count() / 10;
  m_next_probe = now + m_options.probe_period - Duration(tenth) +
                 Duration(static_cast<Duration::rep>(m_random() % (2 * tenth)));
}

void Membership::StartProbe(TimePoint now, Actions& actions) {
  while (true) {
    if (m_probe_order.empty()) {
      Forget(now);
      for (const auto& [name, member] : m_members) {
        if (IsReachable(member)) m_probe_order.push_back(name);
      }
      std::shuffle(m_probe_order.begin(), m_probe_order.end(), m_random);
      if (m_probe_order.empty()) return;
    }
    const auto member = m_members.find(m_probe_order.back());
    m_probe_order.pop_back();
    if (member == m_members.end() || !IsReachable(member->second)) continue;
    const MemberUpdate& info = member->second.info;
    m_probe = Probe{info.id, info.address, 0, now};
    m_probe->nonce = Ping(info.id, info.address, kPiggybackBytes, now, actions);
    return;
  }
}

void Membership::AskOthers(TimePoint now, Actions& actions) {
  m_probe->indirect = true;
  for (const Member* member : RandomReachable(kIndirectProbes, m_probe->target)) {
    PeerDatagram request =
        Compose(DatagramKind::kPingRequest, member->info.id, m_probe->nonce, now);
    request.subject = m_probe->target;
    request.subject_address = m_probe->address;
    Piggyback(request, kSmallPiggybackBytes);
    actions.emplace_back(SendDatagram{member->info.address, std::move(request)});
  }
}

void Membership::Reconnect(TimePoint now, Actions& actions) {
  m_next_reconnect = now + m_options.reconnect_interval;
  std::vector<const Member*> failed;
  for (const auto& [name, member] : m_members) {
    if (member.info.state == MemberState::kFailed) failed.push_back(&member);
  }
  if (failed.empty()) return;
  const Member* member = failed[m_random() % failed.size()];
  Ping(member->info.id, member->info.address, kSmallPiggybackBytes, now, actions);
}

void Membership::ExpireSuspects(TimePoint now, Actions& actions) {
  std::vector<std::string> waiting;
  for (const std::string& name : m_suspects) {
    const auto member = m_members.find(name);
    if (member == m_members.end() || member->second.info.state != MemberState::kSuspect) continue;
    if (now < member->second.deadline) {
      waiting.push_back(name);
      continue;
    }
    MemberUpdate failed = WithoutPlaces(member->second.info);
    failed.state = MemberState::kFailed;
    Store(failed, now, actions);
  }
  m_suspects = std::move(waiting);
}

void Membership::Forget(TimePoint now) {
  std::erase_if(m_members, [now](const auto& item) {
    return item.second.info.state >= MemberState::kFailed && now >= item.second.deadline;
  });
}

std::uint64_t Membership::Ping(const InstanceId& to, const std::string& address, std::size_t budget,
                               TimePoint now, Actions& actions) {
  const std::uint64_t nonce = m_random();
  PeerDatagram ping = Compose(DatagramKind::kPing, to, nonce, now);
  Piggyback(ping, budget);
  m_asked[nonce] = Asked{now, to};
  actions.emplace_back(SendDatagram{address, std::move(ping)});
  return nonce;
}

PeerDatagram Membership::Compose(DatagramKind kind, const InstanceId& to, std::uint64_t nonce,
                                 TimePoint now) {
  PeerDatagram datagram;
  datagram.kind = kind;
  datagram.nonce = nonce;
  datagram.from = m_self;
  datagram.to = to;
  datagram.head.revision = m_head.revision;
  datagram.head.fenced = m_head.fenced;
  if (m_head.proof) {
    const auto age = std::chrono::ceil<std::chrono::milliseconds>(now - *m_head.proof).count();
    datagram.head.confirmation_age_ms =
        static_cast<std::uint32_t>(std::min<std::int64_t>(age, kNoConfirmation));
  }
  // A process that is taken for failed learns it first, so that it can refute at once. A process
  // that was replaced learns of its successor in the same way.
  const auto member = m_members.find(to.name);
  if (member != m_members.end() &&
      (member->second.info.id != to || member->second.info.state != MemberState::kAlive)) {
    datagram.updates.push_back(member->second.info);
  }
  return datagram;
}

void Membership::Piggyback(PeerDatagram& datagram, std::size_t budget) {
  const int limit = TransmitLimit();
  std::size_t used = m_notices.Fill(datagram, std::min(budget, kNoticeShareBytes), limit);
  for (std::size_t left = m_queue.size(); left > 0; --left) {
    std::pair<std::string, int> item = m_queue.front();
    const auto member = m_members.find(item.first);
    const bool self = item.first == m_self.id.name;
    if (member == m_members.end() && !self) {
      m_queued.erase(item.first);
      m_queue.pop_front();
      continue;
    }
    MemberUpdate update = self ? m_self : member->second.info;
    // Only live members need their places; the others are on their way out.
    if (update.state == MemberState::kFailed || update.state == MemberState::kLeft) {
      update = WithoutPlaces(update);
    }
    const std::size_t size = EncodedSize(update);
    if (used + size > budget) break;
    m_queue.pop_front();
    if (datagram.to != update.id) {
      datagram.updates.push_back(std::move(update));
      used += size;
      ++item.second;
    }
    if (item.second < limit) {
      m_queue.push_back(std::move(item));
    } else {
      m_queued.erase(item.first);
    }
  }
}

void Membership::QueueUpdate(const std::string& name) {
  if (m_queued.contains(name)) {
    std::erase_if(m_queue, [&name](const auto& item) { return item.first == name; });
  }
  m_queued[name] = true;
  m_queue.emplace_front(name, 0);
}

int Membership::TransmitLimit() const {
  return 3 * static_cast<int>(std::bit_width(m_members.size() + 1));
}

std::vector<const Member*> Membership::RandomReachable(std::size_t count,
                                                       const InstanceId& except) {
  std::vector<const Member*> reachable;
  for (const auto& [name, member] : m_members) {
    if (IsReachable(member) && member.info.id != except) reachable.push_back(&member);
  }
  std::shuffle(reachable.begin(), reachable.end(), m_random);
  if (reachable.size() > count) reachable.resize(count);
  return reachable;
}

TimePoint Membership::OnTimeUntil() const { return m_last_tick + kOwnPause; }

bool Membership::Reaches(const InstanceId& id) const {
  if (id == m_self.id) return !m_superseded;
  const auto member = m_members.find(id.name);
  return member != m_members.end() && member->second.info.id == id && IsReachable(member->second);
}

bool Membership::IsGone(const InstanceId& id) const {
  if (id == m_self.id) return false;
  if (id.name == m_self.id.name) return id.incarnation < m_self.id.incarnation;
  const auto found = m_members.find(id.name);
  if (found == m_members.end()) {
    const auto names_it = [&id](const auto& list) { return list.contains(id.name); };
    return m_lists.size() == kListsForUnknown &&
           std::none_of(m_lists.begin(), m_lists.end(), names_it);
  }
  const Member& member = found->second;
  if (member.info.id.incarnation != id.incarnation)
    return member.info.id.incarnation > id.incarnation;
  if (member.info.state == MemberState::kLeft) return true;
  // Two lists in a row, because an older list may be served after a newer one.
  const bool confirmed = member.list_leaving || member.absent_lists >= 2;
  return member.info.state == MemberState::kFailed && confirmed;
}

std::size_t Membership::KnownCount() const {
  std::size_t count = 1;
  for (const auto& [name, member] : m_members) {
    if (!IsGone(member.info.id)) ++count;
  }
  return count;
}

std::size_t Membership::ReachableCount() const {
  std::size_t count = 1;
  for (const auto& [name, member] : m_members) {
    if (IsReachable(member)) ++count;
  }
  return count;
}

std::size_t Membership::StateBytes() const {
  constexpr std::size_t kNodeBytes = 64;
  std::size_t bytes = sizeof *this + m_notices.StateBytes();
  for (const auto& [name, member] : m_members) {
    bytes += sizeof(Member) + kNodeBytes + 2 * sizeof(std::string) + EncodedSize(member.info);
  }
  bytes +=
      m_queue.size() * (sizeof(std::pair<std::string, int>) + kNodeBytes + sizeof(std::string));
  bytes += (m_asked.size() + m_relays.size()) * (sizeof(Relay) + kNodeBytes);
  return bytes + m_probe_order.size() * sizeof(std::string);
}

}  // namespace fulmarpoint
