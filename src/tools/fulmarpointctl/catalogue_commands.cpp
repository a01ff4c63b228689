#include "catalogue_commands.h"

#include <charconv>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

#include "protocol/catalogue.h"
#include "protocol/catalogue_diff.h"
#include "table_printer.h"
#include "toml_writer.h"

namespace fulmarpoint::ctl {

namespace {

constexpr char kCataloguePath[] = "/v1/admin/catalogue";
constexpr char kToml[] = "application/toml";
constexpr std::size_t kMaxDifferences = 1000;
constexpr int kCommittedNotAccepted = 202;

/// The catalogue in effect at one daemon, and the exit status of reading it.
struct CurrentCatalogue {
  int status = kSuccess;
  AdminResponse response;
  nlohmann::json body;
};

CurrentCatalogue ReadCurrentCatalogue(AdminClient& client) {
  CurrentCatalogue current;
  current.response = client.Send("GET", kCataloguePath);
  current.status = ReportFailure(current.response);
  if (current.status == kSuccess) current.body = ParseBody(current.response);
  return current;
}

nlohmann::json Entries(const CurrentCatalogue& current) {
  return current.body.value("service", nlohmann::json::array());
}

std::optional<nlohmann::json> FindEntry(const CurrentCatalogue& current,
                                        const std::string& service) {
  for (const nlohmann::json& entry : Entries(current)) {
    if (entry.value("service", std::string()) == service) return entry;
  }
  std::cerr << service << " is not in the catalogue; see fulmarpointctl catalogue list\n";
  return std::nullopt;
}

/// Reads and validates a catalogue file, so that errors are reported before anything is sent.
std::optional<std::vector<CatalogueEntry>> ReadFile(const std::string& path, std::string& text) {
  std::ifstream file(path);
  std::ostringstream content;
  content << file.rdbuf();
  if (!file) {
    std::cerr << path << ": cannot be read\n";
    return std::nullopt;
  }
  text = content.str();
  Parsed<std::vector<CatalogueEntry>> entries = ParseCatalogueToml(text);
  if (!entries) {
    std::cerr << path << ": " << Describe(entries.Error()) << "\n";
    return std::nullopt;
  }
  return std::move(entries.Value());
}

void PrintDifferences(const nlohmann::json& differences) {
  if (!differences.empty()) {
    std::cout << FormatTable(differences, {"service", "field", "in_effect", "proposed"});
  }
}

/// Prints the response to a change and returns the exit status.
int ReportChange(const CommandContext& context, const AdminResponse& response) {
  const int status = ReportFailure(response);
  if (status != kSuccess) {
    PrintDifferences(ParseBody(response).value("differences", nlohmann::json::array()));
    return status;
  }
  const nlohmann::json body = ParseBody(response);
  if (!PrintIfJson(context, response)) {
    std::cout << body.value("status", std::string()) << " revision "
              << body.value("revision", std::uint64_t{0}) << "\n"
              << FormatFields({{"in_effect", body.value("in_effect", nlohmann::json::array())},
                               {"fenced", body.value("fenced", nlohmann::json::array())},
                               {"unknown", body.value("unknown", nlohmann::json::array())}});
  }
  if (response.status != kCommittedNotAccepted) return kSuccess;
  std::cerr << "the change is written, but too few daemons confirmed it; see fulmarpointctl "
               "members and catalogue history\n";
  return kUnknownOutcome;
}

int PutEntry(const CommandContext& context, AdminClient& client, const nlohmann::json& entry,
             std::uint64_t revision) {
  const std::string target = std::string(kCataloguePath) + "?expect=" + std::to_string(revision);
  const std::string body = CatalogueToml(nlohmann::json::array({entry}));
  return ReportChange(context, client.Send("PUT", target, body, kToml));
}

/// Accepts Unix milliseconds or "+SECONDS" from now.
std::optional<UnixMillis> ParseDeadline(const std::string& text) {
  const bool relative = text.starts_with('+');
  const char* begin = text.data() + (relative ? 1 : 0);
  const char* end = text.data() + text.size();
  UnixMillis number = 0;
  const std::from_chars_result result = std::from_chars(begin, end, number);
  if (result.ec != std::errc() || result.ptr != end || number <= 0) return std::nullopt;
  return relative ? WallNow() + number * 1000 : number;
}

}  // namespace

int ListCatalogue(const CommandContext& context) {
  AdminClient client(context.daemons, context.key, context.timeout);
  const CurrentCatalogue current = ReadCurrentCatalogue(client);
  if (current.status != kSuccess || PrintIfJson(context, current.response)) return current.status;
  std::cout << "revision " << current.body.value("revision", std::uint64_t{0}) << " at "
            << current.response.address << "\n"
            << FormatTable(Entries(current), {"service", "kind", "class", "owner", "model",
                                              "version", "versions", "rollout.id", "revision"});
  return kSuccess;
}

int GetCatalogueEntry(const CommandContext& context) {
  AdminClient client(context.daemons, context.key, context.timeout);
  const CurrentCatalogue current = ReadCurrentCatalogue(client);
  if (current.status != kSuccess) return current.status;
  const std::optional<nlohmann::json> entry = FindEntry(current, context.arguments[0]);
  if (!entry) return kRefused;
  std::cout << (context.json ? entry->dump(2) + "\n"
                             : CatalogueToml(nlohmann::json::array({*entry})));
  return kSuccess;
}

int ApplyCatalogue(const CommandContext& context) {
  std::string text;
  if (!ReadFile(context.arguments[0], text)) return kUsage;
  std::string target = kCataloguePath;
  if (context.arguments.size() > 1) target += "?expect=" + context.arguments[1];
  AdminClient client(context.daemons, context.key, context.timeout);
  return ReportChange(context, client.Send("PUT", target, text, kToml));
}

int RemoveCatalogueEntry(const CommandContext& context) {
  AdminClient client(context.daemons, context.key, context.timeout);
  const CurrentCatalogue current = ReadCurrentCatalogue(client);
  if (current.status != kSuccess) return current.status;
  if (!FindEntry(current, context.arguments[0])) return kRefused;
  const std::uint64_t revision = current.body.value("revision", std::uint64_t{0});
  const std::string target = std::string(kCataloguePath) + "?remove=" + context.arguments[0] +
                             "&expect=" + std::to_string(revision);
  return ReportChange(context, client.Send("PUT", target));
}

int DiffCatalogue(const CommandContext& context) {
  std::string text;
  const std::optional<std::vector<CatalogueEntry>> proposed = ReadFile(context.arguments[0], text);
  if (!proposed) return kUsage;
  AdminClient client(context.daemons, context.key, context.timeout);
  const CurrentCatalogue current = ReadCurrentCatalogue(client);
  if (current.status != kSuccess) return current.status;
  nlohmann::json differences = nlohmann::json::array();
  for (const CatalogueEntry& entry : *proposed) {
    std::optional<CatalogueEntry> in_effect;
    for (const nlohmann::json& item : Entries(current)) {
      Parsed<CatalogueEntry> parsed = ParseCatalogueEntryJson(item.dump());
      if (parsed && parsed.Value().service == entry.service) in_effect = parsed.Value();
    }
    const CatalogueEntry* existing = in_effect ? &*in_effect : nullptr;
    for (const FieldDifference& difference : CompareEntries(existing, &entry, kMaxDifferences)) {
      if (difference.field == "/revision") continue;
      differences.push_back({{"service", difference.service},
                             {"field", difference.field},
                             {"in_effect", difference.in_effect},
                             {"proposed", difference.proposed}});
    }
  }
  if (context.json) {
    std::cout << differences.dump(2) << "\n";
  } else if (differences.empty()) {
    std::cout << "no differences\n";
  } else {
    PrintDifferences(differences);
  }
  return kSuccess;
}

int ShowCatalogueHistory(const CommandContext& context) {
  AdminClient client(context.daemons, context.key, context.timeout);
  std::string target = std::string(kCataloguePath) + "/history";
  if (!context.arguments.empty()) target += "?since=" + context.arguments[0];
  const AdminResponse response = client.Send("GET", target);
  const int status = ReportFailure(response);
  if (status != kSuccess || PrintIfJson(context, response)) return status;
  std::cout << FormatTable(ParseBody(response).value("revisions", nlohmann::json::array()),
                           {"revision", "at_unix_ms", "author", "items"});
  return kSuccess;
}

int ShowMembers(const CommandContext& context) {
  AdminClient client(context.daemons, context.key, context.timeout);
  const AdminResponse response = client.Send("GET", "/v1/admin/members");
  const int status = ReportFailure(response);
  if (status != kSuccess || PrintIfJson(context, response)) return status;
  const nlohmann::json body = ParseBody(response);
  std::cout << "seen by " << body.value("self", response.address) << "\n"
            << FormatTable(
                   body.value("members", nlohmann::json::array()),
                   {"name", "address", "failure_domain", "region", "state", "leaving", "gone"});
  return kSuccess;
}

int StartRollout(const CommandContext& context) {
  const std::optional<UnixMillis> deadline = ParseDeadline(context.arguments[2]);
  if (!deadline) {
    std::cerr << context.arguments[2] << ": give the deadline as Unix milliseconds or +SECONDS\n";
    return kUsage;
  }
  AdminClient client(context.daemons, context.key, context.timeout);
  const CurrentCatalogue current = ReadCurrentCatalogue(client);
  if (current.status != kSuccess) return current.status;
  std::optional<nlohmann::json> entry = FindEntry(current, context.arguments[0]);
  if (!entry) return kRefused;
  const std::string id =
      context.arguments.size() > 3
          ? context.arguments[3]
          : context.arguments[0] + "-" + context.arguments[1] + "-" + std::to_string(*deadline);
  (*entry)["rollout"] = {{"id", id},
                         {"from", entry->value("version", std::string())},
                         {"to", context.arguments[1]},
                         {"deadline_unix_ms", *deadline}};
  return PutEntry(context, client, *entry, current.body.value("revision", std::uint64_t{0}));
}

int AbortRollout(const CommandContext& context) {
  AdminClient client(context.daemons, context.key, context.timeout);
  const CurrentCatalogue current = ReadCurrentCatalogue(client);
  if (current.status != kSuccess) return current.status;
  std::optional<nlohmann::json> entry = FindEntry(current, context.arguments[0]);
  if (!entry) return kRefused;
  if (entry->erase("rollout") == 0) {
    std::cerr << context.arguments[0] << " has no rollout in the catalogue\n";
    return kRefused;
  }
  return PutEntry(context, client, *entry, current.body.value("revision", std::uint64_t{0}));
}

}  // namespace fulmarpoint::ctl
