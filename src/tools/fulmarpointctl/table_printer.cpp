#include "table_printer.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace fulmarpoint::ctl {

namespace {

std::string CellText(const nlohmann::json& value) {
  if (value.is_null()) return "-";
  if (value.is_string()) return value.get<std::string>();
  if (!value.is_array()) return value.dump();
  std::string text;
  for (const nlohmann::json& item : value) text += (text.empty() ? "" : ",") + CellText(item);
  return text.empty() ? "-" : text;
}

std::string FieldText(const nlohmann::json& row, const std::string& column) {
  const nlohmann::json* value = &row;
  std::size_t begin = 0;
  while (begin <= column.size()) {
    const std::size_t end = std::min(column.find('.', begin), column.size());
    const std::string key = column.substr(begin, end - begin);
    if (!value->is_object() || !value->contains(key)) return "-";
    value = &(*value)[key];
    begin = end + 1;
  }
  return CellText(*value);
}

std::string Heading(std::string column) {
  for (char& c : column) {
    c = c == '_' || c == '.' ? ' ' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
  }
  return column;
}

void AppendRow(const std::vector<std::string>& cells, const std::vector<std::size_t>& widths,
               std::string& text) {
  for (std::size_t i = 0; i < cells.size(); ++i) {
    text += cells[i];
    if (i + 1 < cells.size()) text.append(widths[i] - cells[i].size() + 2, ' ');
  }
  text += "\n";
}

void AppendFields(const nlohmann::json& object, const std::string& path, std::string& text) {
  for (const auto& [key, value] : object.items()) {
    const std::string name = path.empty() ? key : path + "." + key;
    if (value.is_object()) {
      AppendFields(value, name, text);
    } else {
      text += name + ": " + CellText(value) + "\n";
    }
  }
}

}  // namespace

std::string FormatTable(const nlohmann::json& rows, const std::vector<std::string>& columns) {
  std::vector<std::string> headings(columns.size());
  std::transform(columns.begin(), columns.end(), headings.begin(), Heading);
  std::vector<std::vector<std::string>> lines = {std::move(headings)};
  for (const nlohmann::json& row : rows) {
    std::vector<std::string> cells(columns.size());
    std::transform(columns.begin(), columns.end(), cells.begin(),
                   [&row](const std::string& column) { return FieldText(row, column); });
    lines.push_back(std::move(cells));
  }
  std::vector<std::size_t> widths(columns.size(), 0);
  for (const std::vector<std::string>& cells : lines) {
    for (std::size_t i = 0; i < cells.size(); ++i) widths[i] = std::max(widths[i], cells[i].size());
  }
  std::string text;
  for (const std::vector<std::string>& cells : lines) AppendRow(cells, widths, text);
  return text;
}

std::string FormatList(const nlohmann::json& list) { return CellText(list); }

std::string FormatFields(const nlohmann::json& object) {
  std::string text;
  AppendFields(object, "", text);
  return text;
}

}  // namespace fulmarpoint::ctl
