#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

#include "protocol/peer_messages.h"

namespace fulmarpoint {

/// Notices of other modules that every daemon must learn, in bounded memory: the oldest notice is
/// dropped when there are more than `kMaxNotices`. Each is sent a bounded number of times and
/// handed to daemons that join or return. Not thread-safe.
class NoticeBoard {
 public:
  static constexpr std::size_t kMaxNotices = 512;
  static constexpr std::size_t kMaxNoticeBytes = 400;

  /// Stores a notice; returns false if it is too large or not newer than the stored one.
  bool Add(const GossipMessage& notice);
  /// Adds notices that were sent fewer than `limit` times to `datagram`, up to `budget` bytes;
  /// returns the bytes used.
  std::size_t Fill(PeerDatagram& datagram, std::size_t budget, int limit);
  /// Adds stored notices from number `first` on; returns the number of the next, or 0 at the end.
  std::uint32_t FillPage(PeerDatagram& datagram, std::size_t budget, std::uint32_t first) const;
  std::size_t Size() const { return m_notices.size(); }
  std::size_t StateBytes() const;

 private:
  using Key = std::pair<GossipTopic, std::string>;

  std::map<Key, GossipMessage> m_notices;
  std::deque<Key> m_age;
  std::deque<std::pair<Key, int>> m_queue;
};

}  // namespace fulmarpoint
