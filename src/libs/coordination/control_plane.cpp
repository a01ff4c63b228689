#include "coordination/control_plane.h"

#include <algorithm>

namespace fulmarpoint {

namespace {

/// Requests that the driver never answered are dropped after this time.
constexpr Duration kRequestRetention = std::chrono::seconds(60);

}  // namespace

ControlPlane::ControlPlane(const MemberUpdate& self, const Options& options, std::uint64_t seed)
    : m_membership(self, options.membership, seed),
      m_replica(self.id, options.replica, seed + 1),
      m_writer(m_replica, m_membership, options.writer, seed + 2),
      m_options(options),
      m_random(seed + 3) {}

void ControlPlane::Handle(const Event& event, TimePoint now, std::vector<Action>& actions) {
  std::visit([&](const auto& specific) { On(specific, now, actions); }, event);
}

void ControlPlane::On(const Start&, TimePoint now, Actions& actions) {
  Give(Membership::Start{}, now, actions);
  Give(CatalogueReplica::Start{}, now, actions);
  actions.emplace_back(SetTimer{Timer::kWriter, now + CatalogueWriter::kTimerInterval});
  On(TimerFired{Timer::kInstanceList}, now, actions);
}

void ControlPlane::On(const TimerFired& event, TimePoint now, Actions& actions) {
  switch (event.timer) {
    case Timer::kMembership:
      return Give(Membership::TimerFired{}, now, actions);
    case Timer::kReplica: {
      const std::optional<TimePoint> proof = m_replica.ConfirmedAt();
      const bool is_recent = proof && now - *proof < m_options.replica.head_interval;
      Give(CatalogueReplica::MajorityView{!is_recent && ReachesMajority()}, now, actions);
      return Give(CatalogueReplica::TimerFired{}, now, actions);
    }
    case Timer::kWriter:
      actions.emplace_back(SetTimer{Timer::kWriter, now + CatalogueWriter::kTimerInterval});
      return Give(CatalogueWriter::TimerFired{}, now, actions);
    case Timer::kInstanceList: {
      std::erase_if(m_requests, [now](const auto& request) {
        return now - request.second.asked_at > kRequestRetention;
      });
      const Duration::rep interval = m_options.list_interval.count();
      const Duration delay(interval / 2 + static_cast<Duration::rep>(m_random() % interval));
      actions.emplace_back(SetTimer{Timer::kInstanceList, now + delay});
      actions.emplace_back(ReadInstanceList{});
      return;
    }
  }
}

void ControlPlane::On(const RowRead& event, TimePoint now, Actions& actions) {
  const std::optional<Request> request = Take(event.token);
  if (!request) return;
  if (request->purpose == Purpose::kHistory) {
    return Give(CatalogueWriter::HistoryRead{request->inner_token, event.ok, event.row}, now,
                actions);
  }
  CatalogueReplica::HeadRead head{event.ok, 0, request->asked_at};
  if (event.ok && event.row) {
    const Parsed<CatalogueItem> item = DecodeRow(kHeadKey, event.row->version, event.row->value);
    head.ok = item.Ok();
    if (item) head.revision = item.Value().revision;
  }
  Give(head, now, actions);
}

void ControlPlane::On(const RowsRead& event, TimePoint now, Actions& actions) {
  if (!Take(event.token)) return;
  CatalogueReplica::StoreDelta delta{event.ok, {}, event.version};
  for (const TableRow& row : event.rows) {
    const bool is_known =
        row.key == kHeadKey || row.key == kVotersKey || !ServiceOf(row.key).empty();
    if (!is_known) continue;
    Parsed<CatalogueItem> item = DecodeRow(row.key, row.version, row.value);
    // One unreadable row makes the whole answer useless, because the revision would be incomplete.
    if (!item) delta.ok = false;
    if (item) delta.items.push_back(std::move(item.Value()));
  }
  Give(delta, now, actions);
}

void ControlPlane::On(const TransactionDone& event, TimePoint now, Actions& actions) {
  const std::optional<Request> request = Take(event.token);
  if (!request) return;
  Give(CatalogueWriter::WriteResult{request->inner_token, event.outcome}, now, actions);
}

void ControlPlane::On(const DeltaRead& event, TimePoint now, Actions& actions) {
  const std::optional<Request> request = Take(event.token);
  if (!request) return;
  Give(CatalogueReplica::PeerDelta{event.ok, request->peer, event.delta}, now, actions);
}

void ControlPlane::On(const CatalogueWriter::Apply& event, TimePoint now, Actions& actions) {
  Give(CatalogueWriter::Event(event), now, actions);
}

void ControlPlane::On(const Membership::DatagramReceived& event, TimePoint now, Actions& actions) {
  Give(Membership::Event(event), now, actions);
}

void ControlPlane::On(const Membership::InstanceListRead& event, TimePoint now, Actions& actions) {
  Give(Membership::Event(event), now, actions);
}

void ControlPlane::On(const Membership::PublishGossip& event, TimePoint now, Actions& actions) {
  Give(Membership::Event(event), now, actions);
}

void ControlPlane::On(const Membership::Leave& event, TimePoint now, Actions& actions) {
  Give(Membership::Event(event), now, actions);
}

void ControlPlane::Give(const Membership::Event& event, TimePoint now, Actions& actions) {
  std::vector<Membership::Action> inner;
  const Membership::HeadChanged head{m_replica.Revision(), m_replica.ConfirmedAt(),
                                     !AcceptsWork(now)};
  m_membership.Handle(head, now, inner);
  m_membership.Handle(event, now, inner);
  for (Membership::Action& action : inner) Perform(action, now, actions);
}

void ControlPlane::Give(const CatalogueReplica::Event& event, TimePoint now, Actions& actions) {
  std::vector<CatalogueReplica::Action> inner;
  m_replica.Handle(event, now, inner);
  for (CatalogueReplica::Action& action : inner) Perform(action, now, actions);
}

void ControlPlane::Give(const CatalogueWriter::Event& event, TimePoint now, Actions& actions) {
  std::vector<CatalogueWriter::Action> inner;
  m_writer.Handle(event, now, inner);
  for (CatalogueWriter::Action& action : inner) Perform(action, now, actions);
}

void ControlPlane::Perform(Membership::Action& action, TimePoint now, Actions& actions) {
  const auto perform = [&]<typename Specific>(Specific& specific) {
    if constexpr (std::is_same_v<Specific, Membership::SetTimer>) {
      actions.emplace_back(SetTimer{Timer::kMembership, specific.at});
    } else if constexpr (std::is_same_v<Specific, Membership::PeerHead>) {
      Give(CatalogueReplica::PeerHead{specific.peer, specific.head, specific.asked_at}, now,
           actions);
      Give(CatalogueWriter::PeerHead{specific.peer, specific.head}, now, actions);
    } else {
      actions.emplace_back(std::move(specific));
    }
  };
  std::visit(perform, action);
}

void ControlPlane::Perform(CatalogueReplica::Action& action, TimePoint now, Actions& actions) {
  const auto perform = [&]<typename Specific>(Specific& specific) {
    if constexpr (std::is_same_v<Specific, CatalogueReplica::SetTimer>) {
      actions.emplace_back(SetTimer{Timer::kReplica, specific.at});
    } else if constexpr (std::is_same_v<Specific, CatalogueReplica::ReadHead>) {
      const std::uint64_t token = Register({Purpose::kHead, now});
      actions.emplace_back(ReadRow{token, kCatalogueTable, kHeadKey});
    } else if constexpr (std::is_same_v<Specific, CatalogueReplica::FetchFromStore>) {
      const std::uint64_t token = Register({Purpose::kItems, now});
      actions.emplace_back(ReadRows{token, kCatalogueTable, specific.since});
    } else if constexpr (std::is_same_v<Specific, CatalogueReplica::FetchFromPeer>) {
      const auto member = m_membership.Members().find(specific.peer.name);
      const std::uint64_t token = Register({Purpose::kDelta, now, 0, specific.peer});
      const std::string address =
          member == m_membership.Members().end() ? "" : member->second.info.address;
      actions.emplace_back(FetchDelta{token, address, specific.from});
    } else if constexpr (std::is_same_v<Specific, CatalogueReplica::PingVoter>) {
      Give(Membership::PingMember{specific.voter}, now, actions);
    } else {
      actions.emplace_back(std::move(specific));
    }
  };
  std::visit(perform, action);
}

void ControlPlane::Perform(CatalogueWriter::Action& action, TimePoint now, Actions& actions) {
  const auto perform = [&]<typename Specific>(Specific& specific) {
    if constexpr (std::is_same_v<Specific, CatalogueWriter::WriteTransaction>) {
      const std::uint64_t token = Register({Purpose::kWrite, now, specific.token});
      actions.emplace_back(WriteRows{token, std::move(specific.operations)});
    } else if constexpr (std::is_same_v<Specific, CatalogueWriter::ReadHistory>) {
      const std::uint64_t token = Register({Purpose::kHistory, now, specific.token});
      actions.emplace_back(ReadRow{token, kCatalogueHistoryTable, specific.key});
    } else if constexpr (std::is_same_v<Specific, CatalogueWriter::PingMember>) {
      Give(Membership::PingMember{specific.member}, now, actions);
    } else if constexpr (std::is_same_v<Specific, CatalogueWriter::Committed>) {
      Give(CatalogueReplica::StoreCommitted{specific.revision}, now, actions);
    } else if constexpr (std::is_same_v<Specific, CatalogueWriter::RefreshReplica>) {
      Give(CatalogueReplica::Refresh{}, now, actions);
    } else {
      actions.emplace_back(std::move(specific));
    }
  };
  std::visit(perform, action);
}

TimePoint ControlPlane::AcceptsUntil() const {
  if (m_membership.IsSuperseded() || !m_membership.HasFullList()) return TimePoint::min();
  return std::min(m_replica.FreshUntil(), m_membership.OnTimeUntil());
}

std::size_t ControlPlane::StateBytes() const {
  return m_membership.StateBytes() + m_replica.StateBytes() + sizeof *this +
         m_requests.size() * (sizeof(Request) + 64);
}

std::uint64_t ControlPlane::Register(Request request) {
  m_requests[++m_last_token] = std::move(request);
  return m_last_token;
}

std::optional<ControlPlane::Request> ControlPlane::Take(std::uint64_t token) {
  const auto found = m_requests.find(token);
  if (found == m_requests.end()) return std::nullopt;
  const Request request = found->second;
  m_requests.erase(found);
  return request;
}

bool ControlPlane::ReachesMajority() const {
  std::size_t reached = 0;
  const std::vector<InstanceId>& voters = m_replica.Voters().current;
  for (const InstanceId& voter : voters) reached += m_membership.Reaches(voter) ? 1 : 0;
  return reached >= voters.size() / 2 + 1;
}

}  // namespace fulmarpoint
