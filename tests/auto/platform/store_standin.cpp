#include "store_standin.h"

#include <cereal/external/base64.hpp>
#include <nlohmann/json.hpp>

#include "http_api/problem_reply.h"
#include "http_api/url.h"

namespace fulmarpoint {

namespace {

using Json = nlohmann::json;

constexpr Duration kPollInterval = std::chrono::milliseconds(2);

std::string Encode(const std::string& value) {
  return cereal::base64::encode(reinterpret_cast<const unsigned char*>(value.data()), value.size());
}

std::string Parameter(const std::string& target, const char* name) {
  return QueryParameter(target, name).value_or("");
}

}  // namespace

StoreStandin::StoreStandin(const Executor& executor)
    : m_server(
          executor, HttpServerLimits(), [this](HttpExchange& exchange) { return Handle(exchange); },
          [](HttpRejection) {
            return HttpReply{400, {}, ""};
          }) {
  m_server.Listen("127.0.0.1:0");
}

void StoreStandin::Put(const std::string& table, const std::string& key, const std::string& value) {
  m_tables[table][key] = {value, ++m_version, false};
}

void StoreStandin::Remove(const std::string& table, const std::string& key) {
  m_tables[table][key] = {"", ++m_version, true};
}

void StoreStandin::Restore() {
  m_tables = m_copy.tables;
  m_version = m_copy.version;
  ++m_epoch;
}

bool StoreStandin::Has(const std::string& table, const std::string& key) const {
  const auto found = m_tables.find(table);
  if (found == m_tables.end()) return false;
  const auto row = found->second.find(key);
  return row != found->second.end() && !row->second.removed;
}

std::string StoreStandin::Value(const std::string& table, const std::string& key) const {
  return Has(table, key) ? m_tables.at(table).at(key).value : std::string();
}

Task<void> StoreStandin::Handle(HttpExchange& exchange) {
  ++m_calls;
  const HttpRequest& request = exchange.Request();
  while (m_hang && !exchange.ClientDisconnected()) co_await Sleep(kPollInterval);
  if (exchange.ClientDisconnected()) co_return;
  HttpReply reply = co_await Answer(request);
  reply.headers.push_back({"Store-Era", std::to_string(m_epoch)});
  co_await exchange.Respond(std::move(reply));
}

Task<HttpReply> StoreStandin::Answer(HttpRequest request) {
  if (m_failure != 0) {
    HttpReply failure;
    failure.status = m_failure;
    co_return failure;
  }
  const std::string_view path = PathOf(request.target);
  if (path == "/fulmarpoint/rows-get") co_return Read(request.target);
  if (path == "/fulmarpoint/rows-feed") co_return co_await Watch(request.target);
  co_return Commit(request.body);
}

HttpReply StoreStandin::Read(const std::string& target) {
  constexpr std::size_t kPageRows = 3;
  const std::string table = Parameter(target, "table");
  const std::string from = Parameter(target, "from");
  Json rows = Json::array();
  bool has_more = false;
  for (const auto& [key, row] : m_tables[table]) {
    if (row.removed || key < from) continue;
    has_more = rows.size() == kPageRows;
    if (has_more) break;
    rows.push_back({{"table", table},
                    {"part", ""},
                    {"key", key},
                    {"value", Encode(row.value)},
                    {"ver", row.version}});
  }
  return JsonReply(200,
                   Json{{"rows", rows}, {"hasMore", has_more}, {"ver", m_version}, {"nowMs", 1}});
}

Task<HttpReply> StoreStandin::Watch(std::string target) {
  const std::string table = Parameter(target, "table");
  const std::uint64_t after = std::stoull(Parameter(target, "afterRev"));
  const TimePoint end =
      SteadyNow() + std::chrono::milliseconds(std::stoll(Parameter(target, "waitMs")));
  while (true) {
    std::optional<HttpReply> reply = Changes(table, after, SteadyNow() >= end);
    if (reply) co_return std::move(*reply);
    co_await Sleep(kPollInterval);
  }
}

std::optional<HttpReply> StoreStandin::Changes(const std::string& table, std::uint64_t after,
                                               bool even_if_none) {
  if (after < m_history_start || after > m_version) return HttpReply{410, {}, ""};
  std::map<std::uint64_t, Json> changes;
  for (const auto& [key, row] : m_tables[table]) {
    if (row.version <= after) continue;
    Json change = {{"table", table}, {"part", ""}, {"key", key}, {"ver", row.version}};
    if (row.removed) change["removed"] = true;
    if (!row.removed) change["value"] = Encode(row.value);
    changes.emplace(row.version, std::move(change));
  }
  if (changes.empty() && !even_if_none) return std::nullopt;
  Json rows = Json::array();
  for (auto& [version, change] : changes) rows.push_back(std::move(change));
  return JsonReply(200, Json{{"rows", rows}, {"ver", m_version}, {"nowMs", 1}});
}

HttpReply StoreStandin::Commit(const std::string& body) {
  const Json json = Json::parse(body);
  Json current = Json::array();
  bool is_conflict = false;
  for (const Json& condition : json.at("ifRev")) {
    const Row& row = m_tables[condition.at("table")][condition.at("key")];
    const std::uint64_t version = row.removed ? 0 : row.version;
    is_conflict = is_conflict || version != condition.at("ver").get<std::uint64_t>();
    if (version == 0) continue;
    Json found = condition;
    found["ver"] = version;
    found["value"] = Encode(row.value);
    current.push_back(std::move(found));
  }
  if (is_conflict) return JsonReply(412, Json{{"rows", current}, {"ver", m_version}});
  // All rows of a transaction get the same version.
  ++m_version;
  for (const Json& put : json.at("puts")) {
    m_tables[put.at("table")][put.at("key")] = {
        cereal::base64::decode(put.at("value").get<std::string>()), m_version, false};
  }
  for (const Json& remove : json.at("remove")) {
    m_tables[remove.at("table")][remove.at("key")] = {"", m_version, true};
  }
  return JsonReply(200, Json{{"ver", m_version}, {"nowMs", 1}});
}

}  // namespace fulmarpoint
