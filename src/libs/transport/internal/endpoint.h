#pragma once

#include <boost/asio/ip/address.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "transport/address.h"

namespace fulmarpoint::internal {

/// Parses "ip:port" to an Asio endpoint; returns nothing if the text is malformed. Thread-safe.
template <typename Endpoint>
std::optional<Endpoint> ParseEndpoint(std::string_view text) {
  const std::optional<SocketAddress> address = ParseSocketAddress(text);
  if (!address) return std::nullopt;
  boost::system::error_code error;
  const boost::asio::ip::address ip = boost::asio::ip::make_address(address->ip, error);
  if (error) return std::nullopt;
  return Endpoint(ip, address->port);
}

std::string AddressText(const boost::asio::ip::address& ip, std::uint16_t port);

/// Returns "ip:port" of an Asio endpoint. Thread-safe.
template <typename Endpoint>
std::string AddressText(const Endpoint& endpoint) {
  return AddressText(endpoint.address(), endpoint.port());
}

}  // namespace fulmarpoint::internal
