#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "transport/framed_connection.h"

namespace fulmarpoint::internal {

enum class FrameKind : std::uint8_t { kRequest = 1, kReply = 2 };

struct Frame {
  FrameKind kind = FrameKind::kRequest;
  std::uint64_t id = 0;
  std::string payload;
};

/// Reads and writes frames on one socket. Used on one strand.
class FrameStream : public std::enable_shared_from_this<FrameStream> {
 public:
  FrameStream(boost::asio::ip::tcp::socket socket, Executor strand, FrameLimits limits);

  Task<boost::system::error_code> Connect(const boost::asio::ip::tcp::endpoint& endpoint);
  /// Reads one frame; closes the socket on an error. `idle_timeout` limits the wait for its start.
  Task<boost::system::error_code> Read(Frame& frame, Duration idle_timeout);
  /// Queues a frame. `on_start` runs before its first byte is handed to the kernel.
  void Write(const Frame& frame, std::function<void()> on_start);
  void Close();
  bool IsOpen() const { return m_socket.is_open(); }

 private:
  struct Pending {
    std::string bytes;
    std::function<void()> on_start;
  };

  Task<void> WriteQueued();

  boost::asio::ip::tcp::socket m_socket;
  Executor m_strand;
  FrameLimits m_limits;
  std::deque<Pending> m_queue;
  bool m_writing = false;
};

}  // namespace fulmarpoint::internal
