#include <criterion/criterion.h>

#include <deque>

#include "server/credit_driver.h"

using namespace fulmarpoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Daemons whose drivers call each other directly, under virtual time.
struct Fleet {
  struct Daemon {
    InstanceId id;
    CreditTable table;
    std::unique_ptr<CreditDriver> driver;
    int waiting = 0;
    bool reachable = true;

    explicit Daemon(const InstanceId& self) : id(self), table(self) {}
  };
  TimePoint now = TimePoint(seconds(1000));
  std::vector<CreditEndpoint> endpoints;
  std::vector<std::string> listed;
  std::deque<Daemon> daemons;

  explicit Fleet(int count) {
    for (int index = 0; index < 4; ++index) {
      endpoints.push_back({"engine-" + std::to_string(index), {"drafts"}, 16, 0, 0});
    }
    for (int index = 0; index < count; ++index) Add("daemon-" + std::to_string(index));
    for (Daemon& daemon : daemons) {
      for (const Daemon& other : daemons) daemon.driver->OnMember(Update(other.id));
    }
  }
  static MemberUpdate Update(const InstanceId& id, MemberState state = MemberState::kAlive) {
    MemberUpdate update;
    update.id = id;
    update.state = state;
    update.address = id.name;
    return update;
  }
  void Add(const std::string& name) {
    listed.push_back(name);
    Daemon& daemon = daemons.emplace_back(InstanceId{name, 1});
    CreditDriver::Sources sources;
    sources.endpoints = [this] { return endpoints; };
    sources.listed_daemons = [this] { return listed; };
    sources.waiting = [&daemon](const ServiceName&) { return daemon.waiting; };
    sources.now = [this] { return now; };
    sources.send_request = [this, &daemon](const std::string& address, std::string body,
                                           const std::function<void(std::string_view)>& answer) {
      for (Daemon& other : daemons) {
        if (other.id.name != address || !other.reachable || !daemon.reachable) continue;
        const std::string reply = other.driver->Answer(body);
        if (!reply.empty()) answer(reply);
      }
    };
    daemon.driver = std::make_unique<CreditDriver>(daemon.id, daemon.table, std::move(sources));
  }
  void Advance(Duration duration) {
    for (const TimePoint end = now + duration; now < end;) {
      now += milliseconds(250);
      for (Daemon& daemon : daemons) daemon.driver->Tick();
    }
  }
  int Slots() {
    int slots = 0;
    for (Daemon& daemon : daemons) slots += daemon.table.Slots("drafts", now);
    return slots;
  }
};

}  // namespace

// Guards against a single daemon that rejects work for its first 5 s although no other daemon can
// have granted credits.
Test(credit_driver, daemon_that_is_alone_has_credits_at_once) {
  Fleet fleet(1);
  fleet.daemons[0].waiting = 10;
  fleet.Advance(milliseconds(500));
  cr_assert_geq(fleet.Slots(), 10);
}

// Guards against daemons that together hold more credits than there are slots, or can't use all
// slots.
Test(credit_driver, waiting_daemons_share_all_slots_and_no_more) {
  Fleet fleet(3);
  for (Fleet::Daemon& daemon : fleet.daemons) daemon.waiting = 100;
  fleet.Advance(seconds(2));
  cr_assert_eq(fleet.Slots(), 0, "a predecessor may have granted the slots");
  for (int second = 0; second < 20; ++second) {
    fleet.Advance(seconds(1));
    cr_assert_leq(fleet.Slots(), 64);
  }
  cr_assert_eq(fleet.Slots(), 64);
  for (Fleet::Daemon& daemon : fleet.daemons) {
    const int slots = daemon.table.Slots("drafts", fleet.now);
    cr_assert(slots >= 16 && slots <= 27, "%s has %d", daemon.id.name.c_str(), slots);
  }
}

// Guards against credits of a failed daemon that two owners grant, or that are never granted again.
Test(credit_driver, slots_of_a_failed_daemon_return) {
  Fleet fleet(3);
  for (Fleet::Daemon& daemon : fleet.daemons) daemon.waiting = 100;
  fleet.Advance(seconds(20));
  Fleet::Daemon& failed = fleet.daemons[2];
  failed.reachable = false;
  for (Fleet::Daemon& daemon : fleet.daemons) {
    daemon.driver->OnMember(Fleet::Update(failed.id, MemberState::kFailed));
  }
  for (int second = 0; second < 20; ++second) {
    fleet.Advance(seconds(1));
    int others = 0;
    for (int index = 0; index < 2; ++index) {
      others += fleet.daemons[index].table.Slots("drafts", fleet.now);
    }
    cr_assert_leq(others, 40, "two of three known daemons use two thirds: 10 of 16 at each");
  }
  fleet.listed.pop_back();
  fleet.Advance(seconds(20));
  int others = 0;
  for (int index = 0; index < 2; ++index) {
    others += fleet.daemons[index].table.Slots("drafts", fleet.now);
  }
  cr_assert_eq(others, 64, "the list confirms that the daemon is gone");
}

Test(credit_driver, malformed_requests_are_not_answered) {
  Fleet fleet(1);
  cr_assert_eq(fleet.daemons[0].driver->Answer("x"), "");
  cr_assert_eq(fleet.daemons[0].driver->Answer(""), "");
}
