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
    cr_assert_not(splitter.Finish());
  }
}

// Guards against ids parsed from text that is not a number, and against events of unlimited size.
Test(event_splitter, invalid_ids_and_oversized_events_are_detected) {
  for (const char* id : {"1x", "", "-1", "+1", "1.0", "0x1", "1 ", "18446744073709551616"}) {
    EventSplitter splitter;
    cr_assert_not(splitter.Append("id: " + std::string(id) + "\ndata: a\n\n"), "%s", id);
    cr_assert(splitter.Error() == EventStreamError::kInvalidId, "%s", id);
    cr_assert_not(splitter.HasEvent(), "%s", id);
  }
  EventSplitter two_ids;
  cr_assert_not(two_ids.Append("id: 1\ndata: a\nid: 2\n\n"));
  EventSplitter splitter;
  cr_assert(splitter.Append(": comment\n\n"));
  cr_assert_not(splitter.Take().id.has_value());
  cr_assert(splitter.Finish());
  cr_assert_not(splitter.Append(std::string(300 * 1024, 'x')));
  cr_assert(splitter.Error() == EventStreamError::kEventTooLarge);
}

// Guards against text of something else that is taken for events.
Test(event_splitter, lines_that_are_no_fields_are_detected) {
  for (const char* line : {"<html>", "HTTP/1.1 502 Bad Gateway", "{\"error\": 1}", "lost",
                           "2026-12-08 00:00:01 ERROR: lost", "a b: c", "\xFF: x"}) {
    EventSplitter splitter;
    cr_assert_not(splitter.Append("id: 1\n" + std::string(line) + "\n\n"), "%s", line);
    cr_assert(splitter.Error() == EventStreamError::kInvalidLine, "%s", line);
  }
  EventSplitter headers;
  cr_assert_not(headers.Append("id: 1\ndata: a\n\nServer: x\r\nContent-Length: 0\r\n\r\n"));
  cr_assert(headers.Error() == EventStreamError::kUnknownFields);
  cr_assert_eq(headers.Take().id.value_or(0), 1u);
  cr_assert_not(headers.HasEvent());
}

// Guards against an event that a sender broke off within and that is taken for a whole one.
Test(event_splitter, events_that_may_have_been_cut_are_doubtful) {
  for (const char* event :
       {"id: 1\n\n", "id: 1\ndata: a\r\n\r\n", "id: 1\ndata: a\xFF\n\n", "id: 1\ndata: \x01\n\n"}) {
    EventSplitter splitter;
    cr_assert(splitter.Append(event));
    cr_assert(splitter.Take().is_doubtful, "%s", event);
  }
  const std::string event = "id: 1\r\ndata: a\xC3\xA9\r\n\r\n";
  for (std::size_t cut = 0; cut < event.size(); ++cut) {
    EventSplitter splitter;
    cr_assert(splitter.Append(event.substr(0, cut)));
    cr_assert(splitter.Append(event.substr(cut)));
    const bool is_in_parts = cut > 0 && cut < event.size() - 1;
    cr_assert_eq(splitter.Take().is_doubtful, is_in_parts, "%zu", cut);
  }
}

// Guards against streams whose lines end with CR, CRLF or both kinds, wherever they are cut.
Test(event_splitter, lines_end_with_all_kinds_of_line_ends) {
  const std::string all = "id: 1\rdata: a\r\rid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
  for (std::size_t cut = 0; cut <= all.size(); ++cut) {
    EventSplitter splitter;
    cr_assert(splitter.Append(all.substr(0, cut)));
    cr_assert(splitter.Append(all.substr(cut)));
    cr_assert(splitter.Finish());
    std::string bytes;
    for (std::uint64_t id = 1; id <= 3; ++id) {
      cr_assert(splitter.HasEvent());
      const RawEvent event = splitter.Take();
      cr_assert_eq(event.id.value_or(0), id);
      bytes += event.bytes;
    }
    cr_assert(bytes == all);
  }
}
