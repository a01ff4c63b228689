#include <criterion/criterion.h>

#include "protocol/datagram_codec.h"
#include "protocol/result_code.h"
#include "utils/random.h"

using namespace fulmarpoint;

namespace {

constexpr std::uint64_t kSeed = 20261;

PeerDatagram Example() {
  PeerDatagram datagram;
  datagram.kind = DatagramKind::kPage;
  datagram.nonce = 77;
  datagram.from.id = {"d1", 9};
  datagram.from.address = "127.0.0.1:4000";
  datagram.from.failure_domain = "buda-a";
  datagram.cursor = "d0";
  datagram.head = {41, 120, false};
  datagram.updates.push_back(datagram.from);
  datagram.notices.push_back({GossipTopic::kVersionBad, "assistant/v2", 3, "slow"});
  return datagram;
}

}  // namespace

Test(datagram_codec, message_round_trips) {
  const DatagramCodec codec("0123456789abcdef");
  const Parsed<std::string> bytes = codec.Encode(Example());
  cr_assert(bytes.Ok());
  const Parsed<PeerDatagram> decoded = codec.Decode(bytes.Value());
  cr_assert(decoded.Ok());
  cr_assert_eq(codec.Encode(decoded.Value()).Value(), bytes.Value());
  cr_assert_eq(decoded.Value().notices.front().body, "slow");
  cr_assert_eq(decoded.Value().head.revision, 41u);
}

// Guards against acting on a message that was not made with the shared key or was changed.
Test(datagram_codec, changed_bytes_and_other_keys_are_unauthorized) {
  const DatagramCodec codec("0123456789abcdef");
  const std::string bytes = codec.Encode(Example()).Value();
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    std::string changed = bytes;
    changed[i] = static_cast<char>(changed[i] ^ 0x20);
    const Parsed<PeerDatagram> decoded = codec.Decode(changed);
    cr_assert_not(decoded.Ok());
    cr_assert_eq(decoded.Error().code, make_error_code(ResultCode::kUnauthorized));
  }
  cr_assert_not(DatagramCodec("another key 0123").Decode(bytes).Ok());
}

// Guards against crashes and large allocations on a body that was signed but is not a message.
Test(datagram_codec, hostile_bodies_are_errors) {
  const DatagramCodec codec("0123456789abcdef");
  const std::string body = codec.Encode(Example()).Value().substr(32);
  for (std::size_t size = 0; size < body.size(); ++size) {
    const std::string cut = body.substr(0, size);
    cr_assert_not(codec.Decode(codec.Sign(cut) + cut).Ok());
  }
  Random random(kSeed);
  for (int round = 0; round < 20000; ++round) {
    std::string changed = body;
    for (int i = 0; i < 3; ++i) changed[random() % changed.size()] = static_cast<char>(random());
    const Parsed<PeerDatagram> decoded = codec.Decode(codec.Sign(changed) + changed);
    if (decoded) cr_assert_leq(decoded.Value().updates.size(), 65535u, "seed %lu", kSeed);
  }
  cr_assert_not(codec.Decode(std::string(70000, 'x')).Ok());
}

// Guards against datagrams that the network would fragment.
Test(datagram_codec, message_over_the_limit_is_refused) {
  const DatagramCodec codec("0123456789abcdef");
  PeerDatagram datagram = Example();
  datagram.notices.front().body = std::string(1200, 'x');
  const Parsed<std::string> bytes = codec.Encode(datagram);
  cr_assert_not(bytes.Ok());
  cr_assert_eq(bytes.Error().code, make_error_code(ResultCode::kTooLarge));
}
