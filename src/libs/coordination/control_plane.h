#pragma once

#include <map>
#include <string>
#include <variant>
#include <vector>

#include "coordination/catalogue_replica.h"
#include "coordination/catalogue_writer.h"
#include "coordination/membership.h"

namespace fulmarpoint {

/// The membership, catalogue replica and catalogue writer of one daemon, connected to each other. A
/// driver only performs the actions and reports their results. Not thread-safe.
class ControlPlane {
 public:
  enum class Timer { kMembership, kReplica, kWriter, kInstanceList };

  struct Options {
    Membership::Options membership;
    CatalogueReplica::Options replica;
    CatalogueWriter::Options writer;
    Duration list_interval = std::chrono::seconds(10);
  };

  struct Start {};
  struct TimerFired {
    Timer timer = Timer::kMembership;
  };
  /// Result of `ReadRow`; `row` is absent if there is no such row.
  struct RowRead {
    std::uint64_t token = 0;
    bool ok = false;
    std::optional<TableRow> row;
  };
  struct RowsRead {
    std::uint64_t token = 0;
    bool ok = false;
    std::vector<TableRow> rows;
    std::uint64_t version = 0;
  };
  struct TransactionDone {
    std::uint64_t token = 0;
    TableOutcome outcome = TableOutcome::kUnknown;
  };
  struct DeltaRead {
    std::uint64_t token = 0;
    bool ok = false;
    CatalogueDelta delta;
  };
  using Event = std::variant<Start, TimerFired, RowRead, RowsRead, TransactionDone, DeltaRead,
                             Membership::DatagramReceived, Membership::InstanceListRead,
                             Membership::PublishGossip, Membership::Leave, CatalogueWriter::Apply>;

  struct SetTimer {
    Timer timer = Timer::kMembership;
    TimePoint at;
  };
  struct ReadRow {
    std::uint64_t token = 0;
    std::string table;
    std::string key;
  };
  struct ReadRows {
    std::uint64_t token = 0;
    std::string table;
    std::uint64_t since = 0;
  };
  struct WriteRows {
    std::uint64_t token = 0;
    std::vector<TableOperation> operations;
  };
  /// Asks a peer over TCP for `DeltaSince(from)`.
  struct FetchDelta {
    std::uint64_t token = 0;
    std::string address;
    std::uint64_t from = 0;
  };
  struct ReadInstanceList {};
  using Action =
      std::variant<SetTimer, ReadRow, ReadRows, WriteRows, FetchDelta, ReadInstanceList,
                   Membership::SendDatagram, Membership::MemberChanged, Membership::GossipReceived,
                   Membership::Superseded, CatalogueReplica::RevisionChanged,
                   CatalogueReplica::FenceChanged, CatalogueWriter::ApplyFinished>;

  ControlPlane(const MemberUpdate& self, const Options& options, std::uint64_t seed);

  void Handle(const Event& event, TimePoint now, std::vector<Action>& actions);

  /// Returns whether new work may be taken, apart from `when_stale`: the catalogue is proven
  /// current, this process was not paused just now, it knows the notices of its peers, and no other
  /// process has replaced it.
  bool AcceptsWork(TimePoint now) const { return now <= AcceptsUntil(); }
  /// The last time at which `AcceptsWork` holds if no event follows. Compare it with the time of
  /// each request: a process that was paused must not rely on the last event.
  TimePoint AcceptsUntil() const;

  const Membership& Members() const { return m_membership; }
  const CatalogueReplica& Replica() const { return m_replica; }
  std::size_t StateBytes() const;

 private:
  enum class Purpose { kHead, kItems, kDelta, kHistory, kWrite };
  struct Request {
    Purpose purpose = Purpose::kHead;
    TimePoint asked_at{};
    std::uint64_t inner_token = 0;
    InstanceId peer;
  };
  using Actions = std::vector<Action>;

  void On(const Start& event, TimePoint now, Actions& actions);
  void On(const TimerFired& event, TimePoint now, Actions& actions);
  void On(const RowRead& event, TimePoint now, Actions& actions);
  void On(const RowsRead& event, TimePoint now, Actions& actions);
  void On(const TransactionDone& event, TimePoint now, Actions& actions);
  void On(const DeltaRead& event, TimePoint now, Actions& actions);
  void On(const CatalogueWriter::Apply& event, TimePoint now, Actions& actions);
  void On(const Membership::DatagramReceived& event, TimePoint now, Actions& actions);
  void On(const Membership::InstanceListRead& event, TimePoint now, Actions& actions);
  void On(const Membership::PublishGossip& event, TimePoint now, Actions& actions);
  void On(const Membership::Leave& event, TimePoint now, Actions& actions);

  void Give(const Membership::Event& event, TimePoint now, Actions& actions);
  void Give(const CatalogueReplica::Event& event, TimePoint now, Actions& actions);
  void Give(const CatalogueWriter::Event& event, TimePoint now, Actions& actions);
  void Perform(Membership::Action& action, TimePoint now, Actions& actions);
  void Perform(CatalogueReplica::Action& action, TimePoint now, Actions& actions);
  void Perform(CatalogueWriter::Action& action, TimePoint now, Actions& actions);

  std::uint64_t Register(Request request);
  std::optional<Request> Take(std::uint64_t token);
  bool ReachesMajority() const;

  Membership m_membership;
  CatalogueReplica m_replica;
  CatalogueWriter m_writer;
  Options m_options;
  Random m_random;
  std::map<std::uint64_t, Request> m_requests;
  std::uint64_t m_last_token = 0;
};

}  // namespace fulmarpoint
