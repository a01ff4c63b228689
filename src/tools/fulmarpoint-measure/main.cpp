#include <array>
#include <boost/program_options.hpp>
#include <ctime>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>

#include "measure.h"
#include "measure_admission.h"
#include "measure_crash_suspects.h"
#include "measure_credits.h"
#include "measure_reader_buffers.h"
#include "measure_resume.h"
#include "measure_rollout.h"

namespace fulmarpoint {

namespace {

struct Measurement {
  const char* name;
  const char* summary;
  nlohmann::json (*run)(const MeasureOptions& options);
};

constexpr std::array kMeasurements = {
    Measurement{"admission", "overload against an unbounded queue, shares, state",
                MeasureAdmission},
    Measurement{"crash_suspects", "endpoints lost to a poison request, false positives",
                MeasureCrashSuspects},
    Measurement{"resume", "resume latency and extra tokens against two baselines", MeasureResume},
    Measurement{"credit_faults", "overshoot of slots under faults, against two baselines",
                MeasureCreditFaults},
    Measurement{"credit_traffic", "messages and bytes of credits per daemon", MeasureCreditTraffic},
    Measurement{"reader_buffers", "memory and slots of slow callers", MeasureReaderBuffers},
    Measurement{"rollout", "good and bad versions against two baselines", MeasureRollout},
};

const Measurement* Find(const std::string& name) {
  for (const Measurement& measurement : kMeasurements) {
    if (name == measurement.name) return &measurement;
  }
  return nullptr;
}

void PrintUsage(const boost::program_options::options_description& description) {
  std::cerr << "usage: fulmarpoint-measure NAME [options]\n\nMeasurements:\n";
  for (const Measurement& measurement : kMeasurements) {
    std::cerr << "  " << measurement.name << ": " << measurement.summary << "\n";
  }
  std::cerr << "\n" << description;
}

int Run(int argc, char** argv) {
  namespace po = boost::program_options;
  MeasureOptions options;
  std::string name;
  po::options_description description("Options");
  description.add_options()("name", po::value(&name), "measurement to run")(
      "seed", po::value(&options.seed)->default_value(options.seed), "seed of the first run")(
      "runs", po::value(&options.runs), "number of runs")(
      "sizes", po::value(&options.sizes)->multitoken(), "sizes to measure at")("help", "this text");
  po::positional_options_description positional;
  positional.add("name", 1);
  po::variables_map values;
  po::store(po::command_line_parser(argc, argv).options(description).positional(positional).run(),
            values);
  po::notify(values);
  const Measurement* measurement = Find(name);
  if (measurement == nullptr || values.contains("help")) {
    PrintUsage(description);
    return values.contains("help") ? 0 : 2;
  }
  std::cout << measurement->run(options).dump(2) << "\n";
  return 0;
}

}  // namespace

double ProcessCpuMicroseconds() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

}  // namespace fulmarpoint

int main(int argc, char** argv) {
  try {
    return fulmarpoint::Run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "fulmarpoint-measure: " << error.what() << "\n";
    return 2;
  }
}
