#include "coordination/usage_reporter.h"

#include <algorithm>

namespace fulmarpoint {

namespace {

UnixMillis Millis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}  // namespace

void UsageReporter::Handle(const Event& event, UnixMillis now, std::vector<Action>& actions) {
  std::visit([&](const auto& specific) { On(specific, now, actions); }, event);
}

UsageWindow UsageReporter::WindowAt(UnixMillis time) const {
  return std::chrono::milliseconds(time) / m_options.window_length;
}

UnixMillis UsageReporter::EndOf(UsageWindow window) const {
  return Millis(m_options.window_length * (window + 1));
}

/// Returns the first window that a holder may still have to report if it acquires the lease `now`.
/// The predecessor may have left any that is not too old.
UsageWindow UsageReporter::FirstInherited(UnixMillis now) const {
  const UsageWindow reportable = m_options.give_up_after / m_options.window_length;
  return WindowAt(now) - std::clamp<UsageWindow>(reportable - 1, 1, kKeptWindows - 1);
}

void UsageReporter::On(const Acquired& event, UnixMillis now, Actions&) {
  m_held = true;
  m_acquired_at = now;
  m_undecided_from = event.undecided_from;
  m_first = FirstInherited(now);
  m_windows.clear();
  for (const UsageReport& report : event.stored) {
    m_decided[report.window] = report;
    // The predecessor may not have sent it, or not have had a reply.
    if (report.window >= m_first) m_windows[report.window].state = State::kDecided;
  }
}

void UsageReporter::On(const Lost&, UnixMillis, Actions&) {
  m_held = false;
  m_windows.clear();
}

void UsageReporter::On(const Collected& event, UnixMillis now, Actions& actions) {
  if (!m_held) return;
  for (const UsageSum& sum : event.reply.sums) {
    const bool is_open = sum.window >= m_first && sum.window <= WindowAt(now) + 1;
    if (is_open) AddSum(sum, actions);
  }
  for (const UsageReport& report : event.reply.decided) {
    const bool is_new = report.window >= m_first && !m_decided.contains(report.window);
    if (!is_new) continue;
    m_decided[report.window] = report;
    Window& window = m_windows[report.window];
    // Its row may be missing, so it is stored again before it is sent.
    if (window.state == State::kDecided) window.state = State::kCollecting;
  }
  // Polls of an earlier tenure did not ask for all windows.
  if (event.asked < m_acquired_at) return;
  const UnixMillis settled = event.asked - Millis(m_options.collect_after);
  for (UsageWindow number = m_first; EndOf(number) <= settled; ++number) {
    m_windows[number].replied.insert(event.reply.daemon);
  }
}

void UsageReporter::AddSum(const UsageSum& sum, Actions& actions) {
  Window& window = m_windows[sum.window];
  Counts& counts = window.sums[{sum.daemon, sum.incarnation}];
  std::uint64_t added = 0;
  for (const OrganisationUsage& usage : sum.usage) {
    std::uint64_t& count = counts[usage.organisation];
    if (usage.requests <= count) continue;
    added += usage.requests - count;
    count = usage.requests;
  }
  const bool is_late = added > 0 && window.state != State::kCollecting;
  if (is_late) actions.emplace_back(LateCounts{sum.window, added});
}

void UsageReporter::On(const Tick& event, UnixMillis now, Actions& actions) {
  if (!m_held) return;
  Forget(now);
  for (UsageWindow number = m_first; EndOf(number) <= now; ++number) {
    Advance(number, m_windows[number], event, now, actions);
  }
  SendNext(now, actions);
}

/// Sends the latest report that is not accepted, unless a call is in flight. Earlier ones are
/// overdue already, or were sent by the predecessor.
void UsageReporter::SendNext(UnixMillis now, Actions& actions) {
  const auto is_sending = [](const auto& entry) { return entry.second.state == State::kSending; };
  if (std::any_of(m_windows.begin(), m_windows.end(), is_sending)) return;
  const auto is_due = [now](const auto& entry) {
    return entry.second.state == State::kDecided && now >= entry.second.next_try;
  };
  const auto next = std::find_if(m_windows.rbegin(), m_windows.rend(), is_due);
  if (next == m_windows.rend()) return;
  next->second.state = State::kSending;
  actions.emplace_back(SendReport{m_decided.at(next->first)});
}

void UsageReporter::Advance(UsageWindow number, Window& window, const Tick& tick, UnixMillis now,
                            Actions& actions) {
  const bool is_idle = window.state != State::kFinished && window.state != State::kSending;
  if (!is_idle || now < window.next_try) return;
  // A former holder may have reported it, and nobody knows what.
  const bool is_unknown = EndOf(number) < m_undecided_from && !m_decided.contains(number);
  if (is_unknown || now - EndOf(number) > Millis(m_options.give_up_after)) {
    if (is_unknown && now < DecideBy(number)) return;
    window.state = State::kFinished;
    if (!is_unknown || !window.sums.empty()) actions.emplace_back(GaveUp{number});
    return;
  }
  const bool may_store = window.state == State::kCollecting && MayDecide(number, window, tick, now);
  if (!may_store) return;
  window.state = State::kStoring;
  const auto known = m_decided.find(number);
  const UsageReport report = known == m_decided.end() ? ReportOf(number, window) : known->second;
  actions.emplace_back(StoreReport{report, number - kKeptWindows});
}

/// Returns when the window is decided at the latest. The windows that a new holder inherits may be
/// overdue before it has asked anybody.
UnixMillis UsageReporter::DecideBy(UsageWindow number) const {
  return std::max(EndOf(number) + Millis(m_options.decide_after),
                  m_acquired_at + Millis(m_options.collect_for));
}

bool UsageReporter::MayDecide(UsageWindow number, const Window& window, const Tick& tick,
                              UnixMillis now) const {
  if (m_decided.contains(number)) return true;
  if (now >= DecideBy(number)) return true;
  return now - EndOf(number) >= Millis(m_options.collect_after) &&
         std::includes(window.replied.begin(), window.replied.end(), tick.daemons.begin(),
                       tick.daemons.end());
}

UsageReport UsageReporter::ReportOf(UsageWindow number, const Window& window) const {
  Counts total;
  for (const auto& [process, counts] : window.sums) {
    for (const auto& [organisation, requests] : counts) total[organisation] += requests;
  }
  UsageReport report{number, {}};
  for (const auto& [organisation, requests] : total) {
    report.usage.push_back({organisation, requests});
  }
  return report;
}

void UsageReporter::On(const Stored& event, UnixMillis, Actions&) {
  m_decided[event.report.window] = event.report;
  if (!m_held) return;
  Window& window = m_windows[event.report.window];
  if (window.state == State::kStoring) window.state = State::kDecided;
}

void UsageReporter::On(const StoreFailed& event, UnixMillis now, Actions&) {
  const auto found = m_windows.find(event.window);
  if (found == m_windows.end() || found->second.state != State::kStoring) return;
  found->second.state = State::kCollecting;
  found->second.next_try = now + Millis(m_options.repeat_interval);
}

void UsageReporter::On(const Sent& event, UnixMillis now, Actions& actions) {
  const auto found = m_windows.find(event.window);
  if (found == m_windows.end() || found->second.state != State::kSending) return;
  found->second.state = event.is_accepted ? State::kFinished : State::kDecided;
  found->second.next_try = now + Millis(m_options.repeat_interval);
  SendNext(now, actions);
}

void UsageReporter::Forget(UnixMillis now) {
  const UsageWindow oldest = WindowAt(now) - kKeptWindows;
  m_decided.erase(m_decided.begin(), m_decided.lower_bound(oldest));
  m_windows.erase(m_windows.begin(), m_windows.lower_bound(oldest));
  m_first = std::max(m_first, oldest);
}

std::vector<UsageReport> UsageReporter::Decided(UsageWindow first) const {
  std::vector<UsageReport> reports;
  for (auto it = m_decided.lower_bound(first); it != m_decided.end(); ++it) {
    reports.push_back(it->second);
  }
  return reports;
}

UsageWindow UsageReporter::FirstOpenWindow(UnixMillis now) const {
  if (!m_held) return FirstInherited(now);
  UsageWindow number = m_first;
  for (; number < WindowAt(now); ++number) {
    const auto found = m_windows.find(number);
    if (found == m_windows.end() || found->second.state != State::kFinished) break;
  }
  return number;
}

}  // namespace fulmarpoint
