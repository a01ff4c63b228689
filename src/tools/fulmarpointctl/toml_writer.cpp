#include "toml_writer.h"

namespace fulmarpoint::ctl {

namespace {

/// Formats a value as TOML on one line. JSON strings without DEL are valid TOML basic strings.
std::string InlineValue(const nlohmann::json& value) {
  std::string text;
  if (value.is_object()) {
    for (const auto& [key, item] : value.items()) {
      if (item.is_null()) continue;
      text += (text.empty() ? "" : ", ") + key + " = " + InlineValue(item);
    }
    return "{" + text + "}";
  }
  if (value.is_array()) {
    for (const nlohmann::json& item : value) text += (text.empty() ? "" : ", ") + InlineValue(item);
    return "[" + text + "]";
  }
  return value.dump();
}

}  // namespace

std::string CatalogueToml(const nlohmann::json& entries) {
  std::string text;
  for (const nlohmann::json& entry : entries) {
    text += "[[service]]\n";
    for (const auto& [key, value] : entry.items()) {
      // The daemons set the revision, so a file does not need it.
      if (value.is_null() || key == "revision") continue;
      text += key + " = " + InlineValue(value) + "\n";
    }
    text += "\n";
  }
  return text;
}

}  // namespace fulmarpoint::ctl
