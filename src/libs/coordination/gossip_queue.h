#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

#include "protocol/peer_messages.h"

namespace fulmarpoint {

/// Messages of other modules that gossip spreads to every daemon. Holds at most `kMaxMessages`
/// messages and drops the oldest beyond that. Each message is piggybacked a bounded number of
/// times, and read by daemons that join or return. Not thread-safe.
class GossipQueue {
 public:
  static constexpr std::size_t kMaxMessages = 512;
  static constexpr std::size_t kMaxMessageBytes = 400;

  /// Stores a message; returns false if it is too large or not newer than the stored one.
  bool Add(const GossipMessage& message);
  /// Adds messages that were sent fewer than `limit` times to `datagram`, up to `budget` bytes;
  /// returns the number of bytes used.
  std::size_t Fill(PeerDatagram& datagram, std::size_t budget, int limit);
  /// Adds up to `budget` bytes of stored messages, starting with index `first`; returns the index
  /// of the next message, or 0 if there is none.
  std::uint32_t FillPage(PeerDatagram& datagram, std::size_t budget, std::uint32_t first) const;
  std::size_t Size() const { return m_messages.size(); }
  /// Returns the approximate number of bytes in use.
  std::size_t StateBytes() const;

 private:
  using Key = std::pair<GossipTopic, std::string>;

  std::map<Key, GossipMessage> m_messages;
  std::deque<Key> m_insertion_order;
  std::deque<std::pair<Key, int>> m_queue;
};

}  // namespace fulmarpoint
