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

/// A row of the platform's instance list that describes a daemon.
struct ListedDaemon {
  std::string name;
  /// "ip:port" of the peer service.
  std::string address;
  bool leaving = false;
};

/// A member as this daemon sees it.
struct Member {
  MemberUpdate info;
  /// The instance list has named this member at least once.
  bool was_listed = false;
  /// The instance list says that the member is leaving, or no longer names it.
  bool list_leaving = false;
  /// Consecutive lists without the member, counted only after it was listed.
  int absent_lists = 0;
  /// End of the suspicion, or the time from which a failed or departed member may be forgotten.
  TimePoint deadline{};
};

/// SWIM-style membership of one daemon. Each daemon pings one member per second, so that its cost
/// does not depend on the number of members. A member that does not answer is asked through three
/// others, then suspected, then failed. Suspicion is refuted by the process itself with a higher
/// epoch; a process with a higher incarnation replaces its predecessor of the same name for good.
/// Information that must reach every daemon travels on the pings and their answers, each item a
/// bounded number of times. Not thread-safe.
class Membership {
 public:
  struct Options {
    Duration probe_period = std::chrono::seconds(1);
    Duration suspicion = std::chrono::seconds(4);
    /// Failed and departed members are remembered for this long.
    Duration retention = std::chrono::hours(2);
    /// Interval between requests for a random page of another daemon's members.
    Duration page_interval = std::chrono::seconds(30);
    /// Interval between pings to a failed member, so that parted regions find each other again.
    Duration reconnect_interval = std::chrono::seconds(5);
  };

  /// The instance list is read for the first time, or later again.
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
    GossipMessage notice;
  };
  /// The catalogue head that this daemon announces.
  struct HeadChanged {
    std::uint64_t revision = 0;
    std::optional<TimePoint> proof;
    bool fenced = true;
  };
  /// Asks one member, whose answer is reported as `PeerHead`.
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
    GossipMessage notice;
  };
  /// A peer announced its catalogue head. `asked_at` is set if this is the answer to a ping: the
  /// head was then in effect at the peer no earlier than that time, however long the answer took.
  struct PeerHead {
    InstanceId peer;
    CatalogueHead head;
    std::optional<TimePoint> asked_at;
  };
  /// Another process with this daemon's name and a higher incarnation is in use. This process must
  /// stop serving.
  struct Superseded {
    InstanceId by;
  };
  using Action =
      std::variant<SendDatagram, SetTimer, MemberChanged, GossipReceived, PeerHead, Superseded>;

  /// Instance lists in a row that must omit a process that this daemon has never heard of before it
  /// counts as gone. Lists lag, and the process may be newer than the list.
  static constexpr std::size_t kListsForUnknown = 6;

  /// `self` describes this process; `seed` starts the random choices.
  Membership(MemberUpdate self, Options options, std::uint64_t seed);

  void Handle(const Event& event, TimePoint now, std::vector<Action>& actions);

  /// Other members by name, including failed and departed ones.
  const std::map<std::string, Member>& Members() const { return m_members; }
  const MemberUpdate& Self() const { return m_self; }
  /// Returns whether `id` is this process or a member that is alive or only suspected.
  bool Reaches(const InstanceId& id) const;
  /// Returns whether it is certain that the process `id` no longer runs: it announced that it left,
  /// a process with a higher incarnation replaced it, or it failed and the instance list confirms,
  /// or it is unknown here and no recent instance list names it.
  bool IsGone(const InstanceId& id) const;
  /// Members including this process that are not certainly gone, and those of them that are alive.
  std::size_t KnownCount() const;
  std::size_t ReachableCount() const;
  /// Returns whether the instance list has been read.
  bool HasInstanceList() const { return !m_lists.empty(); }
  /// Returns whether this process has not been paused since its last timer.
  bool RunsOnTime(TimePoint now) const { return now <= OnTimeUntil(); }
  /// The last time at which `RunsOnTime` holds without another timer.
  TimePoint OnTimeUntil() const;
  bool IsSuperseded() const { return m_superseded; }
  /// Returns whether all members and notices have been read from others since the start or since
  /// this process was paused, or for 5 s nobody could be reached.
  bool HasFullList() const { return m_full_read.complete; }
  /// Approximate bytes of state.
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
  struct Relay {
    std::string requester;
    InstanceId requester_id;
    std::uint64_t nonce = 0;
    TimePoint expires{};
  };
  struct Asked {
    TimePoint at;
    InstanceId target;
  };
  /// Reading all members and notices from others, page after page.
  struct FullRead {
    bool complete = false;
    /// Complete because nobody could be asked; to be repeated when somebody can.
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
  void AskOthers(TimePoint now, Actions& actions);
  void Reconnect(TimePoint now, Actions& actions);
  void ContinueFullRead(TimePoint now, Actions& actions);
  bool ListNamesNobodyElse() const;
  void RequestRandomPage(TimePoint now, Actions& actions);
  void ExpireSuspects(TimePoint now, Actions& actions);
  void Forget(TimePoint now);
  void ForgiveOwnPause(TimePoint now);

  std::uint64_t Ping(const InstanceId& to, const std::string& address, std::size_t budget,
                     TimePoint now, Actions& actions);
  PeerDatagram Compose(DatagramKind kind, const InstanceId& to, std::uint64_t nonce, TimePoint now);
  /// Adds waiting updates and notices up to `budget` bytes.
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
  std::map<std::uint64_t, Asked> m_asked;
  std::map<std::uint64_t, Relay> m_relays;
  std::deque<std::pair<std::string, int>> m_queue;
  std::map<std::string, bool> m_queued;
  std::vector<std::string> m_suspects;
  /// Names on the last `kListsForUnknown` instance lists.
  std::deque<std::set<std::string>> m_lists;
  NoticeBoard m_notices;
  TimePoint m_last_tick{};
  TimePoint m_next_probe{};
  TimePoint m_next_page{};
  TimePoint m_next_reconnect{};
  FullRead m_full_read;
  bool m_superseded = false;
};

}  // namespace fulmarpoint
