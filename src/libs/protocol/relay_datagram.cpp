#include "protocol/relay_datagram.h"

#include <cereal/types/variant.hpp>

#include "protocol/body_codec.h"

namespace fulmarpoint {

std::string EncodeDatagram(RelayDatagram datagram) {
  if (RelayHeartbeat* heartbeat = std::get_if<RelayHeartbeat>(&datagram)) Shorten(*heartbeat);
  return internal::EncodeBody(datagram);
}

std::optional<RelayDatagram> DecodeRelayDatagram(std::string_view bytes) {
  std::optional<RelayDatagram> datagram = internal::TryDecodeBody<RelayDatagram>(bytes);
  if (!datagram) return std::nullopt;
  const RelayHeartbeat* heartbeat = std::get_if<RelayHeartbeat>(&*datagram);
  const bool is_incomplete =
      heartbeat != nullptr && heartbeat->payload && heartbeat->payload->caller_address.empty();
  if (is_incomplete) return std::nullopt;
  return datagram;
}

}  // namespace fulmarpoint
