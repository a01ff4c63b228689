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

/// The catalogue in effect at one daemon. It learns of a new revision from peers or by reading the
/// head row, fetches the changed items from the peer that announced them or from the table service,
/// and only ever advances.
///
/// A revision is *accepted* when so many voters have it in effect that the others are no majority
/// (see `CatalogueWriter`). A daemon takes new work only with a proof, not older than 10 s, that no
/// later revision had been accepted at that time:
/// - it read the head, dated from the start of the read; or
/// - a majority of the voters of its revision answered with no later revision, dated from the
/// oldest
///   of these requests; or
/// - a peer at no later revision answered and has such a proof, dated from the request minus the
/// age
///   that the peer stated.
/// Every date is on this daemon's clock and no later than the true time, so that delayed messages
/// and pauses only make a proof older. Not thread-safe.
class CatalogueReplica {
 public:
  struct Options {
    Duration head_interval = std::chrono::seconds(5);
    Duration proof_limit = std::chrono::seconds(10);
    Duration fetch_timeout = std::chrono::milliseconds(1500);
    /// Switches of the test driver that break one rule each.
    bool mutate_accept_lower_revision = false;
    bool mutate_skip_fencing = false;
    bool mutate_date_proof_on_arrival = false;
  };

  struct Start {};
  struct TimerFired {};
  /// A head row read that began at `asked_at`. `revision` is 0 if there is no head row yet.
  struct HeadRead {
    bool ok = false;
    std::uint64_t revision = 0;
    TimePoint asked_at{};
  };
  /// Rows of the catalogue table that changed since the table version that was asked for.
  struct StoreDelta {
    bool ok = false;
    std::vector<CatalogueItem> items;
    std::uint64_t table_version = 0;
  };
  struct PeerHead {
    InstanceId peer;
    CatalogueHead head;
    std::optional<TimePoint> asked_at;
  };
  struct PeerDelta {
    bool ok = false;
    InstanceId peer;
    CatalogueDelta delta;
  };
  /// A write of this daemon was committed. The rows are read back from the table service, which
  /// alone knows their versions.
  struct StoreCommitted {
    std::uint64_t revision = 0;
  };
  /// Asks for an immediate read of the head.
  struct Refresh {};
  /// Whether this daemon reaches a majority of the voters according to its membership.
  struct MajorityView {
    bool reachable = false;
  };
  using Event = std::variant<Start, TimerFired, HeadRead, StoreDelta, PeerHead, PeerDelta,
                             StoreCommitted, Refresh, MajorityView>;

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
  /// The date of the best proof that the revision in effect is current.
  std::optional<TimePoint> ConfirmedAt() const { return m_proof; }
  /// Returns whether new work may be taken. Call it for each request: a process that was paused
  /// must not rely on the last `FenceChanged`.
  bool IsFresh(TimePoint now) const;
  /// The last time at which `IsFresh` holds without another proof.
  TimePoint FreshUntil() const;
  /// As `IsFresh`, but an entry with `when_stale = "serve"` is always served.
  bool MayServe(const CatalogueEntry& entry, TimePoint now) const;

  CatalogueEntryPtr Entry(const ServiceName& service) const;
  const std::map<ServiceName, CatalogueEntryPtr>& Entries() const { return m_entries; }
  const std::map<std::string, CatalogueItem>& Items() const { return m_items; }
  const VoterSet& Voters() const { return m_voters; }
  /// Returns the items that changed after `from`, for a peer.
  CatalogueDelta DeltaSince(std::uint64_t from) const;
  /// Returns those of them with a key after `cursor`, up to about `max_bytes`; sets `is_last` to
  /// whether none is left.
  CatalogueDelta DeltaPage(std::uint64_t from, const std::string& cursor, std::size_t max_bytes,
                           bool& is_last) const;
  const Counters& Counts() const { return m_counters; }
  std::size_t StateBytes() const;

 private:
  using Actions = std::vector<Action>;
  struct Heard {
    TimePoint asked_at{};
    std::uint64_t revision = 0;
  };
  struct PendingProof {
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
  void On(const MajorityView& event, TimePoint now, Actions& actions);

  void LearnTarget(std::uint64_t revision, TimePoint now, Actions& actions);
  void Fetch(TimePoint now, Actions& actions);
  void FetchStore(TimePoint now, Actions& actions);
  /// Returns false if the delta does not lead to a higher revision or holds an invalid item.
  bool Apply(const CatalogueDelta& delta, TimePoint now, Actions& actions);
  bool RebuildEntries(const std::vector<ServiceName>& services,
                      const std::map<std::string, CatalogueItem>& updates,
                      std::map<ServiceName, CatalogueEntryPtr>& rebuilt) const;
  void AddProof(std::uint64_t revision, TimePoint date, TimePoint now, Actions& actions);
  void ProveByMajority(TimePoint now, Actions& actions);
  void RenewProof(TimePoint now, Actions& actions);
  bool DecidesToPoll(TimePoint now);
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
  std::map<InstanceId, Heard> m_heard;
  std::deque<InstanceId> m_announcers;
  std::optional<TimePoint> m_proof;
  std::optional<PendingProof> m_pending_proof;
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
