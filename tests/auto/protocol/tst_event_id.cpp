#include <criterion/criterion.h>

#include "protocol/event_id.h"

using namespace fulmarpoint;

namespace {

const std::string kKey(32, 'k');
const std::string kOtherKey(32, 'o');

ResumePoint MakePoint() {
  ResumePoint point;
  point.request = {1, 2};
  point.endpoint = "engine-1";
  point.stream = "stream-1";
  point.attempt = 3;
  point.version = "v1";
  point.seed = 4;
  point.position = 5;
  point.token_hash = 6;
  point.request_hash = 7;
  return point;
}

}  // namespace

Test(event_id, point_round_trips) {
  const EventIdCodec codec(kKey, "");
  const std::string id = codec.Encode(MakePoint(), "org");
  cr_assert(codec.Decode(id, "org") == MakePoint());
  cr_assert_eq(id.find_first_of("\r\n ="), std::string::npos);
}

// Guards against callers that continue a generation of another organisation, or at a position that
// was not delivered.
Test(event_id, changed_or_foreign_id_is_rejected) {
  const EventIdCodec codec(kKey, "");
  const std::string id = codec.Encode(MakePoint(), "org");
  cr_assert_not(codec.Decode(id, "other").has_value());
  for (std::size_t i = 0; i + 1 < id.size(); ++i) {
    std::string changed = id;
    changed[i] = changed[i] == 'A' ? 'B' : 'A';
    cr_assert_not(codec.Decode(changed, "org").has_value(), "position %zu", i);
    cr_assert_not(codec.Decode(id.substr(0, i), "org").has_value(), "length %zu", i);
  }
  cr_assert_not(codec.Decode(std::string(100'000, 'A'), "org").has_value());
}

// Guards against callers that can't resume a stream during a rotation of the shared key.
Test(event_id, previous_key_is_accepted) {
  const std::string id = EventIdCodec(kOtherKey, "").Encode(MakePoint(), "org");
  cr_assert(EventIdCodec(kKey, kOtherKey).Decode(id, "org").has_value());
  cr_assert_not(EventIdCodec(kKey, "").Decode(id, "org").has_value());
}
