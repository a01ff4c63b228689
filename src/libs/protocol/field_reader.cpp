#include "protocol/field_reader.h"

#include <utility>

#include "protocol/result_code.h"

namespace fulmarpoint {

namespace {

constexpr std::size_t kMaxStringBytes = 1024;

}  // namespace

FieldReader::FieldReader(const nlohmann::json& object, std::string path,
                         const std::map<std::string, int>* lines)
    : m_object(object), m_path(std::move(path)), m_lines(lines) {
  if (!m_object.is_object()) Fail("", "must be a table");
}

bool FieldReader::Has(const std::string& key) const {
  return m_object.is_object() && m_object.contains(key);
}

void FieldReader::String(const std::string& key, bool required, std::string& value,
                         std::size_t min_size) {
  const nlohmann::json* field = Find(key, required);
  if (field == nullptr) return;
  if (!field->is_string()) return Fail(key, "must be a string");
  const std::string& text = field->get_ref<const std::string&>();
  if (text.size() < min_size || text.size() > kMaxStringBytes) {
    return Fail(key, "must have " + std::to_string(min_size) + " to " +
                         std::to_string(kMaxStringBytes) + " bytes");
  }
  value = text;
}

void FieldReader::Bool(const std::string& key, bool& value) {
  const nlohmann::json* field = Find(key, false);
  if (field == nullptr) return;
  if (!field->is_boolean()) return Fail(key, "must be true or false");
  value = field->get<bool>();
}

void FieldReader::Integer(const std::string& key, bool required, std::int64_t min, std::int64_t max,
                          std::int64_t& value) {
  const nlohmann::json* field = Find(key, required);
  if (field == nullptr) return;
  const std::string allowed =
      "must be a whole number from " + std::to_string(min) + " to " + std::to_string(max);
  if (!field->is_number_integer()) return Fail(key, allowed);
  if (field->is_number_unsigned() && field->get<std::uint64_t>() > INT64_MAX) {
    return Fail(key, allowed);
  }
  const std::int64_t number = field->get<std::int64_t>();
  if (number < min || number > max) return Fail(key, allowed);
  value = number;
}

void FieldReader::Int(const std::string& key, int min, int max, int& value) {
  std::int64_t number = value;
  Integer(key, false, min, max, number);
  value = static_cast<int>(number);
}

void FieldReader::Size(const std::string& key, std::int64_t min, std::int64_t max,
                       std::size_t& value) {
  std::int64_t number = static_cast<std::int64_t>(value);
  Integer(key, false, min, max, number);
  value = static_cast<std::size_t>(number);
}

void FieldReader::Milliseconds(const std::string& key, std::int64_t min, std::int64_t max,
                               Duration& value) {
  std::int64_t number = std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
  Integer(key, false, min, max, number);
  value = std::chrono::milliseconds(number);
}

void FieldReader::Strings(const std::string& key, std::vector<std::string>& value) {
  const nlohmann::json* list = Array(key);
  if (list == nullptr) return;
  value.clear();
  for (const nlohmann::json& item : *list) {
    if (!item.is_string() || item.get_ref<const std::string&>().size() > kMaxStringBytes) {
      return Fail(key, "must be a list of strings of at most 1024 bytes");
    }
    value.push_back(item.get<std::string>());
  }
}

const nlohmann::json* FieldReader::Object(const std::string& key) {
  const nlohmann::json* field = Find(key, false);
  if (field == nullptr || field->is_object()) return field;
  Fail(key, "must be a table");
  return nullptr;
}

const nlohmann::json* FieldReader::Array(const std::string& key) {
  const nlohmann::json* field = Find(key, false);
  if (field == nullptr || field->is_array()) return field;
  Fail(key, "must be a list");
  return nullptr;
}

void FieldReader::Fail(const std::string& key, const std::string& allowed) {
  if (m_error) return;
  const std::string path = PathOf(key);
  int line = 0;
  if (m_lines != nullptr) {
    auto found = m_lines->find(path);
    if (found == m_lines->end()) found = m_lines->find(m_path);
    if (found != m_lines->end()) line = found->second;
  }
  m_error = ParseError{make_error_code(ResultCode::kInvalidCatalogue), path, line, allowed};
}

void FieldReader::Adopt(const std::optional<ParseError>& error) {
  if (!m_error && error) m_error = error;
}

std::string FieldReader::PathOf(const std::string& key) const {
  if (key.empty()) return m_path;
  return m_path.empty() ? key : m_path + "." + key;
}

const std::optional<ParseError>& FieldReader::Finish() {
  if (m_error || !m_object.is_object()) return m_error;
  for (auto item = m_object.begin(); item != m_object.end(); ++item) {
    if (m_read.contains(item.key())) continue;
    std::string allowed = "unknown key; allowed are";
    for (const std::string& key : m_read) allowed += " " + key;
    Fail(item.key(), allowed);
  }
  return m_error;
}

const nlohmann::json* FieldReader::Find(const std::string& key, bool required) {
  m_read.insert(key);
  if (Has(key)) return &m_object.at(key);
  if (required) Fail(key, "is required");
  return nullptr;
}

}  // namespace fulmarpoint
