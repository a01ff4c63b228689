#include "report_commands.h"

#include <fstream>
#include <iostream>

#include "duties_report.h"
#include "protocol/burn_report.h"
#include "table_printer.h"

namespace fulmarpoint::ctl {

namespace {

void PrintBurn(const nlohmann::json& report) {
  std::cout << "daemons: " << FormatList(report["daemons"])
            << "\nmissing: " << FormatList(report["missing"]) << "\n\n"
            << FormatTable(report["rows"],
                           {"organisation", "service", "target_ppm", "budget_left",
                            "windows.5m.burn_rate", "windows.1h.burn_rate", "windows.1d.burn_rate",
                            "windows.1d.requests", "windows.1d.missed"});
  nlohmann::json causes = nlohmann::json::array();
  for (const nlohmann::json& row : report["rows"]) {
    for (nlohmann::json cause : row["causes"]) {
      cause["organisation"] = row["organisation"];
      cause["service"] = row["service"];
      causes.push_back(cause);
    }
  }
  if (!causes.empty()) {
    std::cout << "\n"
              << FormatTable(causes, {"organisation", "service", "objective", "result", "version",
                                      "endpoint", "failure_domain", "requests"});
  }
  if (!report["actions"].empty()) {
    std::cout << "\n" << FormatTable(report["actions"], {"what", "count"});
  }
}

}  // namespace

int ReportBurn(const CommandContext& context) {
  BurnReport merged;
  AdminResponse last;
  for (const std::string& daemon : context.daemons) {
    AdminClient client({daemon}, context.key, context.timeout);
    last = client.Send("GET", "/v1/admin/burn");
    if (last.delivery != Delivery::kResponded) {
      merged.missing.push_back(daemon);
      continue;
    }
    const int status = ReportFailure(last);
    if (status != kSuccess) return status;
    const Parsed<BurnReport> report = ParseBurnReport(last.body);
    if (report) {
      MergeBurn(report.Value(), merged);
    } else {
      merged.missing.push_back(daemon);
    }
  }
  if (merged.daemons.empty()) return ReportFailure(last);
  if (!context.arguments.empty()) {
    std::ofstream file(context.arguments[0]);
    file << ToHtml(merged);
    if (!file.flush()) {
      std::cerr << context.arguments[0] << ": cannot be written\n";
      return kUsage;
    }
  }
  const std::string text = ToJson(merged);
  if (context.json) {
    std::cout << text << "\n";
  } else {
    PrintBurn(nlohmann::json::parse(text));
  }
  return kSuccess;
}

int ShowDuties(const CommandContext& context) {
  nlohmann::json statuses = nlohmann::json::array();
  nlohmann::json missing = nlohmann::json::array();
  AdminResponse last;
  for (const std::string& daemon : context.daemons) {
    // The metrics are public, so the operator's key is not sent there.
    AdminClient client({daemon}, "", context.timeout);
    last = client.Send("GET", "/duties");
    if (last.delivery != Delivery::kResponded) {
      missing.push_back(daemon);
      continue;
    }
    const int status = ReportFailure(last);
    if (status != kSuccess) return status;
    // A daemon of a build without duties answers with its metrics; its row has no values.
    nlohmann::json duties = ParseBody(last);
    duties["daemon"] = daemon;
    statuses.push_back(std::move(duties));
  }
  if (statuses.empty()) return ReportFailure(last);
  if (context.json) {
    std::cout << nlohmann::json{{"daemons", statuses}, {"missing", missing}}.dump() << "\n";
    return kSuccess;
  }
  if (!missing.empty()) std::cout << "missing: " << FormatList(missing) << "\n\n";
  std::cout << FormatDuties(statuses);
  return kSuccess;
}

}  // namespace fulmarpoint::ctl
