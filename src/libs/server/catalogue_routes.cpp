#include "server/catalogue_routes.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "http_api/problem_reply.h"
#include "http_api/url.h"
#include "protocol/catalogue_item.h"
#include "server/admin_routes.h"
#include "server/api_key.h"
#include "server/control_plane_driver.h"
#include "server/table_client.h"

namespace fulmarpoint {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxRevisions = 100;

Json NamesOf(const std::vector<InstanceId>& ids) {
  Json names = Json::array();
  for (const InstanceId& id : ids) names.push_back(ToString(id));
  return names;
}

Json ToJson(const ApplyReport& report) {
  Json differences = Json::array();
  for (const FieldDifference& difference : report.differences) {
    differences.push_back({{"service", difference.service},
                           {"field", difference.field},
                           {"in_effect", difference.in_effect},
                           {"proposed", difference.proposed}});
  }
  return {{"status", NameOf(kApplyStatusNames, report.status)},
          {"revision", report.revision},
          {"in_effect", NamesOf(report.in_effect)},
          {"fenced", NamesOf(report.fenced)},
          {"unknown", NamesOf(report.unknown)},
          {"differences", differences}};
}

HttpReply ReplyOf(const ApplyReport& report) {
  switch (report.status) {
    case ApplyStatus::kAccepted:
    case ApplyStatus::kUnchanged:
      return JsonReply(200, ToJson(report));
    case ApplyStatus::kCommittedNotAccepted:
      return JsonReply(202, ToJson(report));
    case ApplyStatus::kNoMajority:
      return ProblemReply(
          ResultCode::kNoMajority,
          "too few voters are reachable from this daemon; nothing was written. Send "
          "the change to a daemon on the larger side of the partition");
    case ApplyStatus::kBusy:
      return ProblemReply(ResultCode::kOverloaded,
                          "this daemon applies another change or has not caught up; nothing was "
                          "written. Try again",
                          std::chrono::seconds(2));
    case ApplyStatus::kOutcomeUnknown:
      return ProblemReply(ResultCode::kOutcomeUnknown,
                          "the table service did not answer; read /v1/admin/catalogue/history "
                          "before repeating the change");
    case ApplyStatus::kConflict:
      break;
  }
  // The problem document of a conflict also carries the differences.
  HttpReply reply = ProblemReply(ResultCode::kConflict,
                                 "the catalogue was changed in the meantime; nothing was written");
  Json problem = Json::parse(reply.body, nullptr, false);
  problem["differences"] = ToJson(report)["differences"];
  reply.body = problem.dump();
  return reply;
}

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return number;
}

Json ToJson(const ControlPlaneStatus& status) {
  Json services = Json::array();
  for (const CatalogueEntryPtr& entry : status.entries) {
    services.push_back(Json::parse(fulmarpoint::ToJson(*entry)));
  }
  Json json = {{"revision", status.revision},
               {"accepts_work", status.accepts_work},
               {"voters", NamesOf(status.voters.current)},
               {"service", services}};
  if (status.is_confirmed) {
    json["proof_age_ms"] =
        std::chrono::duration<double, std::milli>(status.confirmation_age).count();
  }
  return json;
}

Json ToJson(const MemberStatus& status) {
  const MemberUpdate& info = status.member.info;
  return {{"name", info.id.name},
          {"incarnation", info.id.incarnation},
          {"address", info.address},
          {"failure_domain", info.failure_domain},
          {"region", info.region},
          {"state", NameOf(kMemberStateNames, info.state)},
          {"leaving", info.leaving || status.member.list_leaving},
          {"gone", status.gone}};
}

Task<HttpReply> AnswerMembers(ControlPlaneDriver& control) {
  const ControlPlaneStatus status = co_await control.Status();
  Json members = Json::array();
  members.push_back(ToJson(MemberStatus{{.info = status.self}, false}));
  for (const MemberStatus& member : status.members) members.push_back(ToJson(member));
  const Json body = {
      {"self", status.self.id.name}, {"members", members}, {"state_bytes", status.state_bytes}};
  co_return JsonReply(200, body);
}

Task<HttpReply> AnswerHistory(Services& services, std::string target) {
  const std::optional<std::string> since = QueryParameter(target, "since");
  const std::optional<std::uint64_t> first = ParseNumber(since.value_or("0"));
  if (!first) co_return ProblemReply(ResultCode::kBadRequest, "since must be a revision");
  const RowsRead read = co_await services.tables.ListSince(kCatalogueHistoryTable, 0);
  if (read.error) {
    co_return ProblemReply(ResultCode::kStoreUnavailable, "the table service does not answer");
  }
  Json revisions = Json::array();
  for (const StoredRow& row : read.rows) {
    if (!row.value || row.key <= HistoryKey(*first)) continue;
    const Parsed<RevisionRecord> record = ParseRevisionRecord(*row.value);
    if (!record) continue;
    revisions.push_back({{"revision", record.Value().revision},
                         {"author", record.Value().author},
                         {"at_unix_ms", record.Value().at},
                         {"items", record.Value().keys}});
  }
  // Without `since`, the answer holds the latest revisions.
  if (revisions.size() > kMaxRevisions) {
    const auto excess = static_cast<std::ptrdiff_t>(revisions.size() - kMaxRevisions);
    if (since) {
      revisions.erase(revisions.end() - excess, revisions.end());
    } else {
      revisions.erase(revisions.begin(), revisions.begin() + excess);
    }
  }
  const Json body = {{"revisions", revisions}};
  co_return JsonReply(200, body);
}

Task<HttpReply> AnswerCatalogue(Services& services, ControlPlaneDriver& control,
                                HttpRequest request) {
  const std::string_view path = PathOf(request.target);
  if (path.ends_with("/history")) co_return co_await AnswerHistory(services, request.target);
  if (path != "/v1/admin/catalogue") {
    co_return ProblemReply(ResultCode::kNotFound, "no such page of the catalogue");
  }
  const ControlPlaneStatus status = co_await control.Status();
  co_return JsonReply(200, ToJson(status));
}

/// Returns a name for the operator's key that does not reveal it.
std::string AuthorOf(const HttpRequest& request) {
  const std::optional<std::string> hash = KeyHashOf(request.headers);
  return "operator key " + (hash ? hash->substr(0, 12) : std::string("unknown"));
}

Task<HttpReply> ApplyCatalogue(ControlPlaneDriver& control, HttpRequest request) {
  CatalogueWriter::Apply change;
  change.author = AuthorOf(request);
  change.at = WallNow();
  const std::optional<std::string> removed = QueryParameter(request.target, "remove");
  if (removed) change.removed.push_back(*removed);
  const std::optional<std::string> expected = QueryParameter(request.target, "expect");
  if (expected) {
    change.expected_revision = ParseNumber(*expected);
    if (!change.expected_revision) {
      co_return ProblemReply(ResultCode::kBadRequest, "expect must be a revision");
    }
  }
  if (!request.body.empty()) {
    Parsed<std::vector<CatalogueEntry>> entries = ParseCatalogueToml(request.body);
    if (!entries) {
      co_return ProblemReply(ResultCode::kInvalidCatalogue, Describe(entries.Error()));
    }
    change.entries = std::move(entries.Value());
  }
  if (change.entries.empty() && change.removed.empty()) {
    co_return ProblemReply(ResultCode::kBadRequest,
                           "send entries as TOML, or remove=SERVICE, or both");
  }
  const ApplyReport report = co_await control.Apply(std::move(change));
  co_return ReplyOf(report);
}

}  // namespace

void RegisterCatalogueRoutes(AdminRoutes& routes, Services& services, ControlPlaneDriver& control) {
  routes.Register("GET /v1/admin/catalogue", [&services, &control](HttpRequest request) {
    return AnswerCatalogue(services, control, std::move(request));
  });
  routes.Register("PUT /v1/admin/catalogue", [&control](HttpRequest request) {
    return ApplyCatalogue(control, std::move(request));
  });
  routes.Register("GET /v1/admin/members",
                  [&control](const HttpRequest&) { return AnswerMembers(control); });
}

}  // namespace fulmarpoint
