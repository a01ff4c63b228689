#pragma once

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <sys/socket.h>
#include <unistd.h>

#include <optional>
#include <string>

#include "transport/address.h"

namespace fulmarpoint {

/// Blocking connection that sends bytes which `HttpClient` would not send.
class RawConnection {
 public:
  explicit RawConnection(const std::string& address) : m_fd(::socket(AF_INET, SOCK_STREAM, 0)) {
    const std::optional<SocketAddress> parsed = ParseSocketAddress(address);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(parsed->port);
    inet_pton(AF_INET, parsed->ip.c_str(), &to.sin_addr);
    cr_assert_eq(::connect(m_fd, reinterpret_cast<sockaddr*>(&to), sizeof to), 0);
  }
  ~RawConnection() { Close(); }
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  void Send(const std::string& text) { ::send(m_fd, text.data(), text.size(), MSG_NOSIGNAL); }
  /// Reads until the peer closes.
  std::string ReadAll() {
    std::string all;
    char part[4096];
    for (ssize_t got = 0; (got = ::recv(m_fd, part, sizeof part, 0)) > 0;) all.append(part, got);
    return all;
  }
  std::string ReadSome() {
    char part[4096];
    const ssize_t got = ::recv(m_fd, part, sizeof part, 0);
    return got > 0 ? std::string(part, got) : "";
  }
  void Close() {
    if (m_fd >= 0) ::close(m_fd);
    m_fd = -1;
  }

 private:
  int m_fd;
};

}  // namespace fulmarpoint
