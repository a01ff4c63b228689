#include "protocol/toml_json.h"

#include <toml++/toml.h>
#include <nlohmann/json.hpp>
#include <optional>

#include "protocol/result_code.h"

namespace fulmarpoint {

namespace {

class Converter {
 public:
  nlohmann::json Convert(const toml::node& node, const std::string& path) {
    m_document.lines[path] = static_cast<int>(node.source().begin.line);
    if (const toml::table* table = node.as_table()) return ConvertTable(*table, path);
    if (const toml::array* array = node.as_array()) return ConvertArray(*array, path);
    if (const toml::value<std::string>* text = node.as_string()) return text->get();
    if (const toml::value<std::int64_t>* number = node.as_integer()) return number->get();
    if (const toml::value<double>* number = node.as_floating_point()) return number->get();
    if (const toml::value<bool>* flag = node.as_boolean()) return flag->get();
    if (!m_error) {
      m_error = ParseError{make_error_code(ResultCode::kInvalidCatalogue), path,
                           m_document.lines[path], "must not be a date or time"};
    }
    return nullptr;
  }

  TomlDocument& Document() { return m_document; }
  const std::optional<ParseError>& Error() const { return m_error; }

 private:
  nlohmann::json ConvertTable(const toml::table& table, const std::string& path) {
    nlohmann::json object = nlohmann::json::object();
    for (const auto& [key, value] : table) {
      const std::string name(key.str());
      object[name] = Convert(value, path.empty() ? name : path + "." + name);
    }
    return object;
  }

  nlohmann::json ConvertArray(const toml::array& array, const std::string& path) {
    nlohmann::json list = nlohmann::json::array();
    for (const toml::node& value : array) {
      list.push_back(Convert(value, path + "[" + std::to_string(list.size()) + "]"));
    }
    return list;
  }

  TomlDocument m_document;
  std::optional<ParseError> m_error;
};

}  // namespace

Parsed<TomlDocument> ParseToml(std::string_view text) {
  try {
    const toml::table table = toml::parse(text);
    Converter converter;
    converter.Document().json = converter.Convert(table, "").dump();
    if (converter.Error()) return *converter.Error();
    return std::move(converter.Document());
  } catch (const toml::parse_error& error) {
    return ParseError{make_error_code(ResultCode::kInvalidCatalogue), "",
                      static_cast<int>(error.source().begin.line),
                      "must be valid TOML: " + std::string(error.description())};
  } catch (const nlohmann::json::exception&) {
    return ParseError{make_error_code(ResultCode::kInvalidCatalogue), "", 0,
                      "strings must be valid UTF-8"};
  }
}

}  // namespace fulmarpoint
