#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lookup.h"
#include "transport/http_client.h"
#include "utils/random.h"
#include "verification/history.h"

namespace fulmarpoint::load {

/// Latencies and counters that callers measured.
struct Measurements {
  std::vector<Duration> time_to_first_token;
  std::vector<Duration> inter_token_latency;
  std::vector<Duration> call;
  std::uint64_t tokens = 0;
  std::uint64_t answers = 0;
  std::uint64_t retries = 0;
  /// Errors that callers received, by name.
  std::map<std::string, std::uint64_t> errors;
};

/// State shared by the callers and observers of one load run. Used by one thread.
struct RunContext {
  RunContext(const Executor& run_executor, std::uint64_t seed, std::vector<std::string> daemons,
             std::map<std::string, std::string> names)
      : executor(run_executor),
        client(run_executor, HttpClientOptions()),
        random(seed),
        lookup(client, std::move(daemons)),
        daemon_names(std::move(names)) {}

  void Record(HistoryEvent event) { history.push_back({SteadyNow(), std::move(event)}); }
  /// Returns the name of the daemon at `address`, or `address` if it is unknown.
  std::string DaemonName(const std::string& address) const {
    const auto found = daemon_names.find(address);
    return found == daemon_names.end() ? address : found->second;
  }

  Executor executor;
  HttpClient client;
  Random random;
  Lookup lookup;
  std::map<std::string, std::string> daemon_names;
  History history;
  Measurements measurements;
  std::uint64_t requests = 0;
  std::uint64_t active = 0;
};

/// Returns the API key of a randomly chosen caller out of `callers`.
std::string ChooseApiKey(RunContext& context, const std::string& api_key, int callers);

/// Fields of a problem document, the body of an error response.
struct Problem {
  ResultCode code = ResultCode::kInternal;
  Execution execution = Execution::kMayHaveRun;
  Duration retry_after = Duration::zero();
};

/// Parses a problem document. Any other text results in an internal error of a request that may
/// have been executed. Thread-safe.
Problem ParseProblem(const std::string& body);

/// Records the error response to attempt `send` of a request and counts it.
void RecordProblem(RunContext& context, const std::string& request, int send,
                   const Problem& problem, const std::string& address);

}  // namespace fulmarpoint::load
