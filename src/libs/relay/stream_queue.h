#pragma once

#include <map>
#include <memory>

#include "coordination/stream_admission.h"
#include "transport/notification.h"

namespace fulmarpoint {

/// The streams of one service that wait for an engine, with the notifications that wake them. Used
/// on the daemon's thread.
struct StreamQueue {
  /// Wakes the stream that may choose an engine next, if there is one.
  void WakeNext(TimePoint now);

  StreamAdmission admission;
  std::map<StreamAdmission::StreamId, std::shared_ptr<Notification>> wakes;
};

}  // namespace fulmarpoint
