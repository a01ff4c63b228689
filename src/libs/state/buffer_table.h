#pragma once

#include <mutex>
#include <vector>

#include "coordination/caller_buffers.h"

namespace fulmarpoint {

/// Buffer budgets of all streams, shared by the workers. Thread-safe; its mutex is `buffers` in the
/// lock order of docs/design.md, after `one request`, and no other lock is taken under it. Actions
/// may concern streams of other requests: the caller posts each to the strand of its stream.
class BufferTable {
 public:
  explicit BufferTable(CallerBuffersSettings settings = {}) : m_buffers(settings) {}

  std::vector<CallerBuffersAction> Handle(const CallerBuffersEvent& event, TimePoint now);
  bool MayOpen(const OrganisationId& organisation) const;
  std::size_t HeldBytes() const;

 private:
  mutable std::mutex m_mutex;
  CallerBuffers m_buffers;
};

}  // namespace fulmarpoint
