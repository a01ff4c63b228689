#include <criterion/criterion.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "experiment.h"

using namespace fulmarpoint;

namespace {

const char kValid[] = R"(seed = 7
duration_ms = 1000
[[generation]]
service = "assistant"
api_key = "k"
model = "draft"
rate_per_minute = 60
[[fault]]
at_ms = 500
target = "engine-1"
control = '{"action":"crash"}'
)";

}  // namespace

Test(experiment, valid_file_is_read) {
  const Parsed<load::Experiment> experiment = load::ParseExperiment(kValid);
  cr_assert(experiment.Ok(), "%s", experiment.Ok() ? "" : Describe(experiment.Error()).c_str());
  cr_assert_eq(experiment.Value().seed, 7U);
  cr_assert_eq(experiment.Value().generations.size(), 1U);
  cr_assert_eq(experiment.Value().faults.front().at, Duration(500'000));
}

// A misspelt or incomplete fault must be an error. Otherwise the experiment would run without it.
Test(experiment, errors_name_the_key) {
  std::string text = kValid;
  text.replace(text.find("target"), 6, "targte");
  const Parsed<load::Experiment> unknown = load::ParseExperiment(text);
  cr_assert_not(unknown.Ok());
  cr_assert_eq(unknown.Error().key.rfind("fault[0].", 0), 0U);
  const Parsed<load::Experiment> neither =
      load::ParseExperiment("seed = 1\n[[fault]]\nat_ms = 1\ntarget = \"a\"\n");
  cr_assert_not(neither.Ok());
  cr_assert_eq(neither.Error().key, "fault[0].control");
}
