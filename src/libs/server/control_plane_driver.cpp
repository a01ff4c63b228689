#include "server/control_plane_driver.h"

#include <atomic>
#include <map>
#include <optional>
#include <utility>

#include "server/catalogue_view.h"
#include "server/instance_list_client.h"
#include "server/lookup.h"
#include "server/table_client.h"
#include "transport/notification.h"
#include "utils/logging.h"
#include "utils/metrics.h"
#include "utils/overloaded.h"

namespace fulmarpoint {

namespace {

constexpr std::size_t kDeltaPageBytes = std::size_t{1024} * 1024;
constexpr Duration kDeltaTimeout = std::chrono::seconds(5);

MemberUpdate Describe(const Services& services, const std::string& peer_address,
                      const std::string& http_address) {
  MemberUpdate self;
  self.id = services.self;
  self.address = peer_address;
  const std::size_t colon = http_address.rfind(':');
  self.http_port = static_cast<std::uint16_t>(std::stoi(http_address.substr(colon + 1)));
  self.failure_domain = services.settings.daemon.failure_domain;
  self.region = services.settings.daemon.region;
  return self;
}

std::string HttpAddressOf(const MemberUpdate& member) {
  const std::string ip = member.address.substr(0, member.address.rfind(':'));
  return ip + ":" + std::to_string(member.http_port);
}

TableOutcome ToOutcome(WriteOutcome outcome) {
  if (outcome == WriteOutcome::kCommitted) return TableOutcome::kDone;
  if (outcome == WriteOutcome::kConflict) return TableOutcome::kConflict;
  return TableOutcome::kUnknown;
}

/// A value that one strand produces and a coroutine on another executor awaits.
template <typename Value>
struct Awaited {
  explicit Awaited(const Executor& waiter) : executor(waiter), ready(waiter) {}

  const Executor executor;
  Notification ready;
  Value value;

  static void Complete(const std::shared_ptr<Awaited>& self, Value value) {
    Post(self->executor, [self, value = std::move(value)]() mutable {
      self->value = std::move(value);
      self->ready.Notify();
    });
  }
};

}  // namespace

struct ControlPlaneDriver::State : std::enable_shared_from_this<ControlPlaneDriver::State> {
  State(Services& shared, PeerService& service, ControlPlane::Options own_options)
      : services(shared),
        peers(service),
        options(own_options),
        strand(MakeStrand(shared.executor)) {}

  /// Handles an event on the strand.
  void Post(ControlPlane::Event event);
  void Handle(const ControlPlane::Event& event);
  void Perform(ControlPlane::Action& action);
  void PublishMembers();
  void ReadList();
  void Read(const ControlPlane::ReadRow& read);
  void Read(const ControlPlane::ReadRows& read);
  void Write(const ControlPlane::WriteRows& write);
  Task<void> Fetch(ControlPlane::FetchDelta fetch);
  Task<std::optional<CatalogueDelta>> FetchPages(std::string address, std::uint64_t from);
  std::string AnswerDelta(const std::string& body) const;
  ControlPlaneStatus Status(TimePoint now) const;

  Services& services;
  PeerService& peers;
  const ControlPlane::Options options;
  const Executor strand;
  std::unique_ptr<ControlPlane> control;
  std::atomic<bool> stopped{false};
  /// `ControlPlane::AcceptsUntil` after the last event.
  std::atomic<Duration::rep> accepts_until{TimePoint::min().time_since_epoch().count()};
  std::atomic<bool> superseded{false};
  std::map<GossipTopic, NoticeHandler> on_notice;
  MemberHandler on_member;
  std::function<void()> on_superseded;
  std::uint64_t next_change = 1;
  std::map<std::uint64_t, std::shared_ptr<Awaited<ApplyReport>>> changes;
};

void ControlPlaneDriver::State::Post(ControlPlane::Event event) {
  fulmarpoint::Post(strand, [self = shared_from_this(), event = std::move(event)]() {
    if (!self->stopped && self->control) self->Handle(event);
  });
}

void ControlPlaneDriver::State::Handle(const ControlPlane::Event& event) {
  std::vector<ControlPlane::Action> actions;
  control->Handle(event, SteadyNow(), actions);
  accepts_until = control->AcceptsUntil().time_since_epoch().count();
  for (ControlPlane::Action& action : actions) Perform(action);
}

void ControlPlaneDriver::State::Perform(ControlPlane::Action& action) {
  std::visit(
      Overloaded{
          [this](const ControlPlane::SetTimer& timer) {
            Spawn(strand, [self = shared_from_this(), timer]() -> Task<void> {
              co_await Sleep(std::max(Duration(0), timer.at - SteadyNow()));
              if (!self->stopped) self->Handle(ControlPlane::TimerFired{timer.timer});
            });
          },
          [this](const ControlPlane::ReadRow& read) { Read(read); },
          [this](const ControlPlane::ReadRows& read) { Read(read); },
          [this](const ControlPlane::WriteRows& write) { Write(write); },
          [this](const ControlPlane::FetchDelta& fetch) {
            Spawn(strand, [self = shared_from_this(), fetch]() { return self->Fetch(fetch); });
          },
          [this](const ControlPlane::ReadInstanceList&) { ReadList(); },
          [this](const Membership::SendDatagram& send) { peers.Send(send.address, send.datagram); },
          [this](const Membership::MemberChanged& change) {
            Log(LogLevel::kInfo, "member_changed",
                {{"member", ToString(change.member.id)},
                 {"state", NameOf(kMemberStateNames, change.member.state)}});
            PublishMembers();
            if (on_member) on_member(change.member);
          },
          [this](const Membership::GossipReceived& received) {
            const auto handler = on_notice.find(received.message.topic);
            if (handler != on_notice.end()) handler->second(received.message);
          },
          [this](const Membership::Superseded& successor) {
            superseded = true;
            Log(LogLevel::kError, "superseded", {{"by", ToString(successor.by)}});
            if (on_superseded) on_superseded();
          },
          [this](const CatalogueReplica::RevisionChanged& change) {
            services.catalogue.Apply(change.revision, change.changed, change.removed);
            Log(LogLevel::kInfo, "catalogue_in_effect", {{"revision", change.revision}});
          },
          [this](const CatalogueReplica::FenceChanged& change) {
            services.metrics.Count("catalogue_fence", change.fenced ? "fenced" : "unfenced");
            Log(change.fenced ? LogLevel::kWarning : LogLevel::kInfo, "fence_changed",
                {{"fenced", change.fenced}});
          },
          [this](CatalogueWriter::ApplyFinished& done) {
            const auto change = changes.find(done.id);
            if (change == changes.end()) return;
            Awaited<ApplyReport>::Complete(change->second, std::move(done.report));
            changes.erase(change);
          },
      },
      action);
}

void ControlPlaneDriver::State::PublishMembers() {
  std::vector<EntryDaemon> daemons;
  const auto add = [&daemons](const MemberUpdate& member, bool leaving) {
    daemons.push_back({member.id.name, HttpAddressOf(member), member.failure_domain, leaving});
  };
  const Membership& members = control->Members();
  add(members.Self(), members.Self().leaving);
  for (const auto& [name, member] : members.Members()) {
    if (member.info.state != MemberState::kAlive) continue;
    add(member.info, member.info.leaving || member.list_leaving);
  }
  services.lookup.SetDaemons([daemons = std::move(daemons)]() { return daemons; });
}

void ControlPlaneDriver::State::ReadList() {
  Spawn(strand, [self = shared_from_this()]() -> Task<void> {
    const InstanceList list = co_await self->services.instances.Read();
    if (list.error || self->stopped) co_return;
    Membership::InstanceListRead event;
    for (const ListedInstance& instance : list.instances) {
      if (instance.kind != InstanceKind::kDaemon) continue;
      event.daemons.push_back({instance.name, instance.address, instance.leaving});
    }
    self->Handle(event);
  });
}

void ControlPlaneDriver::State::Read(const ControlPlane::ReadRow& read) {
  Spawn(strand, [self = shared_from_this(), read]() -> Task<void> {
    const RowRead result = co_await self->services.tables.Read(read.table, read.key);
    ControlPlane::RowRead event{read.token, !result.error, std::nullopt};
    if (result.row && result.row->value) {
      event.row = TableRow{result.row->key, result.row->version, *result.row->value};
    }
    self->services.metrics.Count("catalogue_reads", result.error ? "failed" : "ok");
    if (!self->stopped) self->Handle(event);
  });
}

void ControlPlaneDriver::State::Read(const ControlPlane::ReadRows& read) {
  Spawn(strand, [self = shared_from_this(), read]() -> Task<void> {
    const RowsRead result = co_await self->services.tables.ListSince(read.table, read.since);
    ControlPlane::RowsRead event{read.token, !result.error, {}, result.version};
    for (const StoredRow& row : result.rows) {
      if (row.value) event.rows.push_back({row.key, row.version, *row.value});
    }
    self->services.metrics.Count("catalogue_reads", result.error ? "failed" : "ok");
    if (!self->stopped) self->Handle(event);
  });
}

void ControlPlaneDriver::State::Write(const ControlPlane::WriteRows& write) {
  Spawn(strand, [self = shared_from_this(), write]() -> Task<void> {
    std::vector<RowChange> rows;
    for (const TableOperation& operation : write.operations) {
      rows.push_back({operation.table, operation.key, operation.expect, operation.value});
    }
    const TransactionResult result = co_await self->services.tables.Write(std::move(rows));
    if (self->stopped) co_return;
    self->Handle(ControlPlane::TransactionDone{write.token, ToOutcome(result.outcome)});
  });
}

Task<void> ControlPlaneDriver::State::Fetch(ControlPlane::FetchDelta fetch) {
  const std::shared_ptr<State> self = shared_from_this();
  std::optional<CatalogueDelta> delta = co_await FetchPages(fetch.address, fetch.from);
  services.metrics.Count("catalogue_deltas", delta ? "ok" : "failed");
  if (stopped) co_return;
  Handle(ControlPlane::DeltaRead{fetch.token, delta.has_value(),
                                 std::move(delta).value_or(CatalogueDelta{})});
}

Task<std::optional<CatalogueDelta>> ControlPlaneDriver::State::FetchPages(std::string address,
                                                                          std::uint64_t from) {
  CatalogueDelta delta{from, 0, {}};
  std::string cursor;
  while (!address.empty() && !stopped) {
    PeerFrame request{PeerFrameKind::kCatalogueDelta, Encode(DeltaRequest{from, cursor})};
    const PeerAnswer answer = co_await peers.Request(address, std::move(request), kDeltaTimeout);
    if (answer.error) co_return std::nullopt;
    Parsed<DeltaPage> page = DecodeDeltaPage(answer.body);
    if (!page) co_return std::nullopt;
    CatalogueDelta& part = page.Value().delta;
    // The peer advanced between two pages; the next attempt starts again.
    if (!cursor.empty() && part.to != delta.to) co_return std::nullopt;
    delta.to = part.to;
    for (CatalogueItem& item : part.items) delta.items.push_back(std::move(item));
    if (page.Value().is_last) co_return delta;
    if (delta.items.empty() || delta.items.back().key <= cursor) co_return std::nullopt;
    cursor = delta.items.back().key;
  }
  co_return std::nullopt;
}

std::string ControlPlaneDriver::State::AnswerDelta(const std::string& body) const {
  if (!control) return "";
  const Parsed<DeltaRequest> request = DecodeDeltaRequest(body);
  if (!request) return "";
  DeltaPage page;
  page.delta = control->Replica().DeltaPage(request.Value().from, request.Value().cursor,
                                            kDeltaPageBytes, page.is_last);
  return Encode(page);
}

ControlPlaneStatus ControlPlaneDriver::State::Status(TimePoint now) const {
  ControlPlaneStatus status;
  if (!control) return status;
  const Membership& members = control->Members();
  status.self = members.Self();
  for (const auto& [name, member] : members.Members()) {
    status.members.push_back({member, members.IsGone(member.info.id)});
  }
  const CatalogueReplica& replica = control->Replica();
  status.revision = replica.Revision();
  status.accepts_work = control->AcceptsWork(now);
  status.has_proof = replica.ConfirmedAt().has_value();
  if (replica.ConfirmedAt()) status.proof_age = now - *replica.ConfirmedAt();
  status.voters = replica.Voters();
  status.counters = replica.Counts();
  status.state_bytes = control->StateBytes();
  for (const auto& [service, entry] : replica.Entries()) status.entries.push_back(entry);
  return status;
}

ControlPlaneDriver::ControlPlaneDriver(Services& services, PeerService& peers,
                                       ControlPlane::Options options)
    : m_state(std::make_shared<State>(services, peers, options)) {}

ControlPlaneDriver::~ControlPlaneDriver() { Stop(); }

void ControlPlaneDriver::SetNoticeHandler(GossipTopic topic, NoticeHandler handler) {
  m_state->on_notice[topic] = std::move(handler);
}

void ControlPlaneDriver::SetMemberHandler(MemberHandler handler) {
  m_state->on_member = std::move(handler);
}

void ControlPlaneDriver::SetSupersededHandler(std::function<void()> handler) {
  m_state->on_superseded = std::move(handler);
}

std::error_code ControlPlaneDriver::Start(const std::string& http_address) {
  const std::shared_ptr<State> state = m_state;
  state->peers.SetDatagramHandler([state](const std::string& from, const PeerDatagram& datagram) {
    state->Post(Membership::DatagramReceived{from, datagram});
  });
  state->peers.SetFrameHandler(
      PeerFrameKind::kCatalogueDelta, [state](std::string body) -> Task<std::string> {
        const Executor own = co_await CurrentExecutor();
        const std::shared_ptr<Awaited<std::string>> answer =
            std::make_shared<Awaited<std::string>>(own);
        fulmarpoint::Post(state->strand, [state, answer, request = std::move(body)]() {
          Awaited<std::string>::Complete(answer, state->AnswerDelta(request));
        });
        co_await answer->ready.Wait();
        co_return std::move(answer->value);
      });
  state->services.catalogue.SetFreshness([state](const CatalogueEntry& entry) {
    const TimePoint until(Duration(state->accepts_until.load()));
    if (SteadyNow() <= until) return true;
    return entry.when_stale == StalePolicy::kServe && !state->superseded;
  });
  const std::error_code error = state->peers.Start();
  if (error) return error;
  const MemberUpdate self = Describe(state->services, state->peers.Address(), http_address);
  fulmarpoint::Post(state->strand, [state, self]() {
    state->control =
        std::make_unique<ControlPlane>(self, state->options, state->services.self.incarnation);
    state->PublishMembers();
    state->Handle(ControlPlane::Start{});
  });
  return {};
}

void ControlPlaneDriver::Stop() {
  m_state->stopped = true;
  m_state->peers.Stop();
}

void ControlPlaneDriver::Publish(GossipMessage message) {
  m_state->Post(Membership::PublishGossip{std::move(message)});
}

void ControlPlaneDriver::Leave(bool gone) {
  fulmarpoint::Post(m_state->strand, [state = m_state, gone]() {
    if (state->stopped || !state->control) return;
    state->Handle(Membership::Leave{gone});
    state->PublishMembers();
  });
}

bool ControlPlaneDriver::AcceptsWork() const {
  return SteadyNow() <= TimePoint(Duration(m_state->accepts_until.load()));
}

Task<ApplyReport> ControlPlaneDriver::Apply(CatalogueWriter::Apply change) {
  const std::shared_ptr<State> state = m_state;
  const Executor own = co_await CurrentExecutor();
  const std::shared_ptr<Awaited<ApplyReport>> report = std::make_shared<Awaited<ApplyReport>>(own);
  fulmarpoint::Post(state->strand, [state, report, change = std::move(change)]() mutable {
    if (!state->control) return Awaited<ApplyReport>::Complete(report, ApplyReport{});
    change.id = state->next_change++;
    state->changes[change.id] = report;
    state->Handle(change);
  });
  co_await report->ready.Wait();
  co_return std::move(report->value);
}

Task<ControlPlaneStatus> ControlPlaneDriver::Status() {
  const std::shared_ptr<State> state = m_state;
  const Executor own = co_await CurrentExecutor();
  const std::shared_ptr<Awaited<ControlPlaneStatus>> status =
      std::make_shared<Awaited<ControlPlaneStatus>>(own);
  fulmarpoint::Post(state->strand, [state, status]() {
    Awaited<ControlPlaneStatus>::Complete(status, state->Status(SteadyNow()));
  });
  co_await status->ready.Wait();
  co_return std::move(status->value);
}

}  // namespace fulmarpoint
