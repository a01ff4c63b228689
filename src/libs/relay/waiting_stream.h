#pragma once

#include <cstddef>
#include <memory>
#include <optional>

#include "relay/relay_context.h"
#include "relay/relayed_request.h"
#include "relay/stream_queue.h"
#include "transport/notification.h"

namespace fulmarpoint {

/// The place of one relayed stream in the queue of its service, which has contention control. Used
/// on the daemon's thread.
class WaitingStream {
 public:
  /// State of the stream that determines its place.
  struct State {
    /// The caller already has events of the stream.
    bool is_resumed = false;
    bool has_backup = false;
    /// The caller was already sent the head of the reply.
    bool is_committed = false;

    bool operator==(const State&) const = default;
  };

  /// `context` and `request` must outlive this. `wake` is notified when it is the stream's turn.
  WaitingStream(RelayContext& context, const RelayedRequest& request,
                std::shared_ptr<Notification> wake);
  /// Leaves the queue and wakes the next stream.
  ~WaitingStream();
  WaitingStream(const WaitingStream&) = delete;
  WaitingStream& operator=(const WaitingStream&) = delete;

  /// Joins the queue, or updates the place if the state has changed.
  void Enter(const State& state);
  /// Returns why the stream is to be rejected now; nothing if it may go on waiting.
  std::optional<StreamAdmission::Rejection> CheckRejection() const;
  bool HasTurn() const;
  /// Returns whether the stream may use the capacity reserved for more urgent ones: it is resumed,
  /// or it has the turn reserved for the lowest priority.
  bool MayUseReserve() const;
  /// The stream goes on waiting. Logs the first time.
  void OnWaiting();
  /// The stream connects to an engine, so the next one may choose.
  void OnEngineChosen();
  /// No engine has taken the stream, so others may choose before it until `pause` has passed.
  void OnNotPlaced(Duration pause);
  /// An engine was sent the stream.
  void OnPlaced();
  /// The engine rejected the stream without running it.
  void OnPlacementRejected();
  /// The stream was completely sent, `elapsed` from its first event.
  void OnCompleted(Duration elapsed);
  /// Leaves the queue after a rejection and returns the value of Retry-After.
  Duration OnRejected(const StreamAdmission::Rejection& rejection);

 private:
  StreamAdmission::Stream MakeStream(const State& state) const;
  Duration ExpectedFirstEvent() const;
  Duration ExpectedRunTime() const;
  void Leave();
  void PublishWaiting() const;

  RelayContext& m_context;
  const RelayedRequest& m_request;
  std::shared_ptr<Notification> m_wake;
  StreamQueue& m_queue;
  State m_state;
  std::optional<StreamAdmission::StreamId> m_id;
  TimePoint m_entered{};
  /// Number of streams before this one when it began to wait; absent if it has not waited.
  std::optional<std::size_t> m_position;
};

}  // namespace fulmarpoint
