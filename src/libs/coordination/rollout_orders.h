#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "coordination/table_watcher.h"
#include "protocol/rollout_order.h"
#include "utils/time.h"

namespace fulmarpoint {

/// Derives the operator's rollout orders from the rows of the store. Each version of a row is a new
/// order, except after the store was restored from a copy: the operator then writes its orders
/// again, and a row that says the same is still the same order. Meanwhile a row that the copy lacks
/// or holds in another state changes nothing. Not thread-safe.
class RolloutOrders {
 public:
  /// The operator writes its orders again within this time after the store was restored.
  static constexpr Duration kRewriteTime = std::chrono::milliseconds(1700);

  /// A new order; it replaces an earlier one for the same service.
  struct Ordered {
    RolloutOrder order;
    /// Version of the row in which the order was first seen.
    std::uint64_t row_version = 0;
  };
  /// The operator has withdrawn its order for the service.
  struct Withdrawn {
    ServiceName service;
  };
  using Action = std::variant<Ordered, Withdrawn>;

  /// `order` is the content of the changed row; nothing if the row was removed.
  void OnRow(const TableWatcher::Change& change, const std::optional<RolloutOrder>& order,
             TimePoint now, std::vector<Action>& actions);
  /// Call several times a second while `HasPending`.
  void Tick(TimePoint now, std::vector<Action>& actions);
  /// Returns whether a change waits for the operator to write again.
  bool HasPending() const;

 private:
  /// A change that takes effect at `due` unless the operator writes again before.
  struct Pending {
    std::optional<RolloutOrder> order;
    std::uint64_t row_version = 0;
    TimePoint due{};
  };
  struct Entry {
    std::optional<RolloutOrder> order;
    std::uint64_t row_version = 0;
    std::optional<Pending> pending;
    /// Until then, a row that says the same as `order` may be that order, written again.
    std::optional<TimePoint> rewrite_until;
  };

  static void Apply(Entry& entry, const std::optional<RolloutOrder>& order,
                    std::uint64_t row_version, std::vector<Action>& actions);

  /// By key of the row.
  std::map<std::string, Entry> m_entries;
};

}  // namespace fulmarpoint
