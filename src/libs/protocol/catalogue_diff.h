#pragma once

#include <string>
#include <vector>

#include "protocol/catalogue.h"

namespace fulmarpoint {

/// A field that differs between two versions of an entry. Values are JSON; empty if absent.
struct FieldDifference {
  ServiceName service;
  /// JSON pointer, such as `/limits/max_concurrent`; empty if the whole entry is absent on one
  /// side.
  std::string field;
  std::string in_effect;
  std::string proposed;
};

/// Returns at most `limit` differences. Either entry may be null. Thread-safe.
std::vector<FieldDifference> CompareEntries(const CatalogueEntry* in_effect,
                                            const CatalogueEntry* proposed, std::size_t limit);

}  // namespace fulmarpoint
