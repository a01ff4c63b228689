#include "coordination/gossip_queue.h"

#include <algorithm>

namespace fulmarpoint {

bool GossipQueue::Add(const GossipMessage& message) {
  if (EncodedSize(message) > kMaxMessageBytes) return false;
  const Key key(message.topic, message.key);
  const auto known = m_messages.find(key);
  if (known != m_messages.end() && known->second.version >= message.version) return false;
  if (known == m_messages.end()) m_insertion_order.push_back(key);
  m_messages[key] = message;
  std::erase_if(m_queue, [&key](const std::pair<Key, int>& item) { return item.first == key; });
  m_queue.emplace_front(key, 0);
  if (m_messages.size() > kMaxMessages) {
    m_messages.erase(m_insertion_order.front());
    m_insertion_order.pop_front();
  }
  return true;
}

std::size_t GossipQueue::Fill(PeerDatagram& datagram, std::size_t budget, int limit) {
  std::size_t used = 0;
  for (std::size_t left = m_queue.size(); left > 0; --left) {
    std::pair<Key, int> item = m_queue.front();
    const auto message = m_messages.find(item.first);
    if (message == m_messages.end()) {
      m_queue.pop_front();
      continue;
    }
    const std::size_t size = EncodedSize(message->second);
    if (used + size > budget) break;
    m_queue.pop_front();
    datagram.messages.push_back(message->second);
    used += size;
    if (++item.second < limit) m_queue.push_back(std::move(item));
  }
  return used;
}

std::uint32_t GossipQueue::FillPage(PeerDatagram& datagram, std::size_t budget,
                                    std::uint32_t first) const {
  std::size_t used = 0;
  std::uint32_t number = 0;
  for (const auto& [key, message] : m_messages) {
    if (number++ < first) continue;
    const std::size_t size = EncodedSize(message);
    if (used + size > budget) return number - 1;
    datagram.messages.push_back(message);
    used += size;
  }
  return 0;
}

std::size_t GossipQueue::StateBytes() const {
  std::size_t bytes = 0;
  for (const auto& [key, message] : m_messages) bytes += 3 * EncodedSize(message) + 100;
  return bytes;
}

}  // namespace fulmarpoint
