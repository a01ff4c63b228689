#include <criterion/criterion.h>

#include <functional>
#include <memory>
#include <queue>
#include <set>

#include "coordination/membership.h"
#include "protocol/datagram_codec.h"

using namespace fulmarpoint;

namespace {

constexpr std::uint64_t kSeed = 4104;

MemberUpdate Describe(const std::string& name, std::uint64_t incarnation,
                      const std::string& address) {
  MemberUpdate self;
  self.id = {name, incarnation};
  self.address = address;
  self.failure_domain = "buda-a";
  self.region = "hu-central";
  return self;
}

/// Daemons that exchange encoded datagrams in virtual time.
class Network {
 public:
  struct Process {
    std::unique_ptr<Membership> membership;
    std::string address;
    bool running = true;
    bool paused = false;
    std::vector<Membership::Event> held;
    std::vector<Membership::Action> seen;
    std::size_t sent_bytes = 0;
  };

  explicit Network(std::uint64_t seed) : m_random(seed), m_codec("0123456789abcdef") {}

  int Add(const std::string& name, std::uint64_t incarnation, const std::string& address,
          const std::string& seed_address) {
    const int index = static_cast<int>(m_processes.size());
    m_processes.push_back({});
    Process& process = m_processes.back();
    process.address = address;
    process.membership = std::make_unique<Membership>(Describe(name, incarnation, address),
                                                      Membership::Options{}, m_random());
    Give(index, Membership::Start{});
    if (!seed_address.empty()) {
      Give(index, Membership::InstanceListRead{{{"seed of " + name, seed_address, false}}});
    }
    return index;
  }

  void AddFleet(int count) {
    for (int i = 0; i < count; ++i) {
      const std::string number = std::to_string(i);
      Add("d" + number, 1, "10.0.0." + number + ":4000", i == 0 ? "" : "10.0.0.0:4000");
    }
  }

  void Give(int index, const Membership::Event& event) {
    Process& process = m_processes[static_cast<std::size_t>(index)];
    if (!process.running) return;
    if (process.paused) {
      process.held.push_back(event);
      return;
    }
    std::vector<Membership::Action> actions;
    process.membership->Handle(event, m_now, actions);
    for (Membership::Action& action : actions) Perform(index, std::move(action));
  }

  void Resume(int index) {
    At(index).paused = false;
    const std::vector<Membership::Event> held = std::move(At(index).held);
    for (const Membership::Event& event : held) Give(index, event);
  }

  void RunFor(Duration duration) {
    const TimePoint end = m_now + duration;
    while (!m_events.empty() && m_events.top().at <= end) {
      const Scheduled next = m_events.top();
      m_events.pop();
      m_now = next.at;
      next.run();
    }
    m_now = end;
  }

  Process& At(int index) { return m_processes[static_cast<std::size_t>(index)]; }
  Membership& Of(int index) { return *At(index).membership; }

  /// Datagrams for which this returns true are lost.
  std::function<bool(const std::string&, const std::string&)> lose = [](const auto&, const auto&) {
    return false;
  };

 private:
  struct Scheduled {
    TimePoint at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const Scheduled& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  void Schedule(Duration delay, std::function<void()> run) {
    m_events.push({m_now + delay, m_order++, std::move(run)});
  }

  void Perform(int index, Membership::Action action) {
    if (const auto* timer = std::get_if<Membership::SetTimer>(&action)) {
      Schedule(timer->at - m_now, [this, index] { Give(index, Membership::TimerFired{}); });
      return;
    }
    if (const auto* send = std::get_if<Membership::SendDatagram>(&action)) {
      const Parsed<std::string> bytes = m_codec.Encode(send->datagram);
      cr_assert(bytes.Ok(), "a datagram exceeds the limit");
      const std::string from = At(index).address;
      At(index).sent_bytes += bytes.Value().size() + 28;
      if (lose(from, send->address)) return;
      Schedule(std::chrono::microseconds(500),
               [this, from, to = send->address, text = bytes.Value()] {
                 const Parsed<PeerDatagram> datagram = m_codec.Decode(text);
                 cr_assert(datagram.Ok());
                 for (std::size_t i = 0; i < m_processes.size(); ++i) {
                   if (m_processes[i].address != to || !m_processes[i].running) continue;
                   Give(static_cast<int>(i), Membership::DatagramReceived{from, datagram.Value()});
                 }
               });
      return;
    }
    At(index).seen.push_back(std::move(action));
  }

  Random m_random;
  DatagramCodec m_codec;
  TimePoint m_now{};
  std::uint64_t m_order = 0;
  std::deque<Process> m_processes;
  std::priority_queue<Scheduled> m_events;
};

template <typename Wanted>
int CountOf(const Network::Process& process) {
  int count = 0;
  for (const Membership::Action& action : process.seen) {
    if (std::holds_alternative<Wanted>(action)) ++count;
  }
  return count;
}

}  // namespace

Test(membership, all_daemons_learn_all_members) {
  Network network(kSeed);
  network.AddFleet(20);
  network.RunFor(std::chrono::seconds(20));
  for (int i = 0; i < 20; ++i) cr_assert_eq(network.Of(i).ReachableCount(), 20u, "seed %lu", kSeed);
}

// Guards against a failed daemon that stays in lookup answers.
Test(membership, crashed_member_fails_everywhere) {
  Network network(kSeed);
  network.AddFleet(10);
  network.RunFor(std::chrono::seconds(15));
  network.At(3).running = false;
  network.RunFor(std::chrono::seconds(20));
  for (int i = 0; i < 10; ++i) {
    if (i == 3) continue;
    cr_assert_not(network.Of(i).Reaches({"d3", 1}));
    cr_assert_eq(network.Of(i).KnownCount(), 10u, "unconfirmed failure leaves the count");
  }
}

// Guards against a paused process that blames others when it returns, and against one that others
// keep out although it runs again.
Test(membership, paused_process_returns_with_a_higher_epoch) {
  Network network(kSeed);
  network.AddFleet(8);
  network.RunFor(std::chrono::seconds(15));
  network.At(2).paused = true;
  network.RunFor(std::chrono::seconds(60));
  cr_assert_not(network.Of(0).Reaches({"d2", 1}));
  network.Resume(2);
  network.RunFor(std::chrono::seconds(20));
  for (int i = 0; i < 8; ++i) {
    cr_assert_eq(network.Of(i).ReachableCount(), 8u, "daemon %d, seed %lu", i, kSeed);
  }
  cr_assert_gt(network.Of(2).Self().epoch, 0u);
}

// Guards against a new process that inherits the identity of the one before it on its address.
Test(membership, replacement_on_a_reused_address_is_another_process) {
  Network network(kSeed);
  network.AddFleet(6);
  network.RunFor(std::chrono::seconds(15));
  network.At(4).running = false;
  network.Add("d4", 2, "10.0.0.4:4000", "10.0.0.0:4000");
  network.RunFor(std::chrono::seconds(20));
  for (int i = 0; i < 4; ++i) {
    cr_assert_not(network.Of(i).Reaches({"d4", 1}));
    cr_assert(network.Of(i).Reaches({"d4", 2}), "daemon %d, seed %lu", i, kSeed);
    cr_assert(network.Of(i).IsGone({"d4", 1}));
  }
}

// Guards against a paused process that serves on although its instance was given to another.
Test(membership, returning_predecessor_learns_that_it_was_superseded) {
  Network network(kSeed);
  network.AddFleet(6);
  network.RunFor(std::chrono::seconds(15));
  network.At(4).paused = true;
  network.RunFor(std::chrono::seconds(10));
  network.At(4).address = "10.0.0.99:4000";
  network.Add("d4", 2, "10.0.0.4:4000", "10.0.0.0:4000");
  network.RunFor(std::chrono::seconds(20));
  network.Resume(4);
  network.RunFor(std::chrono::seconds(10));
  cr_assert(network.Of(4).IsSuperseded());
  cr_assert_eq(CountOf<Membership::Superseded>(network.At(4)), 1);
}

// Guards against counting a daemon that left, or that the platform removed, in a majority; and
// against dropping a new daemon because the list lags.
Test(membership, count_shrinks_only_on_announcement_or_confirmation) {
  Network network(kSeed);
  network.AddFleet(5);
  network.RunFor(std::chrono::seconds(15));
  network.Give(1, Membership::Leave{false});
  network.Give(1, Membership::Leave{true});
  network.RunFor(std::chrono::seconds(10));
  cr_assert(network.Of(0).IsGone({"d1", 1}));
  cr_assert_eq(network.Of(0).KnownCount(), 4u);
  network.At(2).running = false;
  network.At(3).running = false;
  network.RunFor(std::chrono::seconds(20));
  cr_assert_eq(network.Of(0).KnownCount(), 4u);
  network.Give(0, Membership::InstanceListRead{{{"d0", "", false}, {"d2", "", false}}});
  network.Give(0, Membership::InstanceListRead{{{"d0", "", false}}});
  cr_assert_eq(network.Of(0).KnownCount(), 4u, "one list without d2 is no confirmation");
  network.Give(0, Membership::InstanceListRead{{{"d0", "", false}}});
  cr_assert(network.Of(0).IsGone({"d2", 1}));
  cr_assert_not(network.Of(0).IsGone({"d3", 1}), "d3 was never listed");
}

// Guards against a message storm while a fleet is parted and when it joins again, and against
// sides that do not find each other.
Test(membership, partition_costs_no_more_than_normal_operation) {
  Network network(kSeed);
  network.AddFleet(40);
  network.RunFor(std::chrono::seconds(60));
  std::size_t before = 0;
  const auto sent = [&network] {
    std::size_t bytes = 0;
    for (int i = 0; i < 40; ++i) bytes += network.At(i).sent_bytes;
    return bytes;
  };
  const auto is_left = [](const std::string& address) { return address.size() == 13; };
  network.lose = [&](const std::string& a, const std::string& b) {
    return is_left(a) != is_left(b);
  };
  before = sent();
  network.RunFor(std::chrono::seconds(30));
  cr_assert_lt((sent() - before) / 30 / 40, 3000u, "bytes per second and daemon when parting");
  network.RunFor(std::chrono::hours(1));
  network.lose = [](const std::string&, const std::string&) { return false; };
  before = sent();
  network.RunFor(std::chrono::seconds(60));
  cr_assert_lt((sent() - before) / 60 / 40, 3000u, "bytes per second and daemon when joining");
  for (int i = 0; i < 40; ++i) {
    cr_assert_eq(network.Of(i).ReachableCount(), 40u, "daemon %d, seed %lu", i, kSeed);
  }
}

// Guards against a notice that misses a daemon which was away when it was published.
Test(membership, notices_reach_present_and_returning_daemons) {
  Network network(kSeed);
  network.AddFleet(12);
  network.RunFor(std::chrono::seconds(15));
  network.At(5).paused = true;
  network.RunFor(std::chrono::seconds(10));
  network.Give(0, Membership::PublishGossip{{GossipTopic::kVersionBad, "assistant/v2", 1, "x"}});
  network.RunFor(std::chrono::seconds(60));
  for (int i = 1; i < 12; ++i) {
    if (i != 5) cr_assert_eq(CountOf<Membership::GossipReceived>(network.At(i)), 1, "daemon %d", i);
  }
  network.Resume(5);
  network.RunFor(std::chrono::seconds(3));
  cr_assert(network.Of(5).HasFullList());
  cr_assert_eq(CountOf<Membership::GossipReceived>(network.At(5)), 1, "seed %lu", kSeed);
}
