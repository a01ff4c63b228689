#include <criterion/criterion.h>

#include <string>

#include "coordination/burn_counters.h"

using namespace fulmarpoint;

namespace {

TimePoint At(int seconds) { return TimePoint(std::chrono::seconds(seconds)); }

FinishedRequest Request(ResultCode code, const std::string& organisation = "acme") {
  FinishedRequest request;
  request.organisation = organisation;
  request.service = "assistant";
  request.code = code;
  request.version = "v1";
  request.endpoint = "engine-1";
  return request;
}

}  // namespace

Test(burn_counters, burn_rate_relates_misses_to_the_error_budget) {
  BurnCounters counters;
  const ServiceObjectives objectives;
  for (int i = 0; i < 98; ++i) counters.Add(Request(ResultCode::kOk), objectives, At(1000));
  counters.Add(Request(ResultCode::kCannotContinue), objectives, At(1000));
  FinishedRequest slow = Request(ResultCode::kOk);
  slow.first_token = std::chrono::seconds(2);
  counters.Add(slow, objectives, At(1000));
  const BurnReport report = counters.Report("daemon-1", At(1001));
  cr_assert_eq(report.rows.size(), 1u);
  cr_assert_float_eq(BurnRate(report.rows[0], BurnWindow::kFiveMinutes), 2.0, 1e-9);
  cr_assert_eq(report.rows[0].causes.size(), 2u);
}

// Guards against misses that are counted in a window after it has passed.
Test(burn_counters, old_requests_leave_the_short_window) {
  BurnCounters counters;
  counters.Add(Request(ResultCode::kCannotContinue), {}, At(1000));
  const BurnReport report = counters.Report("daemon-1", At(1000 + 301));
  cr_assert_eq(report.rows[0].windows[0].requests, 0u);
  cr_assert_eq(report.rows[0].windows[1].requests, 1u);
}

// Guards against errors of callers that spend the error budget of the service.
Test(burn_counters, errors_of_callers_spend_no_budget) {
  BurnCounters counters;
  counters.Add(Request(ResultCode::kBadRequest), {}, At(1000));
  counters.Add(Request(ResultCode::kOrganisationLimit), {}, At(1000));
  cr_assert(counters.Report("daemon-1", At(1000)).rows.empty());
}

// Guards against memory that grows with the number of organisations, and against requests that are
// missing from the report because memory is limited.
Test(burn_counters, memory_is_fixed_and_every_request_is_counted) {
  BurnCounters counters;
  for (int i = 0; i < 46'000; ++i) {
    counters.Add(Request(ResultCode::kOk, "organisation-" + std::to_string(i)), {}, At(1000));
  }
  const BurnReport report = counters.Report("daemon-1", At(1000));
  cr_assert_leq(report.rows.size(), BurnCounters::kMaxRows + 1);
  std::uint64_t requests = 0;
  for (const BurnRow& row : report.rows) requests += row.windows[0].requests;
  cr_assert_eq(requests, 46'000u);
  cr_assert_lt(counters.StateBytes(), 2u << 20);
}

Test(burn_counters, reports_merge_and_round_trip) {
  BurnCounters counters;
  counters.Add(Request(ResultCode::kCannotContinue), {}, At(1000));
  counters.AddAction("rollout rolled back");
  BurnReport merged = counters.Report("daemon-1", At(1000));
  MergeBurn(counters.Report("daemon-2", At(1000)), merged);
  merged.missing.push_back("daemon-3");
  const Parsed<BurnReport> parsed = ParseBurnReport(ToJson(merged));
  cr_assert(parsed.Ok(), "%s", parsed.Ok() ? "" : Describe(parsed.Error()).c_str());
  cr_assert_eq(ToJson(parsed.Value()), ToJson(merged));
  cr_assert_eq(parsed.Value().rows[0].windows[0].missed, 2u);
  cr_assert_eq(parsed.Value().actions[0].count, 2u);
  cr_assert(ToHtml(merged).find("daemon-3") != std::string::npos);
}

// Guards against a report page that executes script in names.
Test(burn_counters, html_escapes_names) {
  BurnCounters counters;
  counters.Add(Request(ResultCode::kOk, "<script>"), {}, At(1000));
  const std::string page = ToHtml(counters.Report("daemon-1", At(1000)));
  cr_assert(page.find("<script>") == std::string::npos);
}
