#include "transport/address.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>

#include "transport/internal/endpoint.h"

namespace fulmarpoint {

std::optional<SocketAddress> ParseSocketAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::string_view ip = text.substr(0, colon);
  const std::string_view digits = text.substr(colon + 1);
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
    ip = ip.substr(1, ip.size() - 2);
  } else if (ip.find(':') != std::string_view::npos) {
    return std::nullopt;
  }
  SocketAddress address;
  const char* end = digits.data() + digits.size();
  const std::from_chars_result parsed = std::from_chars(digits.data(), end, address.port);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  boost::system::error_code error;
  boost::asio::ip::make_address(std::string(ip), error);
  if (error) return std::nullopt;
  address.ip = ip;
  return address;
}

std::string ToString(const SocketAddress& address) {
  const bool is_v6 = address.ip.find(':') != std::string::npos;
  return (is_v6 ? "[" + address.ip + "]" : address.ip) + ":" + std::to_string(address.port);
}

namespace internal {

std::string AddressText(const boost::asio::ip::address& ip, std::uint16_t port) {
  return ToString(SocketAddress{ip.to_string(), port});
}

}  // namespace internal

}  // namespace fulmarpoint
