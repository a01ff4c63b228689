#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fulmarpoint {

/// An IP address and port, taken from "ip:port" or "[ipv6]:port".
struct SocketAddress {
  std::string ip;
  std::uint16_t port = 0;
};

/// Returns the address, or nothing if `text` is not an IP address with a port. Thread-safe.
std::optional<SocketAddress> ParseSocketAddress(std::string_view text);

/// Returns "ip:port" or "[ipv6]:port". Thread-safe.
std::string ToString(const SocketAddress& address);

}  // namespace fulmarpoint
