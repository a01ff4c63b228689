#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "protocol/catalogue_item.h"
#include "utils/random.h"
#include "utils/time.h"

namespace fulmarpoint {

using CatalogueEntryPtr = std::shared_ptr<const CatalogueEntry>;

/// The catalogue in effect at one daemon. It detects a new revision from messages of peers or by
/// reading the head row, fetches the changed items from the peer that announced them or from the
/// table service, and never goes back to an earlier revision.
///
/// A revision is *accepted* when so many voters have it in effect that the others are no majority
/// (see `CatalogueWriter`). A daemon accepts new work only with a freshness confirmation, not older
/// than 10 s, that no later revision had been accepted at that time. There are three kinds:
/// - a read of the head, dated from the start of the read;
/// - answers without a later revision from a majority of the voters of its revision, dated from the
///   oldest of these requests;
/// - an answer of a peer that has no later revision and has such a confirmation, dated from the
///   request minus the age that the peer stated.
///
/// Every date is on this daemon's clock and no later than the true time, so that delayed messages
/// and pauses only make a confirmation older. Not thread-safe.
class CatalogueReplica {
 public:
  struct Options {
    Duration head_interval = std::chrono::seconds(5);
    Duration confirmation_validity = std::chrono::seconds(10);
    Duration fetch_timeout = std::chrono::milliseconds(1500);
    /// Fault injection for tests: each switch breaks one rule.
    bool mutate_accept_lower_revision = false;
    bool mutate_skip_fencing = false;
    bool mutate_date_confirmation_on_arrival = false;
  };

  struct Start {};
  struct TimerFired {};
  /// Result of a read of the head row that began at `requested_at`. `revision` is 0 if there is no
  /// head row yet.
  struct HeadRead {
    bool ok = false;
    std::uint64_t revision = 0;
    TimePoint requested_at{};
  };
  /// Rows of the catalogue table that changed since the requested table version.
  struct StoreDelta {
    bool ok = false;
    std::vector<CatalogueItem> items;
    std::uint64_t table_version = 0;
  };
  struct PeerHead {
    InstanceId peer;
    CatalogueHead head;
    std::optional<TimePoint> requested_at;
  };
  struct PeerDelta {
    bool ok = false;
    InstanceId peer;
    CatalogueDelta delta;
  };
  /// A write of this daemon was committed. The rows are read back from the table service, because
  /// only it has their versions.
  struct StoreCommitted {
    std::uint64_t revision = 0;
  };
  /// Requests an immediate read of the head.
  struct Refresh {};
  /// Whether this daemon reaches a majority of the voters, according to its membership.
  struct MajorityReachability {
    bool reachable = false;
  };
  using Event = std::variant<Start, TimerFired, HeadRead, StoreDelta, PeerHead, PeerDelta,
                             StoreCommitted, Refresh, MajorityReachability>;

  struct SetTimer {
    TimePoint at;
  };
  struct ReadHead {};
  struct FetchFromStore {
    std::uint64_t since = 0;
  };
  struct FetchFromPeer {
    InstanceId peer;
    std::uint64_t from = 0;
  };
  struct PingVoter {
    InstanceId voter;
  };
  struct RevisionChanged {
    std::uint64_t revision = 0;
    std::vector<CatalogueEntryPtr> changed;
    std::vector<ServiceName> removed;
  };
  struct FenceChanged {
    bool fenced = true;
  };
  using Action = std::variant<SetTimer, ReadHead, FetchFromStore, FetchFromPeer, PingVoter,
                              RevisionChanged, FenceChanged>;

  struct Counters {
    std::uint64_t head_reads = 0;
    std::uint64_t store_fetches = 0;
    std::uint64_t peer_fetches = 0;
    std::uint64_t voter_pings = 0;
    std::uint64_t stale_answers = 0;
    std::uint64_t rejected_deltas = 0;
  };

  CatalogueReplica(InstanceId self, Options options, std::uint64_t seed);

  void Handle(const Event& event, TimePoint now, std::vector<Action>& actions);

  std::uint64_t Revision() const { return m_revision; }
  /// Returns the date of the latest confirmation that the revision in effect is current.
  std::optional<TimePoint> ConfirmedAt() const { return m_confirmed_at; }
  /// Returns whether new work may be accepted. Call it for each request, because a paused process
  /// must not rely on the last `FenceChanged`.
  bool IsFresh(TimePoint now) const;
  /// Returns the last time at which `IsFresh` holds without another confirmation.
  TimePoint FreshUntil() const;
  /// Like `IsFresh`, but true for every entry with `when_stale = "serve"`.
  bool MayServe(const CatalogueEntry& entry, TimePoint now) const;

  CatalogueEntryPtr Entry(const ServiceName& service) const;
  const std::map<ServiceName, CatalogueEntryPtr>& Entries() const { return m_entries; }
  const std::map<std::string, CatalogueItem>& Items() const { return m_items; }
  const VoterSet& Voters() const { return m_voters; }
  /// Returns the items that changed after `from`, for a peer.
  CatalogueDelta DeltaSince(std::uint64_t from) const;
  /// Like `DeltaSince`, but only items with a key after `cursor`, up to about `max_bytes`. Sets
  /// `is_last` to whether no item is left.
  CatalogueDelta DeltaPage(std::uint64_t from, const std::string& cursor, std::size_t max_bytes,
                           bool& is_last) const;
  const Counters& Counts() const { return m_counters; }
  std::size_t StateBytes() const;

 private:
  using Actions = std::vector<Action>;
  struct VoterAnswer {
    TimePoint requested_at{};
    std::uint64_t revision = 0;
  };
  struct PendingConfirmation {
    std::uint64_t revision = 0;
    TimePoint date{};
  };
  enum class Source { kNone, kStore, kPeer };

  void On(const Start& event, TimePoint now, Actions& actions);
  void On(const TimerFired& event, TimePoint now, Actions& actions);
  void On(const HeadRead& event, TimePoint now, Actions& actions);
  void On(const StoreDelta& event, TimePoint now, Actions& actions);
  void On(const PeerHead& event, TimePoint now, Actions& actions);
  void On(const PeerDelta& event, TimePoint now, Actions& actions);
  void On(const StoreCommitted& event, TimePoint now, Actions& actions);
  void On(const Refresh& event, TimePoint now, Actions& actions);
  void On(const MajorityReachability& event, TimePoint now, Actions& actions);

  void RaiseTarget(std::uint64_t revision, TimePoint now, Actions& actions);
  void Fetch(TimePoint now, Actions& actions);
  void FetchStore(TimePoint now, Actions& actions);
  /// Returns false if the delta does not lead to a higher revision or holds an invalid item.
  bool Apply(const CatalogueDelta& delta, TimePoint now, Actions& actions);
  bool RebuildEntries(const std::vector<ServiceName>& services,
                      const std::map<std::string, CatalogueItem>& updates,
                      std::map<ServiceName, CatalogueEntryPtr>& rebuilt) const;
  void AddConfirmation(std::uint64_t revision, TimePoint date, TimePoint now, Actions& actions);
  void ConfirmByMajority(TimePoint now, Actions& actions);
  void RenewConfirmation(TimePoint now, Actions& actions);
  bool ShouldPoll(TimePoint now);
  void UpdateFence(TimePoint now, Actions& actions);
  Duration Jittered(Duration base);

  InstanceId m_self;
  Options m_options;
  Random m_random;
  std::uint64_t m_revision = 0;
  std::uint64_t m_target = 0;
  std::uint64_t m_table_version = 0;
  std::map<std::string, CatalogueItem> m_items;
  std::map<ServiceName, CatalogueEntryPtr> m_entries;
  VoterSet m_voters;
  std::map<InstanceId, VoterAnswer> m_voter_answers;
  std::deque<InstanceId> m_announcers;
  std::optional<TimePoint> m_confirmed_at;
  std::optional<PendingConfirmation> m_pending_confirmation;
  Source m_fetching = Source::kNone;
  Source m_last_source = Source::kNone;
  TimePoint m_fetch_deadline{};
  TimePoint m_next_head_read{};
  TimePoint m_next_poll{};
  bool m_majority_reachable = false;
  bool m_fenced = true;
  Counters m_counters;
};

/// Returns whether the voters that satisfy `has` leave the others too few to form a majority.
template <typename Has>
bool ExcludesOtherMajority(const std::vector<InstanceId>& voters, Has has) {
  std::size_t count = 0;
  for (const InstanceId& voter : voters) count += has(voter) ? 1 : 0;
  const std::size_t majority = voters.size() / 2 + 1;
  return voters.size() - count < majority;
}

}  // namespace fulmarpoint
