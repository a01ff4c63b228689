#include "transport/udp_socket.h"

#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/udp.hpp>
#include <mutex>
#include <utility>

#include "transport/address.h"
#include "transport/internal/completion.h"
#include "transport/internal/endpoint.h"

namespace fulmarpoint {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

constexpr std::size_t kMaxDatagramBytes = std::size_t{64} * 1024;
constexpr int kMaxPortAttempts = 16;

}  // namespace

struct UdpSocket::State {
  explicit State(const Executor& executor) : strand(MakeStrand(executor)), socket(strand) {}

  Executor strand;
  udp::socket socket;
  std::string address;
  /// Guards `closed`. Held during a send, which does not block, so that the socket is not closed
  /// meanwhile.
  std::mutex mutex;
  bool closed = false;
};

UdpSocket::UdpSocket(const Executor& executor) : m_state(std::make_shared<State>(executor)) {}

UdpSocket::~UdpSocket() { Close(); }

std::error_code UdpSocket::Open(std::string_view address) {
  const std::optional<udp::endpoint> endpoint = internal::ParseEndpoint<udp::endpoint>(address);
  if (!endpoint) return std::make_error_code(std::errc::invalid_argument);
  boost::system::error_code error;
  m_state->socket.open(endpoint->protocol(), error);
  if (!error) m_state->socket.bind(*endpoint, error);
  if (!error) m_state->socket.non_blocking(true, error);
  if (!error) m_state->address = internal::AddressText(m_state->socket.local_endpoint(error));
  if (error) {
    // Lets the caller try another address.
    boost::system::error_code ignored;
    m_state->socket.close(ignored);
  }
  return error;
}

std::error_code UdpSocket::OpenWithTcp(std::string_view address, const Listen& listen) {
  const std::optional<SocketAddress> parsed = ParseSocketAddress(address);
  const int attempts = parsed && parsed->port == 0 ? kMaxPortAttempts : 1;
  std::error_code error;
  for (int attempt = 0; attempt < attempts; ++attempt) {
    error = Open(address);
    if (error) return error;
    error = listen(m_state->address);
    if (!error) return {};
    boost::system::error_code ignored;
    m_state->socket.close(ignored);
    if (error != std::errc::address_in_use) return error;
  }
  return error;
}

std::string UdpSocket::Address() const { return m_state->address; }

std::error_code UdpSocket::Send(std::string_view to, std::string_view data) {
  const std::optional<udp::endpoint> endpoint = internal::ParseEndpoint<udp::endpoint>(to);
  if (!endpoint) return std::make_error_code(std::errc::invalid_argument);
  const std::lock_guard<std::mutex> lock(m_state->mutex);
  if (m_state->closed) return std::make_error_code(std::errc::not_connected);
  boost::system::error_code error;
  m_state->socket.send_to(asio::buffer(data.data(), data.size()), *endpoint, 0, error);
  return error;
}

Task<Datagram> UdpSocket::Receive() {
  const std::shared_ptr<State> state = m_state;
  Datagram datagram;
  udp::endpoint from;
  datagram.data.resize(kMaxDatagramBytes);
  co_await SwitchTo(state->strand);
  if (!state->socket.is_open()) {
    datagram.error = std::make_error_code(std::errc::not_connected);
    co_return datagram;
  }
  const internal::IoResult received = co_await state->socket.async_receive_from(
      asio::buffer(datagram.data), from, internal::kCompletion);
  datagram.error = std::get<0>(received);
  datagram.data.resize(std::get<1>(received));
  if (!datagram.error) datagram.from = internal::AddressText(from);
  co_return datagram;
}

void UdpSocket::Close() {
  {
    const std::lock_guard<std::mutex> lock(m_state->mutex);
    if (std::exchange(m_state->closed, true)) return;
  }
  Post(m_state->strand, [state = m_state]() {
    boost::system::error_code ignored;
    state->socket.close(ignored);
  });
}

}  // namespace fulmarpoint
