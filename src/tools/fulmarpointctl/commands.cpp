#include "commands.h"

#include <iostream>

#include "catalogue_commands.h"
#include "logs_command.h"
#include "report_commands.h"
#include "table_printer.h"
#include "transport/address.h"

namespace fulmarpoint::ctl {

namespace {

constexpr int kFirstFailureStatus = 300;
constexpr int kNotFoundStatus = 404;

AdminClient MakeClient(const CommandContext& context) {
  return {context.daemons, context.key, context.timeout};
}

int ShowEndpoints(const CommandContext& context) {
  const AdminResponse response = MakeClient(context).Send("GET", "/v1/admin/endpoints");
  const int status = ReportFailure(response);
  if (status != kSuccess || PrintIfJson(context, response)) return status;
  const nlohmann::json body = ParseBody(response);
  std::cout << "seen by " << response.address << "\n"
            << FormatTable(body.value("endpoints", nlohmann::json::array()),
                           {"name", "kind", "address", "failure_domain", "state", "slots", "active",
                            "queued", "report_age_ms"});
  return kSuccess;
}

int ShowRollouts(const CommandContext& context) {
  const AdminResponse response = MakeClient(context).Send("GET", "/v1/admin/rollouts");
  const int status = ReportFailure(response);
  if (status != kSuccess || PrintIfJson(context, response)) return status;
  std::cout << FormatTable(ParseBody(response).value("rollouts", nlohmann::json::array()),
                           {"rollout", "service", "from", "to", "phase", "share", "at_risk",
                            "regressed_after_done", "reason"});
  return kSuccess;
}

/// Queries all daemons, because only the one that handled the request has the decisions about it.
int ExplainRequest(const CommandContext& context) {
  AdminResponse response;
  for (const std::string& daemon : context.daemons) {
    AdminClient client({daemon}, context.key, context.timeout);
    const AdminResponse one = client.Send("GET", "/v1/admin/requests/" + context.arguments[0]);
    const bool better = one.delivery == Delivery::kResponded && one.status != kNotFoundStatus;
    if (better || response.delivery != Delivery::kResponded) response = one;
    if (better) break;
  }
  const int status = ReportFailure(response);
  if (status != kSuccess || PrintIfJson(context, response)) return status;
  nlohmann::json body = ParseBody(response);
  const nlohmann::json decisions = body.value("decisions", nlohmann::json::array());
  body.erase("decisions");
  std::cout << FormatFields(body) << FormatTable(decisions, {"after_ms", "decision", "reason"});
  return kSuccess;
}

int Drain(const CommandContext& context) {
  const std::string& address = context.arguments[0];
  if (!ParseSocketAddress(address)) {
    std::cerr << address << ": name the instance by its ip:port\n";
    return kUsage;
  }
  AdminClient client({address}, context.key, context.timeout);
  const AdminResponse response = client.Send("POST", "/v1/admin/drain");
  const int status = ReportFailure(response);
  if (status != kSuccess || PrintIfJson(context, response)) return status;
  std::cout << address << " drains\n";
  return kSuccess;
}

}  // namespace

const std::vector<Command>& Commands() {
  static const std::vector<Command> commands = {
      {"catalogue list", "", "entries in effect", 0, 0, ListCatalogue},
      {"catalogue get", "SERVICE", "one entry as a catalogue file", 1, 1, GetCatalogueEntry},
      {"catalogue diff", "FILE", "what apply would change", 1, 1, DiffCatalogue},
      {"catalogue apply", "FILE [REVISION]",
       "add or replace entries, unless changed after REVISION", 1, 2, ApplyCatalogue},
      {"catalogue remove", "SERVICE", "remove an entry", 1, 1, RemoveCatalogueEntry},
      {"catalogue history", "[REVISION]", "changes, from REVISION on", 0, 1, ShowCatalogueHistory},
      {"rollout start", "SERVICE VERSION DEADLINE [ID]",
       "move a service to VERSION; DEADLINE is +SECONDS or Unix milliseconds", 3, 4, StartRollout},
      {"rollout status", "", "all rollouts, with the evidence for their result", 0, 0,
       ShowRollouts},
      {"rollout abort", "SERVICE", "remove the rollout from the entry", 1, 1, AbortRollout},
      {"members", "", "the daemons in the view of one of them", 0, 0, ShowMembers},
      {"report burn", "[FILE.html]", "error budget consumption, merged from the given daemons", 0,
       1, ReportBurn},
      {"duties", "", "who performs the singleton duties; --daemon names metrics addresses", 0, 0,
       ShowDuties},
      {"endpoints", "", "health and load of the endpoints", 0, 0, ShowEndpoints},
      {"requests explain", "ID", "decisions about a request, with reasons", 1, 1, ExplainRequest},
      {"logs explain", "ID [FILE...]",
       "lines from logs that explain a request; default: standard input", 1, kMaxLogFiles,
       ExplainFromLogs, false},
      {"drain", "IP:PORT", "planned shutdown of one daemon", 1, 1, Drain},
  };
  return commands;
}

nlohmann::json ParseBody(const AdminResponse& response) {
  nlohmann::json body = nlohmann::json::parse(response.body, nullptr, /*allow_exceptions=*/false);
  return body.is_object() ? body : nlohmann::json::object();
}

bool PrintIfJson(const CommandContext& context, const AdminResponse& response) {
  if (context.json) std::cout << response.body << "\n";
  return context.json;
}

int ReportFailure(const AdminResponse& response) {
  if (response.delivery == Delivery::kUnreachable) {
    std::cerr << "no daemon can be reached; check --daemon (last tried: " << response.address
              << ")\n";
    return kUnreachable;
  }
  if (response.delivery == Delivery::kResponseLost) {
    std::cerr << response.address
              << " may have executed the command, but its answer was lost; read the state again\n";
    return kUnknownOutcome;
  }
  if (response.status < kFirstFailureStatus) return kSuccess;
  const nlohmann::json problem = ParseBody(response);
  std::cerr << response.address << ": "
            << problem.value("name", "status " + std::to_string(response.status)) << ": "
            << problem.value("detail", response.body) << "\n";
  return kRefused;
}

}  // namespace fulmarpoint::ctl
