#include "state/buffer_table.h"

namespace fulmarpoint {

std::vector<CallerBuffersAction> BufferTable::Handle(const CallerBuffersEvent& event,
                                                     TimePoint now) {
  std::vector<CallerBuffersAction> actions;
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_buffers.Handle(event, now, actions);
  return actions;
}

bool BufferTable::MayOpen(const OrganisationId& organisation) const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_buffers.MayOpen(organisation);
}

std::size_t BufferTable::HeldBytes() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_buffers.HeldBytes();
}

}  // namespace fulmarpoint
