#include <pthread.h>
#include <csignal>
#include <ctime>

#include <boost/program_options.hpp>
#include <iostream>
#include <string>

#include "server/daemon.h"
#include "server/settings.h"
#include "utils/logging.h"

namespace {

namespace options = boost::program_options;
using namespace fulmarpoint;

constexpr char kVersion[] = "0.1.0";
constexpr int kUsageError = 2;
// Interval at which the main thread checks whether the planned shutdown has completed.
constexpr long kCheckIntervalNs = 50'000'000;

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

int Run(const Settings& settings, const sigset_t& signals) {
  InitLogging();
  Daemon daemon(settings);
  // `Start` returns an error code, which is false on success.
  if (daemon.Start()) return 1;
  const timespec interval{0, kCheckIntervalNs};
  while (!daemon.Stopped()) {
    if (sigtimedwait(&signals, nullptr, &interval) > 0) daemon.RequestStop();
  }
  return 0;
}

bool ParseArguments(int argc, char** argv, const options::options_description& description,
                    options::variables_map& values) {
  try {
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
  } catch (const options::error& error) {
    std::cerr << "fulmarpointd: " << error.what() << "\n" << description;
    return false;
  }
  return true;
}

}  // namespace

int main(int argc, char** argv) {
  options::options_description description("Usage: fulmarpointd --config FILE");
  description.add_options()("config", options::value<std::string>(), "settings file (TOML)")(
      "check-config", "check the settings file and exit")("version", "print the version and exit")(
      "help", "print this text and exit");
  options::variables_map values;
  if (!ParseArguments(argc, argv, description, values)) return kUsageError;
  if (values.count("help") > 0) {
    std::cout << description;
    return 0;
  }
  if (values.count("version") > 0) {
    std::cout << "fulmarpointd " << kVersion << "\n";
    return 0;
  }
  if (values.count("config") == 0) {
    std::cerr << "fulmarpointd: --config FILE is required\n" << description;
    return kUsageError;
  }
  const std::string path = values["config"].as<std::string>();
  const Parsed<Settings> settings = LoadSettings(path);
  if (!settings) {
    std::cerr << path << ": " << Describe(settings.Error()) << "\n";
    return kUsageError;
  }
  if (values.count("check-config") > 0) {
    std::cout << path << ": valid\n";
    return 0;
  }
  // Blocked before other threads start, so that only this thread receives the signals.
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return Run(settings.Value(), signals);
}
