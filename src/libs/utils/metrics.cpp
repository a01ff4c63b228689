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

constexpr std::size_t kMaxKinds = 64;
const char kOther[] = "other";
const char kPrefix[] = "fulmarpoint_";

/// The metrics of one name, by the value of their label `kind`.
template <typename Metric>
struct Kinds {
  prometheus::Family<Metric>* family = nullptr;
  std::map<std::string, Metric*, std::less<>> metrics;
};

template <typename Metric>
using Names = std::map<std::string, Kinds<Metric>, std::less<>>;

const prometheus::Histogram::BucketBoundaries kSeconds = {
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.46, 0.7, 1, 1.5, 2, 3, 5, 10, 30, 120};

template <typename Metric>
prometheus::Family<Metric>& Register(prometheus::Registry& registry, const std::string& name) {
  const std::string full = kPrefix + name;
  if constexpr (std::is_same_v<Metric, prometheus::Counter>) {
    return prometheus::BuildCounter().Name(full + "_total").Help(name).Register(registry);
  } else if constexpr (std::is_same_v<Metric, prometheus::Gauge>) {
    return prometheus::BuildGauge().Name(full).Help(name).Register(registry);
  } else {
    return prometheus::BuildHistogram().Name(full + "_seconds").Help(name).Register(registry);
  }
}

template <typename Metric>
Metric& Add(prometheus::Family<Metric>& family, const std::string& kind) {
  const prometheus::Labels labels =
      kind.empty() ? prometheus::Labels() : prometheus::Labels{{"kind", kind}};
  if constexpr (std::is_same_v<Metric, prometheus::Histogram>) {
    return family.Add(labels, kSeconds);
  } else {
    return family.Add(labels);
  }
}

template <typename Metric>
Metric& Find(prometheus::Registry& registry, Names<Metric>& names, std::string_view name,
             std::string_view kind) {
  auto found = names.find(name);
  if (found == names.end()) {
    found = names.emplace(std::string(name), Kinds<Metric>()).first;
    found->second.family = &Register<Metric>(registry, found->first);
  }
  Kinds<Metric>& kinds = found->second;
  auto metric = kinds.metrics.find(kind);
  if (metric == kinds.metrics.end()) {
    std::string value(kinds.metrics.size() < kMaxKinds ? kind : kOther);
    Metric& added = Add<Metric>(*kinds.family, value);
    metric = kinds.metrics.emplace(std::move(value), &added).first;
  }
  return *metric->second;
}

}  // namespace

struct Metrics::State {
  prometheus::Registry registry;
  std::mutex mutex;
  Names<prometheus::Counter> counters;
  Names<prometheus::Gauge> gauges;
  Names<prometheus::Histogram> histograms;
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
