#include "coordination/engine_pace.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace fulmarpoint {

namespace {

// A report beyond these says more about the reporting than about the machine, and is ignored.
constexpr double kMinPlausiblePace = 0.05;
constexpr double kMaxPlausiblePace = 20.0;
// Plausible but extreme reports are limited to these, so that an engine that states a wrong pace
// still gets work, and not all of it.
constexpr double kMinPace = 0.4;
constexpr double kMaxPace = 4.0;
// Together a period several times as long as a disturbance, so that the median is undisturbed.
constexpr std::size_t kMaxSamples = 15;
constexpr Duration kSampleSpacing = std::chrono::milliseconds(200);
constexpr Duration kDisturbanceDecay = std::chrono::milliseconds(400);
// The base is kept for this time after the latest report, and approaches 1 after that: an engine
// that gets no requests because it seems slow must get some again, or it can't report otherwise.
constexpr Duration kBaseLifetime = std::chrono::seconds(5);
constexpr Duration kBaseDecay = std::chrono::seconds(5);

double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

/// Returns the fraction that is left after `age` of a quantity that decays exponentially.
double FractionLeft(Duration age, Duration time_constant) {
  return std::exp(-Seconds(std::max(age, Duration::zero())) / Seconds(time_constant));
}

double Median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  const std::size_t middle = values.size() / 2;
  if (values.size() % 2 == 1) return values[middle];
  return (values[middle - 1] + values[middle]) / 2.0;
}

}  // namespace

void EnginePace::OnReport(double pace, TimePoint at) {
  // Also false if `pace` is not a number.
  const bool is_plausible = pace >= kMinPlausiblePace && pace <= kMaxPlausiblePace;
  if (!is_plausible || (HasReport() && at < m_reported_at)) return;
  m_reported = std::clamp(pace, kMinPace, kMaxPace);
  if (!HasReport() || at - m_sampled_at >= kSampleSpacing) AddSample(m_reported, at);
  m_reported_at = at;
}

void EnginePace::AddSample(double pace, TimePoint at) {
  m_samples.push_back(pace);
  if (m_samples.size() > kMaxSamples) m_samples.erase(m_samples.begin());
  m_sampled_at = at;
  std::vector<double> values = m_samples;
  // A single report may come from a disturbance, so it has only half the weight.
  if (values.size() == 1) values.push_back(1.0);
  m_median = Median(std::move(values));
}

double EnginePace::Base(TimePoint now) const {
  if (!HasReport()) return 1.0;
  return 1.0 + (m_median - 1.0) * FractionLeft(now - m_reported_at - kBaseLifetime, kBaseDecay);
}

double EnginePace::Current(TimePoint now) const {
  const double base = Base(now);
  if (!HasReport()) return base;
  return base + (m_reported - base) * FractionLeft(now - m_reported_at, kDisturbanceDecay);
}

double EnginePace::ExpectedOver(Duration duration, TimePoint now) const {
  const double current = Current(now);
  if (duration <= Duration::zero()) return current;
  const double base = Base(now);
  const double time_constants = Seconds(duration) / Seconds(kDisturbanceDecay);
  return base + (current - base) * (1.0 - std::exp(-time_constants)) / time_constants;
}

}  // namespace fulmarpoint
