#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <stdexcept>
#include <string>
#include <vector>

#include "coordination/control_plane.h"
#include "protocol/datagram_codec.h"
#include "simulation/simulated_table_service.h"
#include "utils/random.h"

namespace fulmarpoint {

/// Fault injected into requests to the table service.
enum class StoreFault {
  kNone,
  /// Requests time out and have no effect.
  kDown,
  /// Responses take `Fleet::Options::slow_store_delay`.
  kSlow,
  /// Writes are applied, but the response to any request is lost.
  kAnswerLost,
  /// Reads return the state at the last call of `Fleet::SnapshotTableForStaleReads`.
  kStale,
};

inline constexpr std::array<EnumName<StoreFault>, 5> kStoreFaultNames = {{
    {StoreFault::kNone, "none"},
    {StoreFault::kDown, "down"},
    {StoreFault::kSlow, "slow"},
    {StoreFault::kAnswerLost, "answer_lost"},
    {StoreFault::kStale, "stale"},
}};

/// Discrete-event simulation of a fleet of control planes with a network, the table service and the
/// instance list. Runs with the same seed are identical. Not thread-safe.
class Fleet {
 public:
  struct Options {
    ControlPlane::Options control;
    Duration datagram_delay = std::chrono::microseconds(500);
    Duration store_delay = std::chrono::milliseconds(4);
    Duration slow_store_delay = std::chrono::seconds(3);
    /// Time after which a request without a response fails.
    Duration request_timeout = std::chrono::seconds(2);
    /// Delay until a change of the instance list is visible to daemons.
    Duration list_lag = std::chrono::seconds(15);
    /// Probability that a datagram is lost.
    double datagram_loss = 0.0;
  };

  struct Daemon {
    std::unique_ptr<ControlPlane> control;
    MemberUpdate self;
    bool running = true;
    bool paused = false;
    /// Number of processes started on the instance; events for an earlier process are dropped.
    int process = 0;
    /// Start time of the current process.
    TimePoint started{};
    /// Events that arrived while the daemon was paused.
    std::deque<std::function<void()>> paused_events;
    std::uint64_t datagrams_sent = 0;
    std::uint64_t datagrams_received = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t delta_bytes = 0;
  };

  struct StoreRequestCounts {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t bytes = 0;
  };

  Fleet(Options options, std::uint64_t seed);

  /// Starts a daemon on a new instance; returns its index.
  int Add(const std::string& failure_domain, const std::string& region);
  /// Starts `count` daemons spread over four failure domains and two regions.
  void AddMany(int count);
  void Crash(int index);
  void Pause(int index);
  /// Ends the pause and delivers the events that arrived during it.
  void Resume(int index);
  /// Replaces the process by a new one with the same name and address and a higher incarnation.
  void Replace(int index);
  /// Crashes the process and removes the instance from the instance list.
  void Remove(int index);

  /// Submits a catalogue change to daemon `index` and returns its id, the key in `reports`.
  std::uint64_t Apply(int index, CatalogueWriter::Apply change);
  /// Schedules an event for daemon `index` without a delay.
  void Give(int index, const ControlPlane::Event& event);

  /// Takes the snapshot of the table service that `StoreFault::kStale` reads.
  void SnapshotTableForStaleReads() { m_stale_table = m_table; }

  /// Runs the events of the next `duration` and advances the virtual time.
  void RunFor(Duration duration);
  TimePoint Now() const { return m_now; }
  void Schedule(Duration delay, std::function<void()> callback);

  Daemon& At(int index) { return m_daemons[static_cast<std::size_t>(index)]; }
  ControlPlane& Of(int index) { return *At(index).control; }
  int Size() const { return static_cast<int>(m_daemons.size()); }
  bool IsActive(int index) { return At(index).running && !At(index).paused; }
  SimulatedTableService& Table() { return m_table; }
  const StoreRequestCounts& Store() const { return m_store_counts; }
  std::uint64_t Events() const { return m_events_handled; }

  /// Results of catalogue changes by id.
  std::map<std::uint64_t, ApplyReport> reports;
  /// Returns whether the network drops datagrams and delta requests from the first daemon to the
  /// second.
  std::function<bool(int, int)> is_partitioned;
  /// Return the fault that a daemon encounters when it reads or writes the table service.
  std::function<StoreFault(int)> read_fault;
  std::function<StoreFault(int)> write_fault;
  /// Reads of the instance list get no response.
  bool instance_list_is_unavailable = false;
  /// Called for each action of a daemon before it is performed.
  std::function<void(int, const ControlPlane::Action&)> on_action;
  /// Called after a daemon has handled an event.
  std::function<void(int)> after_event;

 private:
  struct Scheduled {
    TimePoint at;
    std::uint64_t order = 0;
    std::function<void()> callback;
    bool operator<(const Scheduled& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };
  struct InstanceListVersion {
    TimePoint at;
    std::vector<ListedDaemon> daemons;
  };

  void StartProcess(int index);
  void Handle(int index, const ControlPlane::Event& event);
  /// Schedules an event; it is dropped if the daemon's current process has ended by then.
  void DeliverLater(int index, Duration delay, ControlPlane::Event event);
  void Perform(int index, ControlPlane::Action& action);
  void Send(int index, const Membership::SendDatagram& send);
  void Read(int index, const ControlPlane::ReadRow& read);
  void Read(int index, const ControlPlane::ReadRows& read);
  void Write(int index, const ControlPlane::WriteRows& write);
  void Fetch(int index, const ControlPlane::FetchDelta& fetch);
  void AnswerInstanceListRead(int index);
  void PublishInstanceList();
  Duration Delay();

  Options m_options;
  Random m_random;
  DatagramCodec m_codec{"0123456789abcdef0123456789abcdef"};
  TimePoint m_now{std::chrono::hours(1)};
  std::uint64_t m_order = 0;
  std::uint64_t m_next_change_id = 1;
  std::uint64_t m_events_handled = 0;
  std::deque<Daemon> m_daemons;
  std::map<std::string, int> m_by_address;
  std::priority_queue<Scheduled> m_queue;
  SimulatedTableService m_table;
  SimulatedTableService m_stale_table;
  StoreRequestCounts m_store_counts;
  std::deque<InstanceListVersion> m_lists;
  std::vector<bool> m_is_listed;
};

}  // namespace fulmarpoint
