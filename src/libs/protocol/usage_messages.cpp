#include "protocol/usage_messages.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace fulmarpoint {

namespace {

using Json = nlohmann::json;

// Keys are compared as texts, so that numbers need the same number of digits.
constexpr std::size_t kKeyDigits = 12;

}  // namespace

std::string RowKeyOf(UsageWindow window) {
  const std::string digits = std::to_string(window);
  return std::string(kKeyDigits - std::min(kKeyDigits, digits.size()), '0') + digits;
}

std::string ToJson(const UsageReport& report) {
  Json counts = Json::object();
  for (const OrganisationUsage& usage : report.usage) counts[usage.organisation] = usage.requests;
  return Json{{"window", report.window}, {"counts", std::move(counts)}}.dump();
}

std::optional<UsageReport> ParseUsageReport(const std::string& text) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) return std::nullopt;
  try {
    UsageReport report;
    report.window = json.at("window").get<UsageWindow>();
    for (const auto& [organisation, requests] : json.at("counts").items()) {
      report.usage.push_back({organisation, requests.get<std::uint64_t>()});
    }
    return report;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace fulmarpoint
