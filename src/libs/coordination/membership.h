#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "coordination/gossip_queue.h"
#include "protocol/peer_messages.h"
#include "utils/random.h"
#include "utils/time.h"

namespace fulmarpoint {

/// A daemon in the platform's instance list.
struct ListedDaemon {
  std::string name;
  /// "ip:port" of the peer service.
  std::string address;
  bool leaving = false;
};

/// The state of a member in this daemon's view.
struct Member {
  MemberUpdate info;
  /// The instance list has contained this member at least once.
  bool was_listed = false;
  /// The last instance list that contained the member marked it as leaving.
  bool list_leaving = false;
  /// Number of consecutive lists without the member, counted only after it was listed.
  int absent_lists = 0;
  /// For a suspect the end of the suspicion; for a failed or departed member the time from which it
  /// may be removed.
  TimePoint deadline{};
};

/// SWIM-style membership of one daemon. Each daemon pings one member per second, so that its cost
/// does not depend on the number of members. A member that does not answer is pinged indirectly
/// through three others, then suspected, then declared failed. The suspected process itself refutes
/// a suspicion with a higher epoch. A process with a higher incarnation permanently replaces its
/// predecessor of the same name. Updates for every daemon are piggybacked on pings and their
/// answers, each a bounded number of times. Not thread-safe.
class Membership {
 public:
  struct Options {
    Duration probe_period = std::chrono::seconds(1);
    Duration suspicion = std::chrono::seconds(4);
    /// Failed and departed members are kept for this long.
    Duration retention = std::chrono::hours(2);
    /// Mean interval between requests for a random page of another daemon's members.
    Duration page_interval = std::chrono::seconds(30);
    /// Interval between pings to a failed member, so that partitioned regions reconnect.
    Duration reconnect_interval = std::chrono::seconds(5);
  };

  /// The instance list was read.
  struct InstanceListRead {
    std::vector<ListedDaemon> daemons;
  };
  struct Start {};
  struct DatagramReceived {
    std::string address;
    PeerDatagram datagram;
  };
  struct TimerFired {};
  struct PublishGossip {
    GossipMessage message;
  };
  /// The catalogue head that this daemon announces has changed.
  struct HeadChanged {
    std::uint64_t revision = 0;
    std::optional<TimePoint> confirmed_at;
    bool fenced = true;
  };
  /// Pings one member, whose answer is reported as `PeerHead`.
  struct PingMember {
    InstanceId member;
  };
  /// Announces that this daemon is about to leave (`gone` false) or has left.
  struct Leave {
    bool gone = false;
  };
  using Event = std::variant<Start, DatagramReceived, TimerFired, InstanceListRead, PublishGossip,
                             HeadChanged, PingMember, Leave>;

  struct SendDatagram {
    std::string address;
    PeerDatagram datagram;
  };
  struct SetTimer {
    TimePoint at;
  };
  struct MemberChanged {
    MemberUpdate member;
  };
  struct GossipReceived {
    GossipMessage message;
  };
  /// A peer announced its catalogue head. `requested_at` is set if this is the answer to a ping
  /// that was sent at that time. However long the answer took, the head was in effect at the peer
  /// no earlier than that.
  struct PeerHead {
    InstanceId peer;
    CatalogueHead head;
    std::optional<TimePoint> requested_at;
  };
  /// Another process with this daemon's name and a higher incarnation has replaced this one, which
  /// must stop serving.
  struct Superseded {
    InstanceId by;
  };
  using Action =
      std::variant<SendDatagram, SetTimer, MemberChanged, GossipReceived, PeerHead, Superseded>;

  /// Number of consecutive instance lists without an unknown process after which it counts as gone.
  /// Lists lag, and the process may be newer than the list.
  static constexpr std::size_t kListsUntilUnknownIsGone = 6;

  /// `self` describes this process; `seed` seeds the random choices.
  Membership(MemberUpdate self, Options options, std::uint64_t seed);

  void Handle(const Event& event, TimePoint now, std::vector<Action>& actions);

  /// Returns the other members by name, including failed and departed ones.
  const std::map<std::string, Member>& Members() const { return m_members; }
  const MemberUpdate& Self() const { return m_self; }
  /// Returns whether `id` is this process or a member that is alive or only suspected.
  bool Reaches(const InstanceId& id) const;
  /// Returns whether it is certain that the process `id` no longer runs: it announced its
  /// departure, a process with a higher incarnation replaced it, it failed and the instance list
  /// confirms that, or it is unknown here and not in any recent instance list.
  bool IsGone(const InstanceId& id) const;
  /// `KnownCount` returns the number of members that are not certainly gone, `ReachableCount` those
  /// that are alive or suspected. Both include this process.
  std::size_t KnownCount() const;
  std::size_t ReachableCount() const;
  /// Returns whether the instance list has been read.
  bool HasInstanceList() const { return !m_lists.empty(); }
  /// Returns whether the membership timer is on schedule, so that this process was not paused.
  bool IsTimerOnSchedule(TimePoint now) const { return now <= TimerOnScheduleUntil(); }
  /// Returns the last time at which `IsTimerOnSchedule` holds unless another timer fires.
  TimePoint TimerOnScheduleUntil() const;
  bool IsSuperseded() const { return m_superseded; }
  /// Returns whether all members and gossip messages have been read from others since the start or
  /// the last pause of this process, or no other member was reachable for 5 s.
  bool IsFullySynced() const { return m_full_sync.complete; }
  /// Returns the approximate number of bytes in use.
  std::size_t StateBytes() const;

 private:
  struct Probe {
    InstanceId target;
    std::string address;
    std::uint64_t nonce = 0;
    TimePoint sent{};
    bool indirect = false;
    bool answered = false;
  };
  struct RelayedPing {
    std::string requester;
    InstanceId requester_id;
    std::uint64_t nonce = 0;
    TimePoint expires{};
  };
  struct PendingPing {
    TimePoint at;
    InstanceId target;
  };
  /// Reads all members and gossip messages from others, page by page.
  struct FullSync {
    bool complete = false;
    /// Complete because no other member was reachable; repeated when one is.
    bool alone = false;
    TimePoint started{};
    std::uint64_t nonce = 0;
    std::string cursor;
    std::uint32_t gossip_cursor = 0;
    TimePoint progress{};
  };
  using Actions = std::vector<Action>;

  void On(const Start& event, TimePoint now, Actions& actions);
  void On(const DatagramReceived& event, TimePoint now, Actions& actions);
  void On(const TimerFired& event, TimePoint now, Actions& actions);
  void On(const InstanceListRead& event, TimePoint now, Actions& actions);
  void On(const PublishGossip& event, TimePoint now, Actions& actions);
  void On(const HeadChanged& event, TimePoint now, Actions& actions);
  void On(const PingMember& event, TimePoint now, Actions& actions);
  void On(const Leave& event, TimePoint now, Actions& actions);

  void OnAck(const DatagramReceived& event, TimePoint now, Actions& actions);
  void OnPingRequest(const DatagramReceived& event, TimePoint now, Actions& actions);
  void SendPage(const DatagramReceived& event, TimePoint now, Actions& actions);
  void OnPage(const PeerDatagram& page, TimePoint now, Actions& actions);
  void Merge(const MemberUpdate& update, TimePoint now, Actions& actions);
  void MergeSelf(const MemberUpdate& update, Actions& actions);
  void Store(const MemberUpdate& update, TimePoint now, Actions& actions);
  void MergeListed(Member& member, const ListedDaemon* listed);

  void AdvanceProbe(TimePoint now, Actions& actions);
  void StartProbe(TimePoint now, Actions& actions);
  void ProbeIndirectly(TimePoint now, Actions& actions);
  void Reconnect(TimePoint now, Actions& actions);
  void ContinueFullSync(TimePoint now, Actions& actions);
  bool IsOnlyListedDaemon() const;
  void RequestRandomPage(TimePoint now, Actions& actions);
  void ExpireSuspects(TimePoint now, Actions& actions);
  void RemoveExpired(TimePoint now);
  void ResetAfterPause(TimePoint now);

  std::uint64_t Ping(const InstanceId& to, const std::string& address, std::size_t budget,
                     TimePoint now, Actions& actions);
  PeerDatagram Compose(DatagramKind kind, const InstanceId& to, std::uint64_t nonce, TimePoint now);
  /// Adds queued updates and gossip messages up to `budget` bytes.
  void Piggyback(PeerDatagram& datagram, std::size_t budget);
  void QueueUpdate(const std::string& name);
  int TransmitLimit() const;
  std::vector<const Member*> RandomReachable(std::size_t count, const InstanceId& except);

  MemberUpdate m_self;
  Options m_options;
  Random m_random;
  HeadChanged m_head;
  std::map<std::string, Member> m_members;
  std::vector<std::string> m_probe_order;
  std::optional<Probe> m_probe;
  std::map<std::uint64_t, PendingPing> m_pending_pings;
  std::map<std::uint64_t, RelayedPing> m_relayed_pings;
  std::deque<std::pair<std::string, int>> m_queue;
  std::map<std::string, bool> m_queued;
  std::vector<std::string> m_suspects;
  /// Names on the last `kListsUntilUnknownIsGone` instance lists.
  std::deque<std::set<std::string>> m_lists;
  GossipQueue m_gossip;
  TimePoint m_last_tick{};
  TimePoint m_next_probe{};
  TimePoint m_next_page{};
  TimePoint m_next_reconnect{};
  FullSync m_full_sync;
  bool m_superseded = false;
};

}  // namespace fulmarpoint
