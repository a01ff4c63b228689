#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/parse_error.h"
#include "utils/enum_names.h"
#include "utils/time.h"

namespace fulmarpoint::load {

/// Where the idempotency key of a call comes from.
enum class KeySource { kNone, kCaller, kDaemon };

inline constexpr std::array<EnumName<KeySource>, 3> kKeySourceNames = {{
    {KeySource::kNone, "none"},
    {KeySource::kCaller, "caller"},
    {KeySource::kDaemon, "daemon"},
}};

/// Open-loop load of generations: Poisson arrivals, independent of how many are in progress.
struct GenerationLoad {
  std::string service;
  /// With several callers, the prefix of their keys: "KEY-1", "KEY-2" and so on.
  std::string api_key;
  int callers = 1;
  std::string model;
  std::int64_t rate_per_minute = 60;
  int prompt_words = 32;
  int min_tokens = 32;
  int max_tokens = 128;
  /// Share of callers that wait for `slow_reader_delay` after each token, in percent.
  int slow_reader_percent = 0;
  Duration slow_reader_delay = std::chrono::milliseconds(200);
  /// Whether a caller that resumes sends the tokens that it has received.
  bool sends_tokens_back = true;
  /// A caller whose stream stalls for this long connects to another daemon.
  Duration stall_timeout = std::chrono::seconds(5);
};

/// Open-loop load of calls to an application service, with Poisson arrivals.
struct CallLoad {
  std::string service;
  std::string api_key;
  int callers = 1;
  std::int64_t rate_per_minute = 60;
  std::string method = "POST";
  std::string path = "/orders";
  KeySource key = KeySource::kCaller;
  int body_bytes = 200;
  Duration timeout = std::chrono::seconds(5);
};

/// A request to `POST /control` of a simulated service, a signal to a process, or a catalogue
/// change.
struct Fault {
  Duration at = Duration::zero();
  std::string target;
  /// JSON body for `/control`. Exactly one of `control`, `signal` and `apply` is set.
  std::string control;
  /// "stop", "cont", "term" or "kill".
  std::string signal;
  /// Catalogue entries in TOML, sent to any daemon; `target` is not used.
  std::string apply;
};

struct Experiment {
  std::uint64_t seed = 1;
  Duration duration = std::chrono::seconds(20);
  /// Time limit for requests that are in progress after `duration`.
  Duration finish_limit = std::chrono::seconds(30);
  std::vector<GenerationLoad> generations;
  std::vector<CallLoad> calls;
  std::vector<Fault> faults;
  /// Gauge of the daemons that is reported as the memory buffered for slow readers.
  std::string memory_metric = "fulmarpoint_buffer_bytes";
};

/// Parses an experiment file. Unknown keys, wrong types and values out of range are errors.
/// Thread-safe.
Parsed<Experiment> ParseExperiment(std::string_view text);

}  // namespace fulmarpoint::load
