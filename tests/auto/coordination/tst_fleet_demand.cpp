#include <criterion/criterion.h>

#include <cstdint>
#include <set>
#include <string>

#include "coordination/fleet_demand.h"

using namespace fulmarpoint;

namespace {

const ServiceName kService = "huvo11a";
const std::set<std::string> kDaemons = {"a", "b"};
constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr Duration kSecond = std::chrono::seconds(1);

DutyPollReply ReplyOf(const std::string& daemon, const ServiceLoad& load,
                      std::uint64_t incarnation = 1) {
  DutyPollReply reply;
  reply.daemon = daemon;
  reply.incarnation = incarnation;
  reply.loads.push_back(load);
  return reply;
}

ServiceLoad LoadOf(std::uint32_t requests, std::uint64_t prompt_tokens = 0) {
  ServiceLoad load;
  load.service = kService;
  load.requests = requests;
  load.prompt_tokens = prompt_tokens;
  return load;
}

}  // namespace

// Guards against an order that is based on the load of one daemon.
Test(fleet_demand, loads_of_all_daemons_are_added) {
  FleetDemand demand;
  demand.OnReply(ReplyOf("a", LoadOf(3)), kStart);
  demand.OnReply(ReplyOf("b", LoadOf(4)), kStart + kSecond);
  const EngineScaling::Demand sum = demand.DemandFor(kService, kDaemons, kStart + kSecond);
  cr_assert_float_eq(sum.requests, 7.0, 1e-9);
  cr_assert_float_eq(sum.coverage, 1.0, 1e-9);
  cr_assert_eq(sum.measured_at, kStart, "the oldest figure counts");
}

// Guards against the load of a silent daemon that counts for ever.
Test(fleet_demand, old_replies_lower_the_coverage) {
  FleetDemand demand;
  demand.OnReply(ReplyOf("a", LoadOf(3)), kStart);
  demand.OnReply(ReplyOf("b", LoadOf(4)), kStart + 3 * kSecond);
  const EngineScaling::Demand sum = demand.DemandFor(kService, kDaemons, kStart + 3 * kSecond);
  cr_assert_float_eq(sum.coverage, 0.5, 1e-9);
  cr_assert_float_eq(sum.requests, 4.0, 1e-9);
}

// Guards against a reply that was overtaken and replaces a newer one.
Test(fleet_demand, an_overtaken_reply_is_ignored) {
  FleetDemand demand;
  demand.OnReply(ReplyOf("a", LoadOf(3)), kStart + kSecond);
  demand.OnReply(ReplyOf("a", LoadOf(9)), kStart);
  cr_assert_float_eq(demand.DemandFor(kService, {"a"}, kStart + kSecond).requests, 3.0, 1e-9);
}

// Guards against a rate that depends on how often daemons are polled.
Test(fleet_demand, rates_are_per_second) {
  FleetDemand demand;
  demand.OnReply(ReplyOf("a", LoadOf(1, 1000)), kStart);
  demand.OnReply(ReplyOf("a", LoadOf(1, 5000)), kStart + 2 * kSecond);
  const EngineScaling::Demand sum = demand.DemandFor(kService, {"a"}, kStart + 2 * kSecond);
  cr_assert_float_eq(sum.prompt_tokens_per_second, 2000.0, 1e-6);
}

// Guards against a huge rate after a restart, when counters begin at zero again.
Test(fleet_demand, counters_of_different_processes_are_not_compared) {
  FleetDemand demand;
  demand.OnReply(ReplyOf("a", LoadOf(1, 5000), 1), kStart);
  demand.OnReply(ReplyOf("a", LoadOf(1, 100), 2), kStart + kSecond);
  const EngineScaling::Demand sum = demand.DemandFor(kService, {"a"}, kStart + kSecond);
  cr_assert_float_eq(sum.prompt_tokens_per_second, 0.0, 1e-9);
}

// Guards against an order of more engines because one of a few first events was late.
Test(fleet_demand, a_few_late_first_events_are_left_to_chance) {
  FleetDemand demand;
  ServiceLoad load = LoadOf(1);
  demand.OnReply(ReplyOf("a", load), kStart);
  load.first_events = 19;
  load.late_first_events = 19;
  demand.OnReply(ReplyOf("a", load), kStart + kSecond);
  cr_assert_float_eq(demand.DemandFor(kService, {"a"}, kStart + kSecond).late_share, 0.0, 1e-9);
  load.first_events = 59;
  load.late_first_events = 29;
  demand.OnReply(ReplyOf("a", load), kStart + 2 * kSecond);
  cr_assert_float_eq(demand.DemandFor(kService, {"a"}, kStart + 2 * kSecond).late_share, 0.25,
                     1e-9);
}

// Guards against one wrong estimate that moves the engine time of the whole fleet.
Test(fleet_demand, the_token_time_is_the_median) {
  FleetDemand demand;
  const std::set<std::string> daemons = {"a", "b", "c", "d"};
  std::uint32_t time = 100;
  for (const std::string& daemon : daemons) {
    ServiceLoad load = LoadOf(1);
    load.token_ns = daemon == "d" ? 0 : time;
    time *= 10;
    demand.OnReply(ReplyOf(daemon, load), kStart);
  }
  cr_assert_eq(demand.DemandFor(kService, daemons, kStart).token_time.count(), 1000,
               "unknown times do not count");
}

// Guards against load of daemons that have left, and against memory that grows with their names.
Test(fleet_demand, daemons_that_are_not_listed_are_forgotten) {
  FleetDemand demand;
  demand.OnReply(ReplyOf("a", LoadOf(3)), kStart);
  demand.OnReply(ReplyOf("gone", LoadOf(9)), kStart);
  cr_assert_float_eq(demand.DemandFor(kService, {"a"}, kStart).requests, 3.0, 1e-9);
  demand.Retain({"a"});
  cr_assert_float_eq(demand.DemandFor(kService, {"a", "gone"}, kStart).requests, 3.0, 1e-9);
}
