#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "load_run.h"
#include "verification/checker.h"

namespace fulmarpoint::load {

/// Result of one load run.
struct Report {
  nlohmann::json json;
  std::vector<Violation> violations;
  History history;
};

/// Checks the history of a finished run and computes the statistics. Thread-safe for distinct runs.
Report MakeReport(LoadRun& run);

/// Formats the report as text: statistics, latency histograms, violations.
std::string ToText(const Report& report);

}  // namespace fulmarpoint::load
