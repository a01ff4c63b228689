#include "utils/log_budget.h"

#include <algorithm>
#include <numeric>

namespace fulmarpoint {

std::size_t OmittedLines::Total() const {
  return std::accumulate(by_level.begin(), by_level.end(), std::size_t{0});
}

LogBudget::LogBudget(const Limits& limits)
    : m_limits(limits),
      m_max_lines(limits.lines_per_second *
                  std::chrono::duration<double>(limits.burst_duration).count()),
      m_max_bytes(limits.bytes_per_second *
                  std::chrono::duration<double>(limits.burst_duration).count()),
      m_lines(m_max_lines),
      m_bytes(m_max_bytes) {}

bool LogBudget::Admit(LogLevel level, std::size_t bytes, TimePoint now) {
  Refill(now);
  const double reserved = level == LogLevel::kInfo ? m_limits.reserved_share : 0.0;
  const double lines_left = m_lines - 1.0;
  const double bytes_left = m_bytes - static_cast<double>(bytes);
  if (lines_left < reserved * m_max_lines || bytes_left < reserved * m_max_bytes) return false;
  m_lines = lines_left;
  m_bytes = bytes_left;
  return true;
}

void LogBudget::Refill(TimePoint now) {
  const double seconds = std::max(0.0, std::chrono::duration<double>(now - m_last_refill).count());
  m_lines = std::min(m_max_lines, m_lines + seconds * m_limits.lines_per_second);
  m_bytes = std::min(m_max_bytes, m_bytes + seconds * m_limits.bytes_per_second);
  m_last_refill = now;
}

}  // namespace fulmarpoint
