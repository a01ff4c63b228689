#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "protocol/duty_messages.h"
#include "protocol/identifiers.h"
#include "utils/time.h"

namespace fulmarpoint {

/// Decides what is reported for each window while this daemon holds the usage duty, and repeats a
/// report until it is accepted. The counts of a window are stored before they are sent, so that
/// every repeat of a report, by any holder, is the same. The caller performs the actions, and
/// checks its lease before each of them. Not thread-safe.
class UsageReporter {
 public:
  struct Options {
    Duration window_length = std::chrono::seconds(5);
    /// After the end of a window, the counts of requests that began just before it are known.
    Duration collect_after = std::chrono::seconds(1);
    /// The report is decided by then, whichever daemons have replied.
    Duration decide_after = std::chrono::seconds(5);
    /// A new holder gives the daemons this long to reply, also for windows that are overdue.
    Duration collect_for = std::chrono::milliseconds(2500);
    /// A report that was not accepted is repeated at this interval until it is too old.
    Duration repeat_interval = std::chrono::seconds(2);
    Duration give_up_after = std::chrono::seconds(60);
  };
  /// Windows whose decided reports are kept.
  static constexpr UsageWindow kKeptWindows = 20;

  /// The lease was acquired. `stored` are the reports in the store, read after that. A window that
  /// ended before `undecided_from` is reported only if a decision is known: its row may have been
  /// lost although its report was accepted.
  struct Acquired {
    std::vector<UsageReport> stored;
    UnixMillis undecided_from = 0;
  };
  struct Lost {};
  /// The reply of a daemon to a poll that was sent at `asked`.
  struct Collected {
    DutyPollReply reply;
    UnixMillis asked = 0;
  };
  /// Call several times a second, with the names of all daemons that are listed.
  struct Tick {
    std::set<std::string> daemons;
  };
  /// The store has this report: the one that was to be written, or an earlier one.
  struct Stored {
    UsageReport report;
  };
  struct StoreFailed {
    UsageWindow window = 0;
  };
  struct Sent {
    UsageWindow window = 0;
    bool is_accepted = false;
  };
  using Event = std::variant<Acquired, Lost, Collected, Tick, Stored, StoreFailed, Sent>;

  /// Write the report's row unless there is one, and read it otherwise. Also remove the row of the
  /// window `expired`.
  struct StoreReport {
    UsageReport report;
    UsageWindow expired = 0;
  };
  struct SendReport {
    UsageReport report;
  };
  /// Requests that were counted for a window after its report had been decided.
  struct LateCounts {
    UsageWindow window = 0;
    std::uint64_t requests = 0;
  };
  struct GaveUp {
    UsageWindow window = 0;
  };
  using Action = std::variant<StoreReport, SendReport, LateCounts, GaveUp>;

  explicit UsageReporter(Options options) : m_options(options) {}

  /// `now` is the wall-clock time, by which windows are defined.
  void Handle(const Event& event, UnixMillis now, std::vector<Action>& actions);

  /// Returns the decided reports of `first` and later windows that are known, for replies to polls.
  std::vector<UsageReport> Decided(UsageWindow first) const;
  /// Returns the first window whose report is not finished; before the lease is acquired, the first
  /// one that would be of interest then.
  UsageWindow FirstOpenWindow(UnixMillis now) const;

 private:
  using Actions = std::vector<Action>;
  using Counts = std::map<OrganisationId, std::uint64_t>;
  using Process = std::pair<std::string, std::uint64_t>;
  enum class State { kCollecting, kStoring, kDecided, kSending, kFinished };
  struct Window {
    State state = State::kCollecting;
    std::map<Process, Counts> sums;
    /// Daemons whose counts are complete.
    std::set<std::string> replied;
    /// Earliest time of the next write or call.
    UnixMillis next_try = 0;
  };

  void On(const Acquired& event, UnixMillis now, Actions& actions);
  void On(const Lost& event, UnixMillis now, Actions& actions);
  void On(const Collected& event, UnixMillis now, Actions& actions);
  void On(const Tick& event, UnixMillis now, Actions& actions);
  void On(const Stored& event, UnixMillis now, Actions& actions);
  void On(const StoreFailed& event, UnixMillis now, Actions& actions);
  void On(const Sent& event, UnixMillis now, Actions& actions);

  UsageWindow WindowAt(UnixMillis time) const;
  UnixMillis EndOf(UsageWindow window) const;
  UsageWindow FirstInherited(UnixMillis now) const;
  UnixMillis DecideBy(UsageWindow number) const;
  void AddSum(const UsageSum& sum, Actions& actions);
  void Advance(UsageWindow number, Window& window, const Tick& tick, UnixMillis now,
               Actions& actions);
  void SendNext(UnixMillis now, Actions& actions);
  bool MayDecide(UsageWindow number, const Window& window, const Tick& tick, UnixMillis now) const;
  UsageReport ReportOf(UsageWindow number, const Window& window) const;
  void Forget(UnixMillis now);

  Options m_options;
  bool m_held = false;
  UnixMillis m_acquired_at = 0;
  UnixMillis m_undecided_from = 0;
  /// First window that this holder reports.
  UsageWindow m_first = 0;
  std::map<UsageWindow, Window> m_windows;
  std::map<UsageWindow, UsageReport> m_decided;
};

}  // namespace fulmarpoint
