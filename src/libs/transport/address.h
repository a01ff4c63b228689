#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fulmarpoint {

/// An IP address without brackets and a port.
struct SocketAddress {
  std::string ip;
  std::uint16_t port = 0;
};

/// Parses "ip:port" or "[ipv6]:port"; returns nothing for any other text. Host names are not
/// resolved. Thread-safe.
std::optional<SocketAddress> ParseSocketAddress(std::string_view text);

/// Returns "ip:port" or "[ipv6]:port". Thread-safe.
std::string ToString(const SocketAddress& address);

}  // namespace fulmarpoint
