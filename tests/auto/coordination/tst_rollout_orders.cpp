#include <criterion/criterion.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "coordination/rollout_orders.h"

using namespace fulmarpoint;

namespace {

const RolloutOrder kOrder{"orders", "v2", std::chrono::seconds(16)};
const RolloutOrder kOtherOrder{"orders", "v3", std::chrono::seconds(16)};
const RolloutOrder kLongerOrder{"orders", "v2", std::chrono::seconds(20)};
constexpr Duration kRewriteTime = RolloutOrders::kRewriteTime;
constexpr Duration kShortTime = std::chrono::milliseconds(100);

/// Feeds rows to the orders and prints the actions.
struct Fixture {
  std::string Row(std::uint64_t version, const std::optional<RolloutOrder>& order,
                  bool restored = false) {
    TableWatcher::Change change;
    change.row.key = "rollout/orders";
    change.row.version = version;
    change.row.removed = !order;
    change.restored = restored;
    return Send(change, order);
  }

  std::string Restored(std::uint64_t version, const RolloutOrder& order) {
    return Row(version, order, true);
  }

  std::string LostByCopy(std::uint64_t version) {
    TableWatcher::Change change;
    change.row.key = "rollout/orders";
    change.row.version = version;
    change.row.removed = true;
    change.restored = true;
    change.provisional = true;
    change.until = now + kRewriteTime;
    return Send(change, std::nullopt);
  }

  std::string Send(const TableWatcher::Change& change, const std::optional<RolloutOrder>& order) {
    std::vector<RolloutOrders::Action> actions;
    orders.OnRow(change, order, now, actions);
    return Print(actions);
  }

  std::string Wait(Duration time) {
    now += time;
    std::vector<RolloutOrders::Action> actions;
    orders.Tick(now, actions);
    return Print(actions);
  }

  static std::string Print(const std::vector<RolloutOrders::Action>& actions) {
    std::string text;
    for (const RolloutOrders::Action& action : actions) {
      if (const auto* ordered = std::get_if<RolloutOrders::Ordered>(&action)) {
        text += ordered->order.new_version + "@" + std::to_string(ordered->row_version) + " ";
      } else {
        text += "-" + std::get<RolloutOrders::Withdrawn>(action).service + " ";
      }
    }
    return text;
  }

  RolloutOrders orders;
  TimePoint now{std::chrono::seconds(1)};
};

void Expect(const std::string& seen, const std::string& expected) {
  cr_assert_eq(seen, expected, "'%s' instead of '%s'", seen.c_str(), expected.c_str());
}

}  // namespace

Test(rollout_orders, each_version_of_a_row_is_a_new_order) {
  Fixture fixture;
  Expect(fixture.Row(5, kOrder), "v2@5 ");
  Expect(fixture.Row(5, kOrder), "");
  Expect(fixture.Row(6, kOrder), "v2@6 ");
  Expect(fixture.Row(7, kOtherOrder), "v3@7 ");
  Expect(fixture.Row(8, std::nullopt), "-orders ");
  Expect(fixture.Row(9, kOrder), "v2@9 ");
}

Test(rollout_orders, an_order_written_again_after_a_restore_is_the_same) {
  Fixture fixture;
  Expect(fixture.Row(10, kOrder), "v2@10 ");
  Expect(fixture.LostByCopy(4), "");
  Expect(fixture.Wait(kShortTime), "");
  Expect(fixture.Row(6, kOrder), "");
  Expect(fixture.Wait(2 * kRewriteTime), "");
  cr_assert_not(fixture.orders.HasPending());
  Expect(fixture.Row(7, kOrder), "v2@7 ");
}

Test(rollout_orders, an_order_read_with_another_version_after_a_restore_is_the_same) {
  Fixture fixture;
  Expect(fixture.Row(10, kOrder), "v2@10 ");
  Expect(fixture.Restored(6, kOrder), "");
  Expect(fixture.Wait(2 * kRewriteTime), "");
  Expect(fixture.Row(7, kOrder), "v2@7 ");
}

Test(rollout_orders, an_older_order_in_the_copy_does_not_replace_the_latest) {
  Fixture fixture;
  Expect(fixture.Row(10, kOrder), "v2@10 ");
  Expect(fixture.Row(11, kOtherOrder), "v3@11 ");
  Expect(fixture.Restored(10, kOrder), "");
  Expect(fixture.Wait(kShortTime), "");
  Expect(fixture.Row(11, kOtherOrder), "");
  Expect(fixture.Wait(2 * kRewriteTime), "");
}

Test(rollout_orders, a_withdrawn_order_in_the_copy_does_not_start_again) {
  Fixture fixture;
  Expect(fixture.Row(10, kOrder), "v2@10 ");
  Expect(fixture.Row(11, std::nullopt), "-orders ");
  Expect(fixture.Restored(10, kOrder), "");
  Expect(fixture.Wait(kShortTime), "");
  Expect(fixture.Row(12, std::nullopt), "");
  Expect(fixture.Wait(2 * kRewriteTime), "");
}

Test(rollout_orders, what_the_operator_does_not_write_again_takes_effect) {
  Fixture fixture;
  Expect(fixture.Row(10, kOrder), "v2@10 ");
  Expect(fixture.Restored(5, kOtherOrder), "");
  Expect(fixture.Wait(kRewriteTime), "v3@5 ");
  Expect(fixture.LostByCopy(4), "");
  Expect(fixture.Wait(kRewriteTime), "-orders ");
}

Test(rollout_orders, another_order_after_a_restore_is_new) {
  Fixture fixture;
  Expect(fixture.Row(10, kOrder), "v2@10 ");
  Expect(fixture.LostByCopy(4), "");
  Expect(fixture.Row(10, kLongerOrder), "v2@10 ");
}
