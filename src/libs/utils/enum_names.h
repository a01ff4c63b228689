#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace fulmarpoint {

/// One row of a table that gives the values of an `enum class` their names in text.
template <typename Enum>
struct EnumName {
  Enum value;
  std::string_view name;
};

/// Returns the name of `value`, or "unknown" if the table has no row for it. Thread-safe.
template <typename Enum, std::size_t N>
constexpr std::string_view NameOf(const std::array<EnumName<Enum>, N>& table, Enum value) {
  for (const EnumName<Enum>& row : table) {
    if (row.value == value) return row.name;
  }
  return "unknown";
}

/// Returns the value named `name`, or nothing if the table has no such name. Thread-safe.
template <typename Enum, std::size_t N>
constexpr std::optional<Enum> ValueOf(const std::array<EnumName<Enum>, N>& table,
                                      std::string_view name) {
  for (const EnumName<Enum>& row : table) {
    if (row.name == name) return row.value;
  }
  return std::nullopt;
}

}  // namespace fulmarpoint
