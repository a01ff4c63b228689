#include "report_commands.h"

#include <fstream>
#include <iostream>

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

}  // namespace fulmarpoint::ctl
