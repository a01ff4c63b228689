#include "transport/internal/frame_stream.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "transport/internal/completion.h"
#include "transport/internal/deadline.h"

namespace fulmarpoint::internal {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kHeadBytes = kLengthBytes + 1 + 8;

void AppendBigEndian(std::uint64_t value, std::size_t bytes, std::string& text) {
  for (std::size_t i = bytes; i-- > 0;) text.push_back(static_cast<char>(value >> (8 * i)));
}

std::uint64_t ReadBigEndian(const unsigned char* data, std::size_t bytes) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < bytes; ++i) value = (value << 8) | data[i];
  return value;
}

std::string Encode(const Frame& frame) {
  std::string bytes;
  bytes.reserve(kHeadBytes + frame.payload.size());
  AppendBigEndian(frame.payload.size(), kLengthBytes, bytes);
  bytes.push_back(static_cast<char>(frame.kind));
  AppendBigEndian(frame.id, 8, bytes);
  return bytes + frame.payload;
}

}  // namespace

FrameStream::FrameStream(tcp::socket socket, Executor strand, FrameLimits limits)
    : m_socket(std::move(socket)), m_strand(std::move(strand)), m_limits(limits) {}

Task<boost::system::error_code> FrameStream::Connect(const tcp::endpoint& endpoint) {
  const std::shared_ptr<FrameStream> self = shared_from_this();
  const Deadline deadline(m_strand, m_limits.connect_timeout, [this]() { Close(); });
  auto [error] = co_await m_socket.async_connect(endpoint, kCompletion);
  if (deadline.Expired()) co_return asio::error::timed_out;
  boost::system::error_code ignored;
  if (!error) m_socket.set_option(tcp::no_delay(true), ignored);
  co_return error;
}

Task<boost::system::error_code> FrameStream::Read(Frame& frame, Duration idle_timeout) {
  const std::shared_ptr<FrameStream> self = shared_from_this();
  std::array<unsigned char, kHeadBytes> head{};
  {
    const Deadline idle(m_strand, idle_timeout, [this]() { Close(); });
    auto [error] = co_await m_socket.async_wait(tcp::socket::wait_read, kCompletion);
    if (error) co_return error;
  }
  const Deadline deadline(m_strand, m_limits.frame_time, [this]() { Close(); });
  const IoResult head_read = co_await asio::async_read(m_socket, asio::buffer(head), kCompletion);
  boost::system::error_code error = std::get<0>(head_read);
  if (!error) {
    const std::uint64_t size = ReadBigEndian(head.data(), kLengthBytes);
    if (size > m_limits.frame_bytes) error = asio::error::message_size;
    if (!error) {
      frame.kind = static_cast<FrameKind>(head[kLengthBytes]);
      frame.id = ReadBigEndian(head.data() + kLengthBytes + 1, 8);
      frame.payload.resize(size);
      const IoResult read =
          co_await asio::async_read(m_socket, asio::buffer(frame.payload), kCompletion);
      error = std::get<0>(read);
    }
  }
  if (error) Close();
  co_return error;
}

void FrameStream::Write(const Frame& frame, std::function<void()> on_start) {
  m_queue.push_back({Encode(frame), std::move(on_start)});
  if (std::exchange(m_writing, true)) return;
  Spawn(m_strand, [self = shared_from_this()]() { return self->WriteQueued(); });
}

Task<void> FrameStream::WriteQueued() {
  const std::shared_ptr<FrameStream> self = shared_from_this();
  while (!m_queue.empty() && m_socket.is_open()) {
    const Pending pending = std::move(m_queue.front());
    m_queue.pop_front();
    if (pending.on_start) pending.on_start();
    const Deadline deadline(m_strand, m_limits.frame_time, [this]() { Close(); });
    const IoResult written =
        co_await asio::async_write(m_socket, asio::buffer(pending.bytes), kCompletion);
    if (std::get<0>(written)) Close();
  }
  m_queue.clear();
  m_writing = false;
}

void FrameStream::Close() {
  boost::system::error_code ignored;
  m_socket.close(ignored);
}

}  // namespace fulmarpoint::internal
