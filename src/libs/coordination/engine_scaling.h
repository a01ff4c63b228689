#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "utils/time.h"

namespace fulmarpoint {

/// Decides how many engines of one service each failure domain needs. Follows the demand upwards at
/// once and downwards slowly, and leaves enough engines for the loss of a failure domain. Not
/// thread-safe.
class EngineScaling {
 public:
  /// What the operator allows, and what an engine can do.
  struct Limits {
    /// In each failure domain.
    int min_engines = 0;
    int max_engines = 0;
    /// Time from an order until new engines serve.
    Duration boot_time = std::chrono::seconds(8);
    /// Requests at once, and tokens of KV cache, of one engine.
    int slots = 1;
    std::int64_t kv_cache_tokens = 0;

    bool operator==(const Limits&) const = default;
  };
  /// Load of the fleet on the service.
  struct Demand {
    /// When the oldest of the figures was measured.
    TimePoint measured_at{};
    /// Share of the listed daemons whose figures are included.
    double coverage = 0.0;
    double requests = 0.0;
    double kv_cache_tokens = 0.0;
    double prompt_tokens_per_second = 0.0;
    /// Time of an engine for one prompt token; zero if unknown.
    std::chrono::nanoseconds token_time{};
    double waiting = 0.0;
    /// Share of the recent first events that were later than the objective.
    double late_share = 0.0;
  };
  /// A number of engines for a failure domain, and why.
  struct Order {
    std::string failure_domain;
    int desired = 0;
    std::string reason;
  };

  explicit EngineScaling(Limits limits) : m_limits(limits) {}

  void SetLimits(const Limits& limits) { m_limits = limits; }
  void Observe(const Demand& demand, TimePoint now);
  /// Returns the orders that differ from the numbers ordered before. `engines` are the engines that
  /// the store lists and that are not draining, by failure domain; a failure domain without engines
  /// must be listed with 0.
  std::vector<Order> Decide(const std::map<std::string, int>& engines, TimePoint now);
  /// Forgets what was ordered, because another daemon may have ordered since.
  void ForgetOrders();
  /// Returns the number of engines that the demand needs in all `failure_domains` together, the
  /// limits left out; nothing if it is unknown.
  std::optional<int> NeededEngines(std::size_t failure_domains, TimePoint now) const;

 private:
  struct Sample {
    TimePoint at{};
    double busy_engines = 0.0;
  };
  struct Ordered {
    int engines = 0;
    TimePoint at{};
  };

  void ObserveTokenTime(double seconds, Duration elapsed);
  bool IsCurrent(TimePoint now) const;
  Duration Past() const;
  double BusyEngines(const Demand& demand) const;
  std::optional<double> PeakOfPast(TimePoint now) const;
  bool MayShrink(const std::string& domain, bool may_shrink, TimePoint now) const;
  bool IsOrderDue(const std::string& domain, int listed, TimePoint now) const;

  Limits m_limits;
  std::optional<Demand> m_latest;
  /// Demand of the past that counts, oldest first.
  std::deque<Sample> m_history;
  TimePoint m_observed_since{};
  TimePoint m_observed_at{};
  /// Mean of the prompt tokens per second, and time of an engine for one of them in seconds.
  double m_token_rate = 0.0;
  double m_token_seconds = 0.0;
  std::map<std::string, Ordered> m_ordered;
};

}  // namespace fulmarpoint
