#include <criterion/criterion.h>

#include "order_scenario.h"

using namespace fulmarpoint;

namespace {

constexpr std::uint64_t kSeed = 611;
constexpr int kPairs = 150;
constexpr std::array<FencingSupport, 2> kFencing = {FencingSupport::kIgnored,
                                                    FencingSupport::kObeyed};

std::vector<OrderInjection> AllInjections() {
  std::vector<OrderInjection> all;
  for (const EnumName<OrderFault>& fault : kOrderFaultNames) {
    for (const EnumName<OrderStep>& step : kOrderStepNames) {
      all.push_back({fault.value, step.value});
    }
  }
  return all;
}

std::string Describe(const std::vector<OrderInjection>& injections) {
  std::string text;
  for (const OrderInjection& injection : injections) {
    text += std::string(NameOf(kOrderFaultNames, injection.fault)) + " at " +
            std::string(NameOf(kOrderStepNames, injection.step)) + "; ";
  }
  return text;
}

void ExpectNoFailures(const std::vector<OrderInjection>& injections, std::uint64_t seed,
                      FencingSupport fencing) {
  const std::vector<std::string> failures = OrderCase(injections, seed, fencing).Run();
  cr_expect(failures.empty(), "seed %lu, tokens %s, %s%zu failures, the first: %s", seed,
            std::string(NameOf(kFencingSupportNames, fencing)).c_str(),
            Describe(injections).c_str(), failures.size(),
            failures.empty() ? "" : failures.front().c_str());
}

bool IsDetected(const Lease::Options& lease, const OrderController::Options& control) {
  std::vector<std::vector<OrderInjection>> cases = {{}};
  for (const OrderInjection& injection : AllInjections()) {
    cases.push_back({injection});
    cases.push_back({injection, {OrderFault::kOrdersSlow, OrderStep::kLease}});
  }
  // Some defects show only when a take-over and a late order fall together.
  for (std::uint64_t seed = kSeed; seed < kSeed + 8; ++seed) {
    for (const std::vector<OrderInjection>& injections : cases) {
      OrderCase test(injections, seed, FencingSupport::kIgnored, lease, control);
      if (!test.Run().empty()) return true;
    }
  }
  return false;
}

}  // namespace

// Guards against two holders, orders of a predecessor that follow those of its successor, two open
// orders at one engine, and a fleet that never reaches the desired state.
Test(lease_orders, every_fault_at_every_step) {
  std::uint64_t seed = kSeed;
  for (const FencingSupport fencing : kFencing) {
    ExpectNoFailures({}, seed, fencing);
    for (const OrderInjection& injection : AllInjections()) {
      ExpectNoFailures({injection}, ++seed, fencing);
    }
  }
}

Test(lease_orders, pairs_of_faults) {
  const std::vector<OrderInjection> all = AllInjections();
  Random random(kSeed);
  for (int i = 0; i < kPairs; ++i) {
    const std::vector<OrderInjection> pair = {all[random() % all.size()],
                                              all[random() % all.size()]};
    ExpectNoFailures(pair, kSeed + static_cast<std::uint64_t>(i), kFencing[random() % 2]);
  }
}

// Guards against orders for what is already there.
Test(lease_orders, one_order_for_each_missing_engine) {
  OrderCase test({}, kSeed);
  cr_assert(test.Run().empty());
  cr_assert_eq(test.OrdersReceived(), OrderCase::kWanted);
}

// The checks notice each broken rule.
Test(lease_orders, mutation_take_over_early) {
  cr_assert(IsDetected({.mutate_take_over_early = true}, {}));
}

Test(lease_orders, mutation_skip_send_check) {
  cr_assert(IsDetected({.mutate_skip_send_check = true}, {}));
}

Test(lease_orders, mutation_count_from_answer) {
  cr_assert(IsDetected({.mutate_count_from_answer = true}, {}));
}

Test(lease_orders, mutation_skip_successor_wait) {
  cr_assert(IsDetected({}, {.mutate_skip_successor_wait = true}));
}

Test(lease_orders, mutation_ignore_open_orders) {
  cr_assert(IsDetected({}, {.mutate_ignore_open_orders = true}));
}

Test(lease_orders, mutation_ignore_change_limit) {
  cr_assert(IsDetected({}, {.mutate_ignore_change_limit = true}));
}
