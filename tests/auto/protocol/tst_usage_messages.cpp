#include <criterion/criterion.h>

#include "protocol/usage_messages.h"

using namespace fulmarpoint;

// Guards against a holder that reads the rows from a key on and misses later windows, because a
// longer number is lower as a text.
Test(usage_messages, keys_are_in_the_order_of_the_windows) {
  cr_assert_lt(RowKeyOf(9), RowKeyOf(10));
  cr_assert_lt(RowKeyOf(99'999'999), RowKeyOf(353'445'120));
}

// Guards against a successor that repeats a report with other counts than those stored.
Test(usage_messages, a_stored_report_is_read_back_unchanged) {
  const UsageReport report{353'445'120, {{"huka270", 412}, {"puhu251", 0}}};
  cr_assert(ParseUsageReport(ToJson(report)) == report);
  const UsageReport empty{7, {}};
  cr_assert(ParseUsageReport(ToJson(empty)) == empty);
}

// Guards against a damaged row that is reported as a window without requests.
Test(usage_messages, a_damaged_row_is_no_report) {
  for (const char* text : {"", "[]", "{", R"({"window":1})", R"({"counts":{}})",
                           R"({"window":1,"counts":{"huka270":"many"}})"}) {
    cr_assert_not(ParseUsageReport(text).has_value(), "%s", text);
  }
}
