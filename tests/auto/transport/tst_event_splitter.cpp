#include <criterion/criterion.h>

#include "transport/event_splitter.h"

using namespace fulmarpoint;

// Guards against events that are altered when they are forwarded, or combined from parts of two
// attempts.
Test(event_splitter, keeps_every_byte_of_whole_events) {
  const std::string first = "id: 1\ndata: a\n\n";
  const std::string second = "fulmarpoint: x\r\nid:2\r\ndata: b\r\n\r\n";
  const std::string all = first + second + "id: 3\nda";
  for (std::size_t cut = 0; cut <= all.size(); ++cut) {
    EventSplitter splitter;
    cr_assert(splitter.Append(all.substr(0, cut)));
    cr_assert(splitter.Append(all.substr(cut)));
    cr_assert(splitter.HasEvent());
    RawEvent event = splitter.Take();
    cr_assert(event.bytes == first);
    cr_assert_eq(event.id.value_or(0), 1u);
    event = splitter.Take();
    cr_assert(event.bytes == second);
    cr_assert_eq(event.id.value_or(0), 2u);
    cr_assert_not(splitter.HasEvent());
    cr_assert(splitter.HasPartial());
  }
}

// Guards against ids parsed from text that is not a number, and against events of unlimited size.
Test(event_splitter, invalid_ids_and_oversized_events_are_detected) {
  EventSplitter splitter;
  cr_assert(splitter.Append("id: 1x\ndata: a\n\n: comment\n\n"));
  cr_assert_not(splitter.Take().id.has_value());
  cr_assert_not(splitter.Take().id.has_value());
  cr_assert_not(splitter.HasPartial());
  cr_assert_not(splitter.Append(std::string(300 * 1024, 'x')));
}
