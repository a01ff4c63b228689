#include "coordination/gossip_queue.h"

#include <algorithm>

namespace fulmarpoint {

bool NoticeBoard::Add(const GossipMessage& notice) {
  if (EncodedSize(notice) > kMaxNoticeBytes) return false;
  const Key key(notice.topic, notice.key);
  const auto known = m_notices.find(key);
  if (known != m_notices.end() && known->second.version >= notice.version) return false;
  if (known == m_notices.end()) m_age.push_back(key);
  m_notices[key] = notice;
  std::erase_if(m_queue, [&key](const std::pair<Key, int>& item) { return item.first == key; });
  m_queue.emplace_front(key, 0);
  if (m_notices.size() > kMaxNotices) {
    m_notices.erase(m_age.front());
    m_age.pop_front();
  }
  return true;
}

std::size_t NoticeBoard::Fill(PeerDatagram& datagram, std::size_t budget, int limit) {
  std::size_t used = 0;
  for (std::size_t left = m_queue.size(); left > 0; --left) {
    std::pair<Key, int> item = m_queue.front();
    const auto notice = m_notices.find(item.first);
    if (notice == m_notices.end()) {
      m_queue.pop_front();
      continue;
    }
    const std::size_t size = EncodedSize(notice->second);
    if (used + size > budget) break;
    m_queue.pop_front();
    datagram.notices.push_back(notice->second);
    used += size;
    if (++item.second < limit) m_queue.push_back(std::move(item));
  }
  return used;
}

std::uint32_t NoticeBoard::FillPage(PeerDatagram& datagram, std::size_t budget,
                                    std::uint32_t first) const {
  std::size_t used = 0;
  std::uint32_t number = 0;
  for (const auto& [key, notice] : m_notices) {
    if (number++ < first) continue;
    const std::size_t size = EncodedSize(notice);
    if (used + size > budget) return number - 1;
    datagram.notices.push_back(notice);
    used += size;
  }
  return 0;
}

std::size_t NoticeBoard::StateBytes() const {
  std::size_t bytes = 0;
  for (const auto& [key, notice] : m_notices) bytes += 3 * EncodedSize(notice) + 100;
  return bytes;
}

}  // namespace fulmarpoint
