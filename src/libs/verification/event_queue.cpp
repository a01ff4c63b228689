#include "verification/event_queue.h"

#include <algorithm>

namespace fulmarpoint {

EventQueue::EventQueue(std::uint64_t seed) : m_shuffle_ties(seed != 0), m_random(seed) {}

void EventQueue::At(TimePoint at, Callback callback) {
  const std::uint64_t tie = m_shuffle_ties ? m_random() : 0;
  m_callbacks.emplace(Key{std::max(at, m_now), {tie, m_sequence++}}, std::move(callback));
}

bool EventQueue::RunNext() {
  if (m_callbacks.empty()) return false;
  const auto first = m_callbacks.begin();
  m_now = first->first.first;
  const Callback callback = std::move(first->second);
  m_callbacks.erase(first);
  callback();
  return true;
}

void EventQueue::RunUntil(TimePoint end) {
  while (!m_callbacks.empty() && m_callbacks.begin()->first.first <= end) RunNext();
  m_now = std::max(m_now, end);
}

}  // namespace fulmarpoint
