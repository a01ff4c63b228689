#include <criterion/criterion.h>

#include "protocol/relay_datagram.h"
#include "utils/random.h"

using namespace fulmarpoint;

namespace {

constexpr std::uint64_t kSeed = 20261204;
// Size up to which no network path fragments a datagram, without IP and UDP headers.
constexpr std::size_t kMaxUnfragmentedBytes = 1400;

RelayHeartbeat MakeOversizedHeartbeat() {
  RelayHeartbeat heartbeat;
  heartbeat.sender = 3;
  heartbeat.incarnation = 5;
  heartbeat.sequence = 9;
  heartbeat.ready = true;
  HeartbeatPayload payload;
  payload.caller_address = "10.1.0.19:8740";
  for (int index = 0; index < 40; ++index) {
    payload.streams.push_back({"i-0123456789", "i-abcdefabcd", 77, 5000, 5800});
    payload.failed_endpoints.push_back("i-0123456789");
  }
  heartbeat.payload = payload;
  return heartbeat;
}

std::optional<RelayHeartbeat> Decode(std::string_view bytes) {
  const std::optional<RelayDatagram> datagram = DecodeRelayDatagram(bytes);
  if (!datagram || !std::holds_alternative<RelayHeartbeat>(*datagram)) return std::nullopt;
  return std::get<RelayHeartbeat>(*datagram);
}

}  // namespace

// Guards against heartbeats that are fragmented, and so lost more often, when a daemon has many
// streams.
Test(relay_heartbeat, full_heartbeat_fits_into_datagram) {
  const std::string bytes = EncodeDatagram(MakeOversizedHeartbeat());
  cr_assert_leq(bytes.size(), kMaxUnfragmentedBytes);
  const std::optional<RelayHeartbeat> decoded = Decode(bytes);
  cr_assert(decoded.has_value());
  cr_assert_eq(decoded->payload->streams.size(), kMaxHeartbeatStreams);
  cr_assert_eq(decoded->payload->failed_endpoints.size(), kMaxHeartbeatFailures);
  cr_assert_eq(decoded->payload->streams[0].pending_prefill_tokens, 5000u);
  cr_assert(decoded->ready && !decoded->leaving);
}

// Guards against heartbeat traffic between idle daemons: to ten peers, five times per second, 30
// bytes take a quarter of the budget of 6 KB per second for control traffic.
Test(relay_heartbeat, heartbeat_without_payload_is_short) {
  RelayHeartbeat heartbeat = MakeOversizedHeartbeat();
  heartbeat.payload.reset();
  const std::string bytes = EncodeDatagram(heartbeat);
  cr_assert_leq(bytes.size(), 30u);
  const std::optional<RelayHeartbeat> decoded = Decode(bytes);
  cr_assert(decoded && !decoded->payload && decoded->sequence == 9);
}

// Guards against corrupt datagrams that crash the daemon or make it allocate much memory.
Test(relay_heartbeat, corrupt_datagrams_are_rejected_or_harmless) {
  const std::string bytes = EncodeDatagram(MakeOversizedHeartbeat());
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    cr_assert_not(Decode(std::string_view(bytes).substr(0, size)).has_value());
  }
  cr_assert_not(Decode(bytes + "x").has_value());
  Random random(kSeed);
  for (int round = 0; round < 20000; ++round) {
    std::string corrupt = bytes;
    corrupt[random() % corrupt.size()] = static_cast<char>(random());
    const std::optional<RelayHeartbeat> decoded = Decode(corrupt);
    if (!decoded || !decoded->payload) continue;
    cr_assert_leq(decoded->payload->streams.size(), bytes.size(), "seed %lu", kSeed);
  }
}

// Guards against messages of one type that are decoded as another.
Test(relay_datagram, prompt_location_round_trips) {
  const std::string bytes = EncodeDatagram(PromptLocationUpdate{77, "i-1"});
  cr_assert_not(Decode(bytes).has_value());
  const std::optional<RelayDatagram> datagram = DecodeRelayDatagram(bytes);
  cr_assert(datagram && std::get<PromptLocationUpdate>(*datagram).endpoint == "i-1");
  cr_assert_not(DecodeRelayDatagram(bytes.substr(0, bytes.size() - 1)).has_value());
}
