#include "coordination/rejection_budget.h"

#include <algorithm>
#include <limits>

namespace fulmarpoint {

namespace {

// Without a reply for this long, the statement may be out of date.
constexpr Duration kStatementLifetime = std::chrono::seconds(5);
constexpr Duration kLimitPeriod = std::chrono::seconds(1);
// The other half is left for rejections that are on their way.
constexpr double kUsedShare = 0.5;
constexpr Duration kMaxPause = std::chrono::seconds(5);

}  // namespace

bool RejectionBudget::OnStatement(const Statement& statement, TimePoint at) {
  if (at <= m_replied_at) return false;
  m_replied_at = at;
  const bool was_brittle = IsBrittle(at);
  m_statement = statement;
  m_confirmed_at = at;
  if (was_brittle || !statement.limit) return true;
  // What is in progress when the endpoint becomes brittle has room there.
  m_window = std::max(ShareOfSlots(), statement.requests);
  m_next_growth = at + PauseAfterRejection(at);
  return true;
}

void RejectionBudget::OnRejected(TimePoint now) {
  m_window = std::max(1, m_window / 2);
  m_next_growth = now + 2 * PauseAfterRejection(now);
}

void RejectionBudget::OnRoom(int requests, TimePoint now) {
  if (!IsBrittle(now) || requests < m_window || now < m_next_growth) return;
  ++m_window;
  m_next_growth = now + PauseAfterRejection(now);
}

bool RejectionBudget::IsBrittle(TimePoint now) const {
  return m_statement.limit && now - m_confirmed_at < kStatementLifetime;
}

bool RejectionBudget::Admits(int requests, std::uint64_t daemon, TimePoint now) const {
  if (!IsBrittle(now)) return true;
  const double users = std::max(1, m_statement.slots) + kUsedShare * *m_statement.limit;
  const double share = users / static_cast<double>(m_statement.daemons);
  const double position =
      static_cast<double>(daemon) / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  return position <= share && requests < m_window;
}

Duration RejectionBudget::PauseAfterRejection(TimePoint now) const {
  if (!IsBrittle(now)) return Duration::zero();
  const double pause_us =
      static_cast<double>(kLimitPeriod.count()) / std::max(1e-3, RejectionsPerSecond());
  return pause_us >= static_cast<double>(kMaxPause.count())
             ? kMaxPause
             : Duration(static_cast<Duration::rep>(pause_us));
}

/// Returns how many rejections a second this daemon may cause.
double RejectionBudget::RejectionsPerSecond() const {
  return kUsedShare * m_statement.limit.value_or(0) /
         static_cast<double>(std::max<std::size_t>(1, m_statement.daemons));
}

int RejectionBudget::ShareOfSlots() const {
  const std::size_t slots = static_cast<std::size_t>(std::max(0, m_statement.slots));
  return static_cast<int>(
      std::max<std::size_t>(1, slots / std::max<std::size_t>(1, m_statement.daemons)));
}

}  // namespace fulmarpoint
