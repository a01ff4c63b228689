#include "experiment.h"

#include <nlohmann/json.hpp>

#include "protocol/field_reader.h"
#include "protocol/toml_json.h"

namespace fulmarpoint::load {

namespace {

constexpr std::int64_t kMaxMs = 3'600'000;
constexpr std::int64_t kMaxRatePerMinute = 600'000;
constexpr int kMaxTokens = 100'000;
constexpr int kMaxCallers = 10'000;

GenerationLoad ReadGenerations(FieldReader& reader) {
  GenerationLoad load;
  reader.String("service", true, load.service);
  reader.String("api_key", true, load.api_key);
  reader.Int("callers", 1, kMaxCallers, load.callers);
  reader.String("model", true, load.model);
  reader.Integer("rate_per_minute", true, 1, kMaxRatePerMinute, load.rate_per_minute);
  reader.Int("prompt_words", 1, kMaxTokens, load.prompt_words);
  reader.Int("min_tokens", 1, kMaxTokens, load.min_tokens);
  reader.Int("max_tokens", 1, kMaxTokens, load.max_tokens);
  reader.Int("slow_reader_percent", 0, 100, load.slow_reader_percent);
  reader.Milliseconds("slow_reader_delay_ms", 1, kMaxMs, load.slow_reader_delay);
  reader.Bool("sends_tokens_back", load.sends_tokens_back);
  reader.Milliseconds("silence_limit_ms", 100, kMaxMs, load.stall_timeout);
  if (load.max_tokens < load.min_tokens) reader.Fail("max_tokens", "must be at least min_tokens");
  return load;
}

CallLoad ReadCalls(FieldReader& reader) {
  CallLoad load;
  reader.String("service", true, load.service);
  reader.String("api_key", true, load.api_key);
  reader.Int("callers", 1, kMaxCallers, load.callers);
  reader.Integer("rate_per_minute", true, 1, kMaxRatePerMinute, load.rate_per_minute);
  reader.String("method", false, load.method);
  reader.String("path", false, load.path);
  reader.Name("key", kKeySourceNames, load.key);
  reader.Int("body_bytes", 1, 1 << 20, load.body_bytes);
  reader.Milliseconds("timeout_ms", 10, kMaxMs, load.timeout);
  return load;
}

Fault ReadFault(FieldReader& reader) {
  Fault fault;
  std::int64_t at_ms = 0;
  reader.Integer("at_ms", true, 0, kMaxMs, at_ms);
  fault.at = std::chrono::milliseconds(at_ms);
  reader.String("control", false, fault.control);
  reader.String("signal", false, fault.signal);
  reader.String("apply", false, fault.apply);
  reader.String("target", fault.apply.empty(), fault.target);
  const int set = !fault.control.empty() + !fault.signal.empty() + !fault.apply.empty();
  if (set != 1) reader.Fail("control", "set exactly one of control, signal and apply");
  const bool known = fault.signal.empty() || fault.signal == "stop" || fault.signal == "cont" ||
                     fault.signal == "term" || fault.signal == "kill";
  if (!known) reader.Fail("signal", "must be one of \"stop\" \"cont\" \"term\" \"kill\"");
  return fault;
}

template <typename T, typename Read>
void ReadList(FieldReader& reader, const std::string& key, Read read, std::vector<T>& list) {
  const nlohmann::json* items = reader.Array(key);
  if (items == nullptr) return;
  for (std::size_t i = 0; i < items->size(); ++i) {
    const std::string path = reader.PathOf(key) + "[" + std::to_string(i) + "]";
    FieldReader item((*items)[i], path, reader.Lines());
    list.push_back(read(item));
    reader.Adopt(item.Finish());
  }
}

}  // namespace

Parsed<Experiment> ParseExperiment(std::string_view text) {
  const Parsed<TomlDocument> document = ParseToml(text);
  if (!document) return document.Error();
  const nlohmann::json json = nlohmann::json::parse(document.Value().json);
  FieldReader reader(json, "", &document.Value().lines);
  Experiment experiment;
  std::int64_t seed = 1;
  reader.Integer("seed", true, 0, INT64_MAX, seed);
  experiment.seed = static_cast<std::uint64_t>(seed);
  reader.Milliseconds("duration_ms", 100, kMaxMs, experiment.duration);
  reader.Milliseconds("finish_limit_ms", 0, kMaxMs, experiment.finish_limit);
  reader.String("memory_metric", false, experiment.memory_metric);
  ReadList(reader, "generation", ReadGenerations, experiment.generations);
  ReadList(reader, "call", ReadCalls, experiment.calls);
  ReadList(reader, "fault", ReadFault, experiment.faults);
  if (reader.Finish()) return *reader.Finish();
  return experiment;
}

}  // namespace fulmarpoint::load
