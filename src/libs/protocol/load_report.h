#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/identifiers.h"
#include "protocol/parse_error.h"
#include "utils/time.h"

namespace fulmarpoint {

/// A model version that is loaded in an engine.
struct LoadedModel {
  std::string model;
  VersionName version;
  std::vector<std::string> adapters;
};

/// Response of an endpoint to GET /v1/load.
struct LoadReport {
  std::uint64_t incarnation = 0;
  int slots = 0;
  int active = 0;
  int queued = 0;
  bool leaving = false;
  /// Model engines only.
  std::vector<LoadedModel> models;
  /// Application engines only.
  VersionName version;
  /// Services of an application engine; empty if it serves every application service.
  std::vector<ServiceName> services;
  std::uint64_t cache_sequence = 0;
  /// Zero if not reported.
  Duration token_interval{};
};

/// Parses a load report. Unknown keys are ignored, because endpoints may be newer than this daemon.
/// Thread-safe.
Parsed<LoadReport> ParseLoadReport(std::string_view json);

}  // namespace fulmarpoint
