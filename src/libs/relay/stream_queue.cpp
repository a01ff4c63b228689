#include "relay/stream_queue.h"

#include <optional>

namespace fulmarpoint {

void StreamQueue::WakeNext(TimePoint now) {
  const std::optional<StreamAdmission::StreamId> next = admission.Next(now);
  if (!next) return;
  const auto found = wakes.find(*next);
  if (found != wakes.end()) found->second->Notify();
}

}  // namespace fulmarpoint
