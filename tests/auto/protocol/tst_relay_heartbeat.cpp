#include <criterion/criterion.h>

#include "protocol/relay_datagram.h"
#include "utils/random.h"

using namespace fulmarpoint;

namespace {

constexpr std::uint64_t kSeed = 20261204;
// The smallest datagram size that every path carries whole, less its headers.
constexpr std::size_t kMaxBytes = 1400;

RelayHeartbeat Full() {
  RelayHeartbeat heartbeat;
  heartbeat.sender = 3;
  heartbeat.incarnation = 5;
  heartbeat.sequence = 9;
  heartbeat.ready = true;
  HeartbeatPayload news;
  news.caller_address = "10.1.0.19:8740";
  for (int index = 0; index < 40; ++index) {
    news.streams.push_back({"i-0123456789", "i-abcdefabcd", 77, 5000, 5800});
    news.failed_endpoints.push_back("i-0123456789");
  }
  heartbeat.payload = news;
  return heartbeat;
}

std::optional<RelayHeartbeat> Decode(std::string_view bytes) {
  const std::optional<RelayDatagram> datagram = DecodeRelayDatagram(bytes);
  if (!datagram || !std::holds_alternative<RelayHeartbeat>(*datagram)) return std::nullopt;
  return std::get<RelayHeartbeat>(*datagram);
}

}  // namespace

// Guards against datagrams that are fragmented and lost when a daemon has many streams.
Test(relay_heartbeat, a_full_heartbeat_fits_into_a_datagram) {
  const std::string bytes = EncodeDatagram(Full());
  cr_assert_leq(bytes.size(), kMaxBytes);
  const std::optional<RelayHeartbeat> decoded = Decode(bytes);
  cr_assert(decoded.has_value());
  cr_assert_eq(decoded->payload->streams.size(), kMaxHeartbeatStreams);
  cr_assert_eq(decoded->payload->failed_endpoints.size(), kMaxHeartbeatFailures);
  cr_assert_eq(decoded->payload->streams[0].pending_prefill_tokens, 5000u);
  cr_assert(decoded->ready && !decoded->leaving);
}

// Guards against traffic between daemons that have nothing to tell: ten neighbours, five times a
// second, are a quarter of the 6 KB a second that control may take.
Test(relay_heartbeat, one_without_news_is_short) {
  RelayHeartbeat heartbeat = Full();
  heartbeat.payload.reset();
  const std::string bytes = EncodeDatagram(heartbeat);
  cr_assert_leq(bytes.size(), 30u);
  const std::optional<RelayHeartbeat> decoded = Decode(bytes);
  cr_assert(decoded && !decoded->payload && decoded->sequence == 9);
}

// Guards against a crash or a huge allocation by a damaged datagram.
Test(relay_heartbeat, damaged_datagrams_are_rejected_or_harmless) {
  const std::string bytes = EncodeDatagram(Full());
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    cr_assert_not(Decode(std::string_view(bytes).substr(0, size)).has_value());
  }
  cr_assert_not(Decode(bytes + "x").has_value());
  Random random(kSeed);
  for (int round = 0; round < 20000; ++round) {
    std::string damaged = bytes;
    damaged[random() % damaged.size()] = static_cast<char>(random());
    const std::optional<RelayHeartbeat> decoded = Decode(damaged);
    if (!decoded || !decoded->payload) continue;
    cr_assert_leq(decoded->payload->streams.size(), bytes.size(), "seed %lu", kSeed);
  }
}

// Guards against notices that are taken for heartbeats.
Test(relay_datagram, notices_survive_the_wire) {
  const std::string bytes = EncodeDatagram(PromptLocationUpdate{77, "i-1"});
  cr_assert_not(Decode(bytes).has_value());
  const std::optional<RelayDatagram> datagram = DecodeRelayDatagram(bytes);
  cr_assert(datagram && std::get<PromptLocationUpdate>(*datagram).endpoint == "i-1");
  cr_assert_not(DecodeRelayDatagram(bytes.substr(0, bytes.size() - 1)).has_value());
}
