#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

#include "transport/task.h"

namespace fulmarpoint {

/// A received datagram, or an error. `from` is "ip:port".
struct Datagram {
  std::error_code error;
  std::string from;
  std::string data;
};

/// Sends and receives UDP datagrams. `Send()` and `Close()` are thread-safe; only one `Receive()`
/// may be pending.
class UdpSocket {
 public:
  /// Starts a TCP server on "ip:port".
  using Listen = std::function<std::error_code(const std::string& address)>;

  explicit UdpSocket(const Executor& executor);
  /// Closes the socket.
  ~UdpSocket();
  UdpSocket(const UdpSocket&) = delete;
  UdpSocket& operator=(const UdpSocket&) = delete;

  /// Opens "ip:port"; port 0 selects a free port. Call it before the other functions.
  std::error_code Open(std::string_view address);
  /// Opens "ip:port" and calls `listen` for the same TCP port. If the port is 0 and the kernel
  /// chooses one that is in use for TCP, retries with another, up to 16 times in all. On an error
  /// the socket is closed and can be opened again.
  std::error_code OpenWithTcp(std::string_view address, const Listen& listen);
  /// Returns "ip:port" of the open socket.
  std::string Address() const;
  /// Sends without blocking. If the kernel's send buffer is full, drops the datagram and returns an
  /// error.
  std::error_code Send(std::string_view to, std::string_view data);
  Task<Datagram> Receive();
  /// Closes the socket; a pending `Receive()` completes with an error.
  void Close();

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace fulmarpoint
