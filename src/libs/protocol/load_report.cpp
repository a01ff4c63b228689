#include "protocol/load_report.h"

#include <nlohmann/json.hpp>

#include "protocol/field_reader.h"
#include "protocol/result_code.h"

namespace fulmarpoint {

namespace {

using Json = nlohmann::json;

constexpr int kMaxCount = 1'000'000;
constexpr std::int64_t kMaxIntervalUs = 3'600'000'000;

void ReadIncarnation(const Json& json, FieldReader& reader, std::uint64_t& incarnation) {
  const auto found = json.find("incarnation");
  if (found == json.end() || !found->is_number_unsigned()) {
    return reader.Fail("incarnation", "must be a number that is not negative");
  }
  incarnation = found->get<std::uint64_t>();
}

void ReadModels(FieldReader& reader, std::vector<LoadedModel>& models) {
  const Json* list = reader.Array("models");
  if (list == nullptr) return;
  for (const Json& item : *list) {
    FieldReader child(item, reader.PathOf("models"), nullptr);
    LoadedModel model;
    if (!item.is_object()) return reader.Fail("models", "must hold objects");
    child.String("model", true, model.model);
    child.String("version", true, model.version);
    child.Strings("adapters", model.adapters);
    if (!child.Has("model") || !child.Has("version")) {
      return reader.Fail("models", "must hold objects with model and version");
    }
    models.push_back(std::move(model));
  }
}

}  // namespace

Parsed<LoadReport> ParseLoadReport(std::string_view text) {
  const Json json = Json::parse(text, nullptr, false);
  const std::error_code code = make_error_code(ResultCode::kBadRequest);
  if (!json.is_object()) return ParseError{code, "", 0, "must be a JSON object"};
  LoadReport report;
  // FieldReader::Finish() is not called, because it rejects unknown keys.
  FieldReader reader(json, "", nullptr);
  ReadIncarnation(json, reader, report.incarnation);
  reader.Int("slots", 0, kMaxCount, report.slots);
  reader.Int("active", 0, kMaxCount, report.active);
  reader.Int("queued", 0, kMaxCount, report.queued);
  reader.Bool("leaving", report.leaving);
  ReadModels(reader, report.models);
  reader.String("version", false, report.version);
  reader.Strings("services", report.services);
  std::int64_t sequence = 0;
  reader.Integer("cache_sequence", false, 0, INT64_MAX, sequence);
  report.cache_sequence = static_cast<std::uint64_t>(sequence);
  std::int64_t interval = 0;
  reader.Integer("token_interval_us", false, 0, kMaxIntervalUs, interval);
  report.token_interval = Duration(interval);
  if (const std::optional<ParseError>& error = reader.FirstError()) return *error;
  return report;
}

}  // namespace fulmarpoint
