#include "protocol/burn_report.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "protocol/field_reader.h"
#include "protocol/result_code.h"

namespace fulmarpoint {

namespace {

using Json = nlohmann::json;

constexpr double kMillion = 1e6;
constexpr std::size_t kMaxCauses = 8;
constexpr std::size_t kMaxHtmlRows = 100;
// Lengths of SVG bars in pixels.
constexpr double kBarLengthPerBurnRate = 30;
constexpr double kMaxBarLength = 420;

BurnRow* FindRow(BurnReport& report, const BurnRow& wanted) {
  for (BurnRow& row : report.rows) {
    if (row.organisation == wanted.organisation && row.service == wanted.service) return &row;
  }
  return nullptr;
}

void MergeCauses(const std::vector<BurnCause>& from, std::vector<BurnCause>& into) {
  for (const BurnCause& cause : from) {
    const auto same = [&cause](const BurnCause& other) { return other.SameCause(cause); };
    auto found = std::find_if(into.begin(), into.end(), same);
    if (found == into.end()) {
      into.push_back(cause);
    } else {
      found->requests += cause.requests;
    }
  }
  const auto larger = [](const BurnCause& a, const BurnCause& b) {
    return a.requests > b.requests;
  };
  std::stable_sort(into.begin(), into.end(), larger);
  if (into.size() > kMaxCauses) into.resize(kMaxCauses);
}

void MergeRow(const BurnRow& from, BurnReport& into) {
  BurnRow* row = FindRow(into, from);
  if (row == nullptr) {
    into.rows.push_back(from);
    return;
  }
  for (std::size_t i = 0; i < from.windows.size(); ++i) {
    row->windows[i].requests += from.windows[i].requests;
    row->windows[i].missed += from.windows[i].missed;
  }
  MergeCauses(from.causes, row->causes);
}

Json CauseToJson(const BurnCause& cause) {
  return {{"objective", NameOf(kObjectiveNames, cause.objective)},
          {"result", cause.result},
          {"version", cause.version},
          {"endpoint", cause.endpoint},
          {"failure_domain", cause.failure_domain},
          {"requests", cause.requests}};
}

Json RowToJson(const BurnRow& row) {
  Json windows = Json::object();
  for (const EnumName<BurnWindow>& window : kBurnWindowNames) {
    const BurnCount& count = row.windows[static_cast<std::size_t>(window.value)];
    windows[std::string(window.name)] = {{"requests", count.requests},
                                         {"missed", count.missed},
                                         {"burn_rate", BurnRate(row, window.value)}};
  }
  Json causes = Json::array();
  for (const BurnCause& cause : row.causes) causes.push_back(CauseToJson(cause));
  return {
      {"organisation", row.organisation}, {"service", row.service}, {"target_ppm", row.target_ppm},
      {"budget_left", BudgetLeft(row)},   {"windows", windows},     {"causes", causes}};
}

std::uint64_t ReadCount(FieldReader& reader, const std::string& key) {
  std::int64_t value = 0;
  reader.Integer(key, true, 0, INT64_MAX, value);
  return static_cast<std::uint64_t>(value);
}

BurnCause ReadCause(FieldReader& reader) {
  BurnCause cause;
  reader.Name("objective", kObjectiveNames, cause.objective);
  reader.String("result", true, cause.result, 0);
  reader.String("version", true, cause.version, 0);
  reader.String("endpoint", true, cause.endpoint, 0);
  reader.String("failure_domain", true, cause.failure_domain, 0);
  cause.requests = ReadCount(reader, "requests");
  return cause;
}

BurnCount ReadWindow(FieldReader& reader) {
  BurnCount count;
  count.requests = ReadCount(reader, "requests");
  count.missed = ReadCount(reader, "missed");
  return count;
}

/// Reads each object of the list `key` with `read`. Unknown fields are ignored, because reports
/// hold derived values such as rates.
template <typename T, typename Read>
void ReadList(FieldReader& parent, const std::string& key, Read read, std::vector<T>& items) {
  const Json* list = parent.Array(key);
  if (list == nullptr) return;
  for (const Json& item : *list) {
    FieldReader reader(item, parent.PathOf(key), nullptr);
    items.push_back(read(reader));
    parent.Adopt(reader.Error());
  }
}

BurnRow ReadRow(FieldReader& reader) {
  BurnRow row;
  std::int64_t target = 0;
  reader.String("organisation", true, row.organisation);
  reader.String("service", true, row.service);
  reader.Integer("target_ppm", true, 0, 1'000'000, target);
  row.target_ppm = static_cast<int>(target);
  if (const Json* windows = reader.Object("windows")) {
    FieldReader window_reader(*windows, reader.PathOf("windows"), nullptr);
    for (const EnumName<BurnWindow>& window : kBurnWindowNames) {
      const Json* counts = window_reader.Object(std::string(window.name));
      if (counts == nullptr) continue;
      FieldReader counts_reader(*counts, reader.PathOf("windows"), nullptr);
      row.windows[static_cast<std::size_t>(window.value)] = ReadWindow(counts_reader);
      reader.Adopt(counts_reader.Error());
    }
    reader.Adopt(window_reader.Error());
  }
  ReadList(reader, "causes", ReadCause, row.causes);
  return row;
}

FleetAction ReadAction(FieldReader& reader) {
  FleetAction action;
  reader.String("what", true, action.what);
  action.count = ReadCount(reader, "count");
  return action;
}

std::string EscapeHtml(const std::string& text) {
  std::string escaped;
  for (const char character : text) {
    switch (character) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += character;
    }
  }
  return escaped;
}

std::string Fixed(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.2f", value);
  return text;
}

std::string HtmlBar(double rate, int y, const char* colour) {
  const double length = std::clamp(rate * kBarLengthPerBurnRate, 0.0, kMaxBarLength);
  return "<rect x=\"0\" y=\"" + std::to_string(y) + "\" height=\"8\" width=\"" + Fixed(length) +
         "\" fill=\"" + colour + "\"/>";
}

std::string HtmlRow(const BurnRow& row) {
  const double fast = BurnRate(row, BurnWindow::kFiveMinutes);
  const double slow = BurnRate(row, BurnWindow::kOneHour);
  std::string cause = "none";
  if (!row.causes.empty()) {
    const BurnCause& top = row.causes.front();
    cause = std::string(NameOf(kObjectiveNames, top.objective)) + " " + top.result + " " +
            top.version + " " + top.endpoint + " " + top.failure_domain + " (" +
            std::to_string(top.requests) + ")";
  }
  return "<tr><td>" + EscapeHtml(row.organisation) + "</td><td>" + EscapeHtml(row.service) +
         "</td><td>" + Fixed(100 * BudgetLeft(row)) + "%</td><td>" + Fixed(fast) + "</td><td>" +
         Fixed(slow) + "</td><td><svg width=\"440\" height=\"22\">" + HtmlBar(fast, 2, "#c33") +
         HtmlBar(slow, 12, "#36c") +
         "<line x1=\"30\" x2=\"30\" y1=\"0\" y2=\"22\" stroke=\"#000\"/></svg></td><td>" +
         EscapeHtml(cause) + "</td></tr>\n";
}

}  // namespace

bool BurnCause::SameCause(const BurnCause& other) const {
  return objective == other.objective && result == other.result && version == other.version &&
         endpoint == other.endpoint && failure_domain == other.failure_domain;
}

double BurnRate(const BurnRow& row, BurnWindow window) {
  const BurnCount& count = row.windows[static_cast<std::size_t>(window)];
  const double allowed = 1.0 - row.target_ppm / kMillion;
  if (count.requests == 0 || allowed <= 0) return 0;
  return static_cast<double>(count.missed) / static_cast<double>(count.requests) / allowed;
}

double BudgetLeft(const BurnRow& row) { return 1.0 - BurnRate(row, BurnWindow::kOneDay); }

void MergeBurn(const BurnReport& from, BurnReport& into) {
  into.daemons.insert(into.daemons.end(), from.daemons.begin(), from.daemons.end());
  into.missing.insert(into.missing.end(), from.missing.begin(), from.missing.end());
  for (const BurnRow& row : from.rows) MergeRow(row, into);
  for (const FleetAction& action : from.actions) {
    const auto same = [&action](const FleetAction& other) { return other.what == action.what; };
    auto found = std::find_if(into.actions.begin(), into.actions.end(), same);
    if (found == into.actions.end()) {
      into.actions.push_back(action);
    } else {
      found->count += action.count;
    }
  }
}

std::string ToJson(const BurnReport& report) {
  Json rows = Json::array();
  for (const BurnRow& row : report.rows) rows.push_back(RowToJson(row));
  Json actions = Json::array();
  for (const FleetAction& action : report.actions) {
    actions.push_back({{"what", action.what}, {"count", action.count}});
  }
  const Json object = {{"daemons", report.daemons},
                       {"missing", report.missing},
                       {"rows", rows},
                       {"actions", actions}};
  return object.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Parsed<BurnReport> ParseBurnReport(std::string_view text) {
  const Json object = Json::parse(text, nullptr, false);
  if (object.is_discarded()) {
    return ParseError{make_error_code(ResultCode::kBadRequest), "", 0, "must be valid JSON"};
  }
  FieldReader reader(object, "", nullptr);
  BurnReport report;
  reader.Strings("daemons", report.daemons);
  reader.Strings("missing", report.missing);
  ReadList(reader, "rows", ReadRow, report.rows);
  ReadList(reader, "actions", ReadAction, report.actions);
  if (reader.Finish()) return *reader.Finish();
  return report;
}

std::string ToHtml(const BurnReport& report) {
  std::vector<BurnRow> rows = report.rows;
  const auto worse = [](const BurnRow& a, const BurnRow& b) {
    return BurnRate(a, BurnWindow::kOneHour) > BurnRate(b, BurnWindow::kOneHour);
  };
  std::stable_sort(rows.begin(), rows.end(), worse);
  if (rows.size() > kMaxHtmlRows) rows.resize(kMaxHtmlRows);
  std::string page =
      "<!doctype html><html><head><meta charset=\"utf-8\"><title>Service-level burn</title>"
      "<style>body{font:14px sans-serif}td,th{padding:2px 8px;text-align:left}</style></head><body>"
      "<h1>Service-level burn</h1><p>Daemons counted: " +
      std::to_string(report.daemons.size()) + ". Missing: ";
  page += report.missing.empty() ? "none" : "";
  for (const std::string& daemon : report.missing) page += EscapeHtml(daemon) + " ";
  page +=
      "</p><p>Burn rate: red over 5 minutes, blue over 1 hour; the line is 1, which spends the "
      "budget exactly.</p><table><tr><th>organisation</th><th>service</th><th>budget left</th>"
      "<th>5m</th><th>1h</th><th>burn rate</th><th>largest cause</th></tr>\n";
  for (const BurnRow& row : rows) page += HtmlRow(row);
  page += "</table><h2>What the fleet did</h2><ul>";
  for (const FleetAction& action : report.actions) {
    page += "<li>" + EscapeHtml(action.what) + ": " + std::to_string(action.count) + "</li>";
  }
  return page + "</ul></body></html>\n";
}

}  // namespace fulmarpoint
