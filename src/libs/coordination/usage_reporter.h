#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "protocol/duty_messages.h"
#include "protocol/identifiers.h"
#include "utils/time.h"

namespace fulmarpoint {

/// Decides what is reported for each window while this daemon holds the usage duty, and repeats a
/// report until it is accepted. The counts of a window are stored before they are sent, so that
/// every repeat of a report, by any holder, is the same. The caller performs the actions and
/// checks its lease before each of them. Not thread-safe.
class UsageReporter {
 public:
  struct Options {
    Duration window_length = std::chrono::seconds(5);
    /// After the end of a window, all daemons have been asked by then if they reply.
    Duration collect_after = std::chrono::seconds(1);
    /// The report is decided by then, with the counts that are known.
    Duration decide_after = std::chrono::seconds(5);
    /// A report that was not accepted is repeated at this interval, until it is too old.
    Duration repeat_interval = std::chrono::seconds(2);
    Duration give_up_after = std::chrono::seconds(60);
  };
  static constexpr UsageWindow kKeptWindows = 20;

  /// The lease was acquired; windows that ended before `since` are only reported if a decision on
  /// them is known. `stored` are the decided reports that the store has, read after the lease was
  /// acquired. `is_complete_history` is false if the store was restored from a copy since the
  /// lease's last holder may have decided a report.
  struct Acquired {
    std::vector<UsageReport> stored;
    bool is_complete_history = true;
  };
  /// The lease was lost. What was decided is kept.
  struct Lost {};
  /// A daemon replied to a poll that was sent at `asked`, or none did.
  struct Collected {
    DutyPollReply reply;
    UnixMillis asked = 0;
  };
  /// The daemons that are listed at this time.
  struct Tick {
    std::set<std::string> daemons;
  };
  /// The counts of a window were stored, or the store already had others, which hold.
  struct Stored {
    UsageReport report;
  };
  /// The row could not be written or read.
  struct StoreFailed {
    UsageWindow window = 0;
  };
  enum class CallResult { kAccepted, kFailed };
  struct Sent {
    UsageWindow window = 0;
    CallResult result = CallResult::kFailed;
  };
  using Event = std::variant<Acquired, Lost, Collected, Tick, Stored, StoreFailed, Sent>;

  /// Write the report's row unless there is one, and read it otherwise; then `Stored`. Also remove
  /// the row of `expired`, if set.
  struct StoreReport {
    UsageReport report;
    std::optional<UsageWindow> expired;
  };
  /// Send the report to the platform; then `Sent`.
  struct SendReport {
    UsageReport report;
  };
  /// Counts for a window arrived after its report was decided: `requests` of them.
  struct LateCounts {
    UsageWindow window = 0;
    std::uint64_t requests = 0;
  };
  /// The report was not accepted in time, or could not be decided.
  struct GaveUp {
    UsageWindow window = 0;
    std::string reason;
  };
  using Action = std::variant<StoreReport, SendReport, LateCounts, GaveUp>;

  explicit UsageReporter(Options options) : m_options(options) {}

  /// `now` is the true time.
  void Handle(const Event& event, UnixMillis now, std::vector<Action>& actions);

  /// Returns the reports that this daemon has decided or learned of, for replies to polls.
  std::vector<UsageReport> Decided(UsageWindow first) const;
  /// Returns the first window for which counts are still of interest.
  UsageWindow FirstWindow(UnixMillis now) const;

 private:
  Options m_options;
};

}  // namespace fulmarpoint
