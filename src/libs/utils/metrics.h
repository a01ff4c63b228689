#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "utils/time.h"

namespace fulmarpoint {

/// Counters, gauges and histograms of this process. Names are given without the prefix
/// `fulmarpoint_`. Label values come from fixed tables or from the catalogue; beyond 64 values of
/// one metric, the value "other" is used, so that memory stays bounded. Thread-safe.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Adds `amount` to a counter. `kind` is the value of the label `kind`; empty for no label.
  void Count(std::string_view name, std::string_view kind = {}, std::uint64_t amount = 1);
  void SetGauge(std::string_view name, std::string_view kind, double value);
  /// Adds a duration to a histogram, which is in seconds.
  void Observe(std::string_view name, std::string_view kind, Duration duration);
  /// Counts a token delivered to a caller. Takes no lock, unlike `Count()`.
  void CountToken() { m_tokens.fetch_add(1, std::memory_order_relaxed); }

  /// Returns all metrics in the Prometheus text format.
  std::string Text() const;

 private:
  struct State;
  std::unique_ptr<State> m_state;
  std::atomic<std::uint64_t> m_tokens{0};
};

}  // namespace fulmarpoint
