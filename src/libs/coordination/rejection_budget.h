#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "utils/time.h"

namespace fulmarpoint {

/// Limits this daemon's requests at a brittle endpoint, which crashes if it has to reject more than
/// a stated number of requests within a second for want of room. Daemons do not learn of each
/// other's rejections in time, so each has its part: of the endpoint's slots, which it may use at
/// any time, and of half of the rejections, which it may risk by using more. Not thread-safe.
class RejectionBudget {
 public:
  /// What a reply says and what is known of the endpoint then.
  struct Statement {
    /// Rejections within a second that the endpoint bears; nothing if it is not brittle.
    std::optional<int> limit;
    int slots = 0;
    std::size_t daemons = 1;
    /// Requests of this daemon in progress there.
    int requests = 0;
  };

  /// Records the statement of a reply that arrived at `at`. Returns false, and changes nothing, if
  /// that of the same or a later reply is known: a stream is asked for its reply more than once.
  bool OnStatement(const Statement& statement, TimePoint at);
  /// Another endpoint of the service states that it is brittle. They are so at the same time, so
  /// what this one has stated holds longer, although this daemon may not send it anything.
  void OnServiceStatement(TimePoint now) { m_confirmed_at = now; }
  /// The endpoint rejected a request for want of room.
  void OnRejected(TimePoint now);
  /// A reply says that the endpoint has a free slot while this daemon has `requests` there.
  void OnRoom(int requests, TimePoint now);

  /// Returns whether the endpoint is brittle as far as is known.
  bool IsBrittle(TimePoint now) const;
  /// Returns whether a daemon with `requests` in progress there may send one more. `daemon` is a
  /// hash of the daemon and the endpoint: if there are more daemons than the endpoint bears at
  /// once, only some use it.
  bool Admits(int requests, std::uint64_t daemon, TimePoint now) const;
  /// Returns how long this daemon sends nothing after a rejection; zero if not brittle.
  Duration PauseAfterRejection(TimePoint now) const;

 private:
  double RejectionsPerSecond() const;
  int ShareOfSlots() const;

  Statement m_statement;
  /// When the latest reply arrived.
  TimePoint m_replied_at{};
  /// When the endpoint, or another one of its service, last stated that it is brittle.
  TimePoint m_confirmed_at{};
  /// Requests of this daemon at once.
  int m_window = 1;
  TimePoint m_next_growth{};
};

}  // namespace fulmarpoint
