#include "coordination/rollout_orders.h"

#include <algorithm>
#include <utility>

namespace fulmarpoint {

void RolloutOrders::OnRow(const TableWatcher::Change& change,
                          const std::optional<RolloutOrder>& order, TimePoint now,
                          std::vector<Action>& actions) {
  Entry& entry = m_entries[change.row.key];
  const std::uint64_t row_version = change.row.version;
  if (change.provisional) {
    entry.rewrite_until = change.until;
    entry.pending = Pending{std::nullopt, row_version, change.until};
    return;
  }
  entry.pending.reset();
  const bool says_the_same = order && entry.order == order;
  if (change.restored && order) {
    entry.rewrite_until = now + kRewriteTime;
    if (!says_the_same) entry.pending = Pending{order, row_version, *entry.rewrite_until};
    return;
  }
  const std::optional<TimePoint> rewrite_until = std::exchange(entry.rewrite_until, std::nullopt);
  const bool is_rewritten = rewrite_until && now < *rewrite_until;
  if (says_the_same && (is_rewritten || row_version == entry.row_version)) return;
  Apply(entry, order, row_version, actions);
}

void RolloutOrders::Tick(TimePoint now, std::vector<Action>& actions) {
  for (auto& [key, entry] : m_entries) {
    if (!entry.pending || now < entry.pending->due) continue;
    const Pending pending = *std::exchange(entry.pending, std::nullopt);
    Apply(entry, pending.order, pending.row_version, actions);
  }
}

bool RolloutOrders::HasPending() const {
  return std::any_of(m_entries.begin(), m_entries.end(),
                     [](const auto& item) { return item.second.pending.has_value(); });
}

void RolloutOrders::Apply(Entry& entry, const std::optional<RolloutOrder>& order,
                          std::uint64_t row_version, std::vector<Action>& actions) {
  const bool is_service_dropped = entry.order && (!order || order->service != entry.order->service);
  if (is_service_dropped) actions.emplace_back(Withdrawn{entry.order->service});
  entry.order = order;
  entry.row_version = row_version;
  if (order) actions.emplace_back(Ordered{*order, row_version});
}

}  // namespace fulmarpoint
