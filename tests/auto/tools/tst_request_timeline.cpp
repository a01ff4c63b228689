#include <criterion/criterion.h>

#include "request_timeline.h"

using namespace fulmarpoint;
using namespace fulmarpoint::ctl;

namespace {

constexpr char kRequestFailure[] =
    "2026-10-11T14:58:12.762 WARNING event=run_abandoned request=r1 endpoint=e1 after=17 "
    "reason=\"stream: \\\"cut\\\"\"";

std::vector<LogLine> TimelineOf(const std::vector<std::pair<std::string, std::string>>& lines) {
  RequestTimeline timeline("r1");
  for (const auto& [source, text] : lines) {
    LogLine line;
    if (ParseLogLine(text, source, line)) timeline.Add(line);
  }
  return timeline.Lines();
}

}  // namespace

// Guards against log lines of a daemon that the parser rejects or misreads.
Test(request_timeline, lines_are_parsed) {
  LogLine line;
  cr_assert(ParseLogLine(kRequestFailure, "a.log", line));
  cr_assert(line.source == "a.log");
  cr_assert(line.level == "WARNING");
  cr_assert(line.Field("event") == "run_abandoned");
  cr_assert(line.Field("after") == "17");
  cr_assert(line.Field("reason") == "stream: \"cut\"");
  cr_assert(line.Field("status") == "");
  cr_assert_eq(line.time.count() % 86'400'000'000,
               ((14 * 60 + 58) * 60 + 12) * 1'000'000LL + 762'000);
  cr_assert(ParseLogLine("  12.5 front-a-2 2026-10-11T14:58:09.059 INFO event=ready", "-", line));
  cr_assert(line.source == "front-a-2");
  cr_assert_not(ParseLogLine("", "-", line));
  cr_assert_not(ParseLogLine("terminate called without an active exception", "-", line));
  cr_assert_not(ParseLogLine("2026-10-11T14:58:09.059 INFO", "-", line));
}

// Guards against missing lines of other daemons that explain the request, and against unrelated
// lines.
Test(request_timeline, related_lines_are_included) {
  const std::vector<LogLine> lines = TimelineOf({
      {"a", "2026-10-11T14:58:00.000 WARNING event=store_lost table=op"},
      {"a", "2026-10-11T14:58:11.500 WARNING event=store_lost table=servers"},
      {"b", "2026-10-11T14:58:11.600 WARNING event=store_lost table=servers"},
      {"a", "2026-10-11T14:58:11.900 INFO event=run_started request=r1 endpoint=e1 backup=e2"},
      {"a", "2026-10-11T14:58:12.000 INFO event=run_started request=r2 endpoint=e1 backup=e3"},
      {"b", "2026-10-11T14:58:12.700 WARNING event=run_abandoned request=r3 endpoint=e1"},
      {"b", "2026-10-11T14:58:12.710 WARNING event=run_abandoned request=r4 endpoint=e9"},
      {"a", "2026-10-11T14:58:12.720 INFO event=endpoint_gone endpoint=e2"},
      {"a", "2026-10-11T14:58:12.730 INFO event=endpoint_gone endpoint=e9"},
      {"a", kRequestFailure},
      {"c", "2026-10-11T14:58:13.100 INFO event=request_end request=r1 outcome=answered"},
      {"a", "2026-10-11T14:58:14.000 INFO event=store_regained table=servers"},
  });
  std::vector<std::string> found;
  for (const LogLine& line : lines) {
    found.push_back(line.source + ":" + line.Field("event") + line.Field("request"));
  }
  const std::vector<std::string> expected = {"a:store_lost",      "a:run_startedr1",
                                             "b:run_abandonedr3", "a:endpoint_gone",
                                             "a:run_abandonedr1", "c:request_endr1"};
  cr_assert(found == expected);
}

// Guards against lines being shown for a request that is in no log.
Test(request_timeline, unknown_request_has_no_lines) {
  cr_assert(
      TimelineOf({{"a", "2026-10-11T14:58:11.500 WARNING event=store_lost table=op"}}).empty());
}
