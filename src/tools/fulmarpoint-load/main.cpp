#include <boost/program_options.hpp>
#include <cstdlib>
#include <fstream>
#include <future>
#include <iostream>
#include <sstream>

#include "experiment.h"
#include "load_run.h"
#include "report.h"
#include "transport/worker_pool.h"
#include "utils/logging.h"

namespace fulmarpoint::load {

namespace {

namespace po = boost::program_options;

constexpr int kViolationStatus = 1;
constexpr int kUsageStatus = 2;

using OptionValues = std::vector<std::string>;

po::options_description Options() {
  po::options_description options(
      "fulmarpoint-load EXPERIMENT.toml [options]\nFULMARPOINT_OPERATOR_KEY: operator key, needed "
      "to observe the catalogue");
  auto add = options.add_options();
  add("help", "print the options");
  add("experiment", po::value<std::string>(), "experiment file");
  add("daemon", po::value<OptionValues>()->composing(), "NAME=IP:PORT of a daemon");
  add("endpoint", po::value<OptionValues>()->composing(), "NAME=IP:PORT of a simulated endpoint");
  add("control", po::value<OptionValues>()->composing(),
      "NAME=IP:PORT of another simulated service");
  add("pid", po::value<OptionValues>()->composing(),
      "NAME=PID of a process that faults may signal");
  add("report", po::value<std::string>(), "write the report as JSON to this file");
  return options;
}

std::map<std::string, std::string> PairsOf(const po::variables_map& values, const char* name) {
  std::map<std::string, std::string> pairs;
  if (!values.contains(name)) return pairs;
  for (const std::string& text : values[name].as<OptionValues>()) {
    const std::size_t equals = text.find('=');
    if (equals == std::string::npos) throw po::error(text + ": write NAME=VALUE");
    pairs[text.substr(0, equals)] = text.substr(equals + 1);
  }
  return pairs;
}

Targets TargetsOf(const po::variables_map& values) {
  Targets targets;
  targets.daemons = PairsOf(values, "daemon");
  targets.endpoints = PairsOf(values, "endpoint");
  targets.control_addresses = PairsOf(values, "control");
  for (const auto& [name, pid] : PairsOf(values, "pid")) {
    targets.process_ids[name] = std::atoi(pid.c_str());
  }
  const char* key = std::getenv("FULMARPOINT_OPERATOR_KEY");
  if (key != nullptr) targets.operator_key = key;
  if (targets.daemons.empty()) throw po::error("name at least one --daemon");
  return targets;
}

int RunExperiment(const po::variables_map& values) {
  const std::string path = values["experiment"].as<std::string>();
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  if (!file) throw po::error(path + ": cannot be read");
  const Parsed<Experiment> experiment = ParseExperiment(text.str());
  if (!experiment) throw po::error(path + ": " + Describe(experiment.Error()));

  WorkerPool pool(1);
  LoadRun run(pool.GetExecutor(), experiment.Value(), TargetsOf(values));
  std::promise<void> finished;
  Spawn(pool.GetExecutor(), [&]() -> Task<void> {
    co_await run.Run();
    finished.set_value();
  });
  finished.get_future().get();
  pool.Stop();
  const Report report = MakeReport(run);
  std::cout << ToText(report);
  if (values.contains("report")) {
    std::ofstream(values["report"].as<std::string>()) << report.json.dump(2) << "\n";
  }
  return report.violations.empty() ? 0 : kViolationStatus;
}

}  // namespace

int Main(int argc, char** argv) {
  InitLogging();
  const po::options_description options = Options();
  po::positional_options_description positional;
  positional.add("experiment", 1);
  try {
    po::variables_map values;
    po::store(po::command_line_parser(argc, argv).options(options).positional(positional).run(),
              values);
    po::notify(values);
    if (values.contains("help") || !values.contains("experiment")) {
      std::cout << options;
      return values.contains("help") ? 0 : kUsageStatus;
    }
    return RunExperiment(values);
  } catch (const po::error& error) {
    std::cerr << error.what() << "\n";
    return kUsageStatus;
  }
}

}  // namespace fulmarpoint::load

int main(int argc, char** argv) { return fulmarpoint::load::Main(argc, argv); }
