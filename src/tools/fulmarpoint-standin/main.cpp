#include <boost/program_options.hpp>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <future>
#include <iostream>
#include <memory>
#include <sstream>
#include <vector>

#include "application_standin.h"
#include "engine_standin.h"
#include "platform_standin.h"
#include "transport/worker_pool.h"
#include "utils/logging.h"

namespace fulmarpoint::standin {

namespace {

namespace po = boost::program_options;

constexpr int kUsageStatus = 2;
constexpr int kStartStatus = 1;

std::vector<std::string> SplitAtCommas(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream input(text);
  for (std::string part; std::getline(input, part, ',');) parts.push_back(part);
  return parts;
}

po::options_description Options() {
  po::options_description options("fulmarpoint-standin engine|application|platform [options]");
  auto add = options.add_options();
  add("help", "print the options");
  add("host", po::value<std::string>()->default_value("127.0.0.1"), "address to listen on");
  add("port", po::value<int>()->default_value(0), "first port; 0 selects free ports");
  add("count", po::value<int>()->default_value(1), "engines or applications in this process");
  add("name", po::value<std::string>(), "name; with --count, the prefix of the names");
  add("model", po::value<std::string>()->default_value("draft"), "engine: model");
  add("versions", po::value<std::string>()->default_value("v1"),
      "engine: loaded versions, separated by commas; application: its version");
  add("slots", po::value<int>()->default_value(8), "requests that run at once");
  add("queue", po::value<int>()->default_value(16),
      "engine: requests held beyond the slots before it slows down");
  add("prefill-us", po::value<int>()->default_value(200), "engine: microseconds per prompt token");
  add("token-interval-ms", po::value<int>()->default_value(20), "engine: time between tokens");
  add("cache-tokens", po::value<int>()->default_value(100'000), "engine: prefix cache");
  add("load-lag-ms", po::value<int>()->default_value(200), "engine: age of the load report");
  add("load-ms", po::value<int>()->default_value(2000), "engine: time to load a version");
  add("fencing", po::value<std::string>()->default_value("obeyed"), "engine: obeyed or ignored");
  add("service-ms", po::value<int>()->default_value(20), "application: service time");
  add("list-lag-ms", po::value<int>()->default_value(2000), "platform: lag of the instance list");
  add("instances", po::value<std::string>(), "platform: JSON file with the instance list");
  add("reads", po::value<int>()->default_value(2000), "platform: reads per second");
  add("writes", po::value<int>()->default_value(500), "platform: writes per second");
  return options;
}

int PositiveInt(const po::variables_map& values, const char* name) {
  return std::max(values[name].as<int>(), 1);
}

Duration Milliseconds(const po::variables_map& values, const char* name) {
  return std::chrono::milliseconds(values[name].as<int>());
}

/// Starts the `index`-th server on its port and prints its name and address. Returns false on
/// failure.
bool Start(StandinServer& server, const po::variables_map& values, int index) {
  const int port = values["port"].as<int>();
  const std::string address =
      values["host"].as<std::string>() + ":" + std::to_string(port == 0 ? 0 : port + index);
  const std::error_code error = server.Listen(address);
  if (error) {
    std::fprintf(stderr, "%s: %s; choose another --port\n", address.c_str(),
                 error.message().c_str());
    return false;
  }
  std::printf("%s %s\n", server.Name().c_str(), server.Address().c_str());
  std::fflush(stdout);
  return true;
}

std::string NameOf(const po::variables_map& values, const std::string& kind, int index) {
  const std::string name = values.contains("name") ? values["name"].as<std::string>() : kind;
  return values["count"].as<int>() == 1 ? name : name + "-" + std::to_string(index + 1);
}

EngineOptions EngineOptionsOf(const po::variables_map& values) {
  EngineOptions options;
  options.model = values["model"].as<std::string>();
  options.versions = SplitAtCommas(values["versions"].as<std::string>());
  options.slots = PositiveInt(values, "slots");
  options.slowdown_queue_length = values["queue"].as<int>();
  options.prefill_per_token = std::chrono::microseconds(values["prefill-us"].as<int>());
  options.token_interval = Milliseconds(values, "token-interval-ms");
  options.cache_tokens = static_cast<std::size_t>(PositiveInt(values, "cache-tokens"));
  options.load_report_delay = Milliseconds(values, "load-lag-ms");
  options.version_load_time = Milliseconds(values, "load-ms");
  options.enforces_fencing = values["fencing"].as<std::string>() == "obeyed";
  return options;
}

bool StartPlatform(PlatformStandin& platform, const po::variables_map& values) {
  if (values.contains("instances")) {
    std::ifstream file(values["instances"].as<std::string>());
    nlohmann::json list = nlohmann::json::parse(file, nullptr, /*allow_exceptions=*/false);
    if (!list.is_array()) {
      std::fprintf(stderr, "--instances: not a JSON array\n");
      return false;
    }
    platform.SetInstances(std::move(list));
  }
  return Start(platform.Server(), values, 0);
}

void WaitForTermination() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  int received = 0;
  sigwait(&signals, &received);
}

void BlockTerminationSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

/// The servers of this process.
struct Servers {
  std::vector<std::unique_ptr<EngineStandin>> engines;
  std::vector<std::unique_ptr<ApplicationStandin>> applications;
  std::unique_ptr<PlatformStandin> platform;
};

bool StartServers(const std::string& kind, const po::variables_map& values,
                  const Executor& executor, Servers& servers) {
  const int count = PositiveInt(values, "count");
  if (kind == "platform") {
    PlatformOptions options;
    options.reads_per_second = PositiveInt(values, "reads");
    options.writes_per_second = PositiveInt(values, "writes");
    options.list_lag = Milliseconds(values, "list-lag-ms");
    servers.platform =
        std::make_unique<PlatformStandin>(executor, NameOf(values, kind, 0), options);
    return StartPlatform(*servers.platform, values);
  }
  for (int i = 0; i < count; ++i) {
    const std::string name = NameOf(values, kind, i);
    if (kind == "engine") {
      servers.engines.push_back(
          std::make_unique<EngineStandin>(executor, name, count == 1, EngineOptionsOf(values)));
      if (!Start(servers.engines.back()->Server(), values, i)) return false;
    } else {
      const ApplicationOptions options{.version = values["versions"].as<std::string>(),
                                       .slots = PositiveInt(values, "slots"),
                                       .service_time = Milliseconds(values, "service-ms")};
      servers.applications.push_back(
          std::make_unique<ApplicationStandin>(executor, name, count == 1, options));
      if (!Start(servers.applications.back()->Server(), values, i)) return false;
    }
  }
  return true;
}

int Run(const std::string& kind, const po::variables_map& values) {
  BlockTerminationSignals();
  WorkerPool pool(1);
  Servers servers;
  const Executor executor = pool.GetExecutor();
  // The servers are not thread-safe, so they are created on the thread that runs them.
  std::promise<bool> started;
  Post(executor, [&]() { started.set_value(StartServers(kind, values, executor, servers)); });
  const bool success = started.get_future().get();
  if (success) WaitForTermination();
  pool.Stop();
  return success ? 0 : kStartStatus;
}

}  // namespace

int Main(int argc, char** argv) {
  InitLogging();
  const po::options_description options = Options();
  const std::string kind = argc > 1 ? argv[1] : "";
  const bool known = kind == "engine" || kind == "application" || kind == "platform";
  if (!known) {
    std::cerr << options;
    return kUsageStatus;
  }
  try {
    po::variables_map values;
    po::store(po::parse_command_line(argc - 1, argv + 1, options), values);
    po::notify(values);
    if (values.contains("help")) {
      std::cout << options;
      return 0;
    }
    return Run(kind, values);
  } catch (const po::error& error) {
    std::cerr << error.what() << "; see --help\n";
    return kUsageStatus;
  }
}

}  // namespace fulmarpoint::standin

int main(int argc, char** argv) { return fulmarpoint::standin::Main(argc, argv); }
