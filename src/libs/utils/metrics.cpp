#include "utils/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <mutex>
#include <utility>

namespace fulmarpoint {

namespace {

constexpr std::size_t kMaxLabelValues = 64;
const char kOverflowLabelValue[] = "other";
const char kPrefix[] = "fulmarpoint_";

/// The metrics of one name, by the value of their label `kind`.
template <typename Metric>
struct LabelledMetrics {
  prometheus::Family<Metric>* family = nullptr;
  std::map<std::string, Metric*, std::less<>> metrics;
};

template <typename Metric>
using MetricsByName = std::map<std::string, LabelledMetrics<Metric>, std::less<>>;

const prometheus::Histogram::BucketBoundaries kBucketBoundsSeconds = {
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.46, 0.7, 1, 1.5, 2, 3, 5, 10, 30, 120};

template <typename Metric>
prometheus::Family<Metric>& Register(prometheus::Registry& registry, const std::string& name) {
  const std::string full_name = kPrefix + name;
  if constexpr (std::is_same_v<Metric, prometheus::Counter>) {
    return prometheus::BuildCounter().Name(full_name + "_total").Help(name).Register(registry);
  } else if constexpr (std::is_same_v<Metric, prometheus::Gauge>) {
    return prometheus::BuildGauge().Name(full_name).Help(name).Register(registry);
  } else {
    return prometheus::BuildHistogram().Name(full_name + "_seconds").Help(name).Register(registry);
  }
}

template <typename Metric>
Metric& Add(prometheus::Family<Metric>& family, const std::string& kind) {
  const prometheus::Labels labels =
      kind.empty() ? prometheus::Labels() : prometheus::Labels{{"kind", kind}};
  if constexpr (std::is_same_v<Metric, prometheus::Histogram>) {
    return family.Add(labels, kBucketBoundsSeconds);
  } else {
    return family.Add(labels);
  }
}

template <typename Metric>
Metric& Find(prometheus::Registry& registry, MetricsByName<Metric>& names, std::string_view name,
             std::string_view kind) {
  auto found = names.find(name);
  if (found == names.end()) {
    found = names.emplace(std::string(name), LabelledMetrics<Metric>()).first;
    found->second.family = &Register<Metric>(registry, found->first);
  }
  LabelledMetrics<Metric>& labelled = found->second;
  auto metric = labelled.metrics.find(kind);
  if (metric == labelled.metrics.end()) {
    std::string value(labelled.metrics.size() < kMaxLabelValues ? kind : kOverflowLabelValue);
    Metric& added = Add<Metric>(*labelled.family, value);
    metric = labelled.metrics.emplace(std::move(value), &added).first;
  }
  return *metric->second;
}

}  // namespace

struct Metrics::State {
  prometheus::Registry registry;
  std::mutex mutex;
  MetricsByName<prometheus::Counter> counters;
  MetricsByName<prometheus::Gauge> gauges;
  MetricsByName<prometheus::Histogram> histograms;
};

Metrics::Metrics() : m_state(std::make_unique<State>()) {}

Metrics::~Metrics() = default;

void Metrics::Count(std::string_view name, std::string_view kind, std::uint64_t amount) {
  const std::lock_guard<std::mutex> lock(m_state->mutex);
  Find(m_state->registry, m_state->counters, name, kind).Increment(static_cast<double>(amount));
}

void Metrics::SetGauge(std::string_view name, std::string_view kind, double value) {
  const std::lock_guard<std::mutex> lock(m_state->mutex);
  Find(m_state->registry, m_state->gauges, name, kind).Set(value);
}

void Metrics::Observe(std::string_view name, std::string_view kind, Duration duration) {
  const std::lock_guard<std::mutex> lock(m_state->mutex);
  Find(m_state->registry, m_state->histograms, name, kind)
      .Observe(std::chrono::duration<double>(duration).count());
}

std::string Metrics::Text() const {
  std::string text = prometheus::TextSerializer().Serialize(m_state->registry.Collect());
  text += "# TYPE fulmarpoint_tokens_total counter\nfulmarpoint_tokens_total " +
          std::to_string(m_tokens.load(std::memory_order_relaxed)) + "\n";
  return text;
}

}  // namespace fulmarpoint
