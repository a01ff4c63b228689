#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "coordination/relay_placement.h"
#include "protocol/relay_configuration.h"
#include "utils/enum_names.h"
#include "utils/random.h"
#include "utils/time.h"

namespace fulmarpoint {

/// Why a stream that waits for an engine is rejected.
enum class StreamRejectionReason {
  /// More urgent streams fill the queue.
  kQueueFull,
  /// The stream could not begin before its latest useful start.
  kTooLate,
  /// The daemon stops before the stream could end.
  kStopping,
};

inline constexpr std::array<EnumName<StreamRejectionReason>, 3> kStreamRejectionReasonNames = {{
    {StreamRejectionReason::kQueueFull, "queue_full"},
    {StreamRejectionReason::kTooLate, "too_late"},
    {StreamRejectionReason::kStopping, "stopping"},
}};

/// Bounded queue of the streams of one service that wait for an engine. Selects the one that may
/// choose an engine next, and rejects those that could begin only when it is of no use to their
/// callers. Resumed streams come first, those with a KV cache backup before others. Then the order
/// is by priority, and within a priority: streams that can still meet their objective before those
/// that cannot, organisations with little recent work before those with much, and the earliest
/// latest start first. One of eight admissions goes to the lowest waiting priority. Not
/// thread-safe.
class StreamAdmission {
 public:
  using StreamId = std::uint64_t;

  struct Options {
    std::size_t max_waiting = 256;
    /// Every admission after this many to other priorities goes to the lowest waiting priority.
    int admissions_per_reserved_turn = 7;
    /// Time constant of the admission rate.
    Duration rate_window = std::chrono::seconds(4);
    /// Time constant of the recent work of organisations.
    Duration work_window = std::chrono::seconds(10);
    Duration min_retry_after = std::chrono::milliseconds(200);
  };

  /// What determines the place of a stream in the queue.
  struct Stream {
    /// 0 is the highest.
    int priority = 0;
    /// Position of the priority among those configured for the service; 0 is the highest.
    int level = 0;
    /// Empty if the route needs no key.
    OrganisationId organisation;
    std::int64_t prompt_tokens = 0;
    /// The caller has already received events of the stream.
    bool is_resumed = false;
    /// Resumed streams: an engine holds a KV cache backup.
    bool has_backup = false;
    /// Latest start with which the stream meets its objective.
    TimePoint latest_objective_start{};
    /// Latest start with which the stream is of use to its caller.
    TimePoint latest_useful_start{};
    TimePoint deadline{};
    /// The caller was already sent the head of the reply, so the stream cannot be rejected.
    bool is_committed = false;
  };

  struct Rejection {
    StreamRejectionReason reason = StreamRejectionReason::kTooLate;
    Duration predicted_wait{};
  };

  StreamAdmission() = default;
  explicit StreamAdmission(Options options) : m_options(options) {}

  /// Adds a stream. The caller must then use `CheckRejection()`, at once and whenever the stream is
  /// woken, and `Remove()` it if it is rejected or leaves.
  StreamId Enqueue(const Stream& stream, TimePoint now);
  /// Replaces what is known of a waiting stream.
  void Update(StreamId id, const Stream& stream);
  /// Returns why a waiting stream is to be rejected now; nothing if it may go on waiting.
  std::optional<Rejection> CheckRejection(StreamId id, TimePoint now);
  /// Returns the stream that may choose an engine now; nothing if none is eligible.
  std::optional<StreamId> Next(TimePoint now);
  /// Returns whether `id` is next because one of eight admissions goes to the lowest priority. It
  /// may then use the capacity reserved for more urgent streams.
  bool HasReservedTurn(StreamId id, TimePoint now);
  /// The stream has chosen an engine and connects to it. Others may choose meanwhile.
  void OnEngineChosen(StreamId id);
  /// No engine has taken the stream. It is not next again before `until` or `OnRoomFreed()`.
  void OnNotPlaced(StreamId id, TimePoint until);
  /// A stream has ended, so streams that found no engine may choose again.
  void OnRoomFreed();
  /// An engine was sent the stream. Removes it.
  void OnPlaced(StreamId id, TimePoint now);
  /// The engine rejected a placed stream without running it. Reverts its effect on the rate and on
  /// its organisation's work.
  void OnPlacementRejected(const Stream& stream, TimePoint now);
  /// Removes a stream that was rejected or whose caller has left. No effect if it is not queued.
  void Remove(StreamId id);

  /// A stream was completely sent: `elapsed` from its first event, for up to `max_output_tokens`.
  void OnCompleted(Duration elapsed, std::int64_t max_output_tokens);
  /// Returns the expected time from the first event to the end; zero if nothing is known.
  Duration ExpectedRunTime(std::int64_t max_output_tokens) const;

  /// Returns when the caller of a rejected stream should retry: after the predicted wait and the
  /// time for the callers that were told to return before, with jitter of half of it, longer for
  /// lower priorities. Callers that are rejected together thus return one after another, the most
  /// urgent first. At most a third of the time until the deadline, because callers do not wait
  /// longer. Records that the caller will return.
  Duration RetryAfter(const Stream& stream, Duration predicted_wait, TimePoint now, Random& random);

  /// Returns how far streams of the `level`-th priority of the service, 0 being the highest, may
  /// fill engines.
  static FillLimit FillLimitOf(int level);
  static FillLimit BackupFillLimit();

  /// Returns the number of streams that wait, including those that connect to an engine.
  std::size_t Waiting() const { return m_waiting.size(); }
  std::size_t WaitingOf(int priority) const;
  /// Returns the number of waiting streams before `id`.
  std::size_t PositionOf(StreamId id, TimePoint now);

 private:
  struct Entry {
    Stream stream;
    TimePoint enqueued{};
    TimePoint not_before{};
    bool is_connecting = false;
    /// It found no engine at its last trial, and no room has been freed since.
    bool found_no_engine = false;
  };

  /// Place in the queue; the lowest goes first.
  struct Rank;

  void DecayTo(TimePoint now);
  void UpdateOrder(TimePoint now);
  std::map<StreamId, int> WorkClasses() const;
  std::optional<StreamId> ReservedTurn(TimePoint now) const;
  bool IsEligible(StreamId id, TimePoint now) const;
  bool FoundNoEngineBefore(StreamId id) const;
  Duration PredictWait(std::size_t ahead, TimePoint now) const;
  Duration TimeToAdmit(std::size_t streams) const;
  std::size_t ExpectedReturns(int priority, TimePoint now);

  Options m_options;
  std::map<StreamId, Entry> m_waiting;
  StreamId m_next_id = 1;
  /// Waiting streams in the order of their turns; valid until a change or `m_order_expires`.
  std::vector<StreamId> m_order;
  bool m_is_order_valid = false;
  TimePoint m_order_expires{};
  /// Admissions to other priorities than the lowest waiting one since its last.
  int m_since_lowest = 0;
  TimePoint m_decayed_to{};
  /// Decayed number of admissions; divided by the window, their rate.
  double m_admissions = 0.0;
  /// Decayed prompt tokens of each organisation.
  std::map<OrganisationId, double> m_work;
  /// When rejected callers return, by priority.
  std::map<int, std::multiset<TimePoint>> m_returns;
  /// Mean time per output token that a stream may generate, in microseconds; 0 before the first.
  double m_token_us = 0.0;
};

}  // namespace fulmarpoint
