#include <criterion/criterion.h>

#include "duties_report.h"

using namespace fulmarpoint;

namespace {

nlohmann::json Status(const std::string& daemon, bool is_holder, int token, int desired) {
  return {{"daemon", daemon},
          {"enabled", true},
          {"is_holder", is_holder},
          {"holder", "front-" + std::to_string(token)},
          {"fencing_token", token},
          {"since_unix_ms", 1765010415000},
          {"last_reported_window", 353002083},
          {"orders", {{{"service", "drafts"}, {"failure_domain", "a"}, {"desired", desired}}}}};
}

}  // namespace

// Guards against orders that are shown from a daemon that holds the lease no longer.
Test(duties_report, orders_are_those_of_the_latest_holder) {
  const nlohmann::json statuses = {Status("10.0.0.1:9464", true, 7, 24),
                                   Status("10.0.0.2:9464", true, 9, 31),
                                   Status("10.0.0.3:9464", false, 9, 40)};
  const std::string text = ctl::FormatDuties(statuses);
  cr_assert_eq(
      text,
      "DAEMON         ENABLED  IS HOLDER  HOLDER   FENCING TOKEN  SINCE                 LAST "
      "REPORTED WINDOW\n"
      "10.0.0.1:9464  true     true       front-7  7              2025-12-06T08:40:15Z  353002083\n"
      "10.0.0.2:9464  true     true       front-9  9              2025-12-06T08:40:15Z  353002083\n"
      "10.0.0.3:9464  true     false      front-9  9              2025-12-06T08:40:15Z  353002083\n"
      "\n"
      "SERVICE  FAILURE DOMAIN  DESIRED\n"
      "drafts   a               31\n",
      "%s", text.c_str());
}

// Guards against outdated orders of a former holder where the holder was not asked.
Test(duties_report, a_missing_holder_is_named) {
  const nlohmann::json statuses = nlohmann::json::array({Status("10.0.0.1:9464", false, 7, 24)});
  const std::string text = ctl::FormatDuties(statuses);
  cr_assert(text.find("none of these daemons holds the lease") != std::string::npos);
  cr_assert(text.find("drafts") == std::string::npos);
}

// Guards against a daemon without duties, or of an earlier build, whose fields are unset.
Test(duties_report, unknown_values_are_marked) {
  const nlohmann::json status = {{"daemon", "10.0.0.1:9464"}, {"since_unix_ms", 0}};
  const nlohmann::json statuses = nlohmann::json::array({status});
  cr_assert(ctl::FormatDuties(statuses).find("10.0.0.1:9464  -        -") != std::string::npos);
}
