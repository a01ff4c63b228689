#pragma once

#include <cstddef>
#include <vector>

#include "utils/time.h"

namespace fulmarpoint {

/// Estimates how long work takes at one endpoint relative to the usual time, from what the endpoint
/// reports in its replies: 1 is usual, below 1 is fast. Distinguishes the lasting factor of the
/// machine from disturbances that last for some hundred milliseconds. Not thread-safe.
class EnginePace {
 public:
  /// The endpoint stated `pace` at `at`. A pace that no machine can have is ignored, and so is a
  /// report older than the latest.
  void OnReport(double pace, TimePoint at);

  /// Returns whether a report has been accepted. Without one, all factors are 1.
  bool HasReport() const { return !m_samples.empty(); }
  /// Returns when the latest report was made. Precondition: `HasReport()`.
  TimePoint ReportedAt() const { return m_reported_at; }
  /// Returns the pace of the latest report, or 1.
  double Reported() const { return m_reported; }
  /// Returns the lasting factor: the median of the latest reports. It approaches 1 when there are
  /// no further reports.
  double Base(TimePoint now) const;
  /// Returns the factor at `now`, which changes from that of the latest report to the base.
  double Current(TimePoint now) const;
  /// Returns the mean factor for work that starts at `now` and takes about `duration`.
  double ExpectedOver(Duration duration, TimePoint now) const;

 private:
  void AddSample(double pace, TimePoint at);

  /// Spaced by a minimum time, so that a disturbance in which many requests end does not displace
  /// what was reported before it.
  std::vector<double> m_samples;
  TimePoint m_sampled_at{};
  double m_median = 1.0;
  double m_reported = 1.0;
  TimePoint m_reported_at{};
};

}  // namespace fulmarpoint
