#include "server/table_client.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "http_api/url.h"

namespace fulmarpoint {

namespace {

using Json = nlohmann::json;

std::error_code BadReply() { return std::make_error_code(std::errc::bad_message); }

std::optional<StoredRow> ParseRow(const Json& json, const std::string& table,
                                  const std::string& key) {
  if (!json.is_object()) return std::nullopt;
  StoredRow row;
  row.table = table;
  row.key = key;
  const auto version = json.find("version");
  if (version == json.end() || !version->is_number_unsigned()) return std::nullopt;
  row.version = version->get<std::uint64_t>();
  const auto value = json.find("value");
  if (value == json.end() || value->is_null()) return row;
  if (!value->is_string()) return std::nullopt;
  row.value = value->get<std::string>();
  return row;
}

std::string TextOf(const Json& json, const char* key) {
  const auto found = json.find(key);
  return found != json.end() && found->is_string() ? found->get<std::string>() : "";
}

std::vector<StoredRow> ParseConflicts(const std::string& body) {
  std::vector<StoredRow> rows;
  const Json json = Json::parse(body, nullptr, false);
  if (!json.is_object() || !json.contains("conflicts")) return rows;
  for (const Json& item : json["conflicts"]) {
    if (!item.is_object()) continue;
    std::optional<StoredRow> row = ParseRow(item, TextOf(item, "table"), TextOf(item, "key"));
    if (row) rows.push_back(std::move(*row));
  }
  return rows;
}

Json ToJson(const RowChange& change) {
  Json json = {{"table", change.table}, {"key", change.key}, {"expect", change.expect}};
  json["value"] = change.value ? Json(*change.value) : Json();
  return json;
}

}  // namespace

TableClient::TableClient(HttpClient& http, std::string address, Duration timeout)
    : m_http(http), m_address(std::move(address)), m_timeout(timeout) {}

Task<RowRead> TableClient::Read(std::string table, std::string key) {
  HttpClientRequest request;
  request.address = m_address;
  request.target = "/tables/" + PercentEncode(table) + "/rows/" + PercentEncode(key);
  request.timeout = m_timeout;
  const HttpResult result = co_await m_http.Send(std::move(request));
  RowRead read;
  read.error = result.error;
  if (read.error || result.reply.status == 404) co_return read;
  const Json json = Json::parse(result.reply.body, nullptr, false);
  if (result.reply.status == 200) read.row = ParseRow(json, table, key);
  if (!read.row) read.error = BadReply();
  if (read.row && !read.row->value) read.row.reset();
  co_return read;
}

Task<RowsRead> TableClient::ListSince(std::string table, std::uint64_t version) {
  HttpClientRequest request;
  request.address = m_address;
  request.target = "/tables/" + PercentEncode(table) + "/rows?since=" + std::to_string(version);
  request.timeout = m_timeout;
  const HttpResult result = co_await m_http.Send(std::move(request));
  RowsRead read;
  read.error = result.error;
  if (read.error) co_return read;
  read.error = BadReply();
  const Json json = Json::parse(result.reply.body, nullptr, false);
  if (result.reply.status != 200 || !json.is_object() || !json.contains("rows")) co_return read;
  for (const Json& item : json["rows"]) {
    std::optional<StoredRow> row =
        item.is_object() ? ParseRow(item, table, TextOf(item, "key")) : std::nullopt;
    if (!row) co_return read;
    read.rows.push_back(std::move(*row));
  }
  if (!json.contains("version") || !json["version"].is_number_unsigned()) co_return read;
  read.version = json["version"].get<std::uint64_t>();
  read.error = {};
  co_return read;
}

Task<TransactionResult> TableClient::Write(std::vector<RowChange> changes) {
  Json operations = Json::array();
  for (const RowChange& change : changes) operations.push_back(ToJson(change));
  HttpClientRequest request;
  request.address = m_address;
  request.method = "POST";
  request.target = "/transactions";
  request.headers.push_back({"Content-Type", "application/json"});
  request.body =
      Json{{"operations", operations}}.dump(-1, ' ', false, Json::error_handler_t::replace);
  request.timeout = m_timeout;
  const HttpResult result = co_await m_http.Send(std::move(request));
  TransactionResult write;
  if (result.error) {
    write.outcome = result.nothing_written ? WriteOutcome::kNotApplied : WriteOutcome::kUnknown;
    co_return write;
  }
  if (result.reply.status == 409) {
    write.outcome = WriteOutcome::kConflict;
    write.conflicts = ParseConflicts(result.reply.body);
    co_return write;
  }
  // A server error does not say whether the transaction took effect.
  if (result.reply.status >= 400 && result.reply.status < 500) {
    write.outcome = WriteOutcome::kNotApplied;
    co_return write;
  }
  const Json json = Json::parse(result.reply.body, nullptr, false);
  if (result.reply.status != 200 || !json.is_object() || !json.contains("version") ||
      !json["version"].is_number_unsigned()) {
    co_return write;
  }
  write.outcome = WriteOutcome::kCommitted;
  write.version = json["version"].get<std::uint64_t>();
  co_return write;
}

}  // namespace fulmarpoint
