#include "server/running_requests.h"

#include <utility>

namespace fulmarpoint {

RunningRequests::Entry::~Entry() {
  if (m_requests == nullptr) return;
  // The function may hold the last reference to a session, so it is destroyed after the lock is
  // released.
  Running ended;
  const std::lock_guard<std::mutex> lock(m_requests->m_mutex);
  const auto found = m_requests->m_running.find(m_number);
  if (found == m_requests->m_running.end()) return;
  ended = std::move(found->second);
  m_requests->m_running.erase(found);
}

void RunningRequests::Entry::OnHandOff(const Executor& strand, std::function<void()> hand_off) {
  if (m_requests == nullptr) return;
  const std::lock_guard<std::mutex> lock(m_requests->m_mutex);
  if (m_requests->m_handing_off) Post(strand, hand_off);
  m_requests->m_running[m_number] = {strand, std::move(hand_off)};
}

RunningRequests::Entry RunningRequests::Begin() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (m_running.size() >= m_limit) return Entry(nullptr, 0);
  const std::uint64_t number = m_next++;
  m_running.emplace(number, Running());
  return Entry(this, number);
}

std::size_t RunningRequests::Count() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_running.size();
}

void RunningRequests::HandOffAll() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_handing_off = true;
  for (const auto& [number, running] : m_running) {
    if (running.hand_off) Post(running.strand, running.hand_off);
  }
}

}  // namespace fulmarpoint
