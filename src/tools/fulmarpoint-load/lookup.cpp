#include "lookup.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace fulmarpoint::load {

namespace {

constexpr Duration kLookupTimeout = std::chrono::seconds(1);

LookupAnswer ParseAnswer(const std::string& body) {
  LookupAnswer answer;
  const nlohmann::json json = nlohmann::json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object()) return answer;
  for (const nlohmann::json& daemon : json.value("daemons", nlohmann::json::array())) {
    answer.addresses.push_back(daemon.value("address", std::string()));
  }
  const nlohmann::json keys = json.value("keys", nlohmann::json::object());
  if (keys.is_object()) answer.key_prefix = keys.value("prefix", std::string());
  answer.valid_until = SteadyNow() + std::chrono::seconds(json.value("keep_seconds", 1));
  return answer;
}

}  // namespace

Lookup::Lookup(HttpClient& client, std::vector<std::string> daemons)
    : m_client(client), m_daemons(std::move(daemons)) {}

Task<LookupAnswer> Lookup::Find(std::string service, std::string api_key) {
  const auto cached = m_cache.find({service, api_key});
  if (cached != m_cache.end() && cached->second.valid_until > SteadyNow()) co_return cached->second;
  for (std::size_t i = 0; i < m_daemons.size(); ++i) {
    HttpClientRequest request;
    request.address = m_daemons[m_next++ % m_daemons.size()];
    request.target = "/v1/lookup?service=" + service;
    request.headers.push_back({"Authorization", "Bearer " + api_key});
    request.timeout = kLookupTimeout;
    const HttpResult result = co_await m_client.Send(std::move(request));
    if (result.error || result.reply.status != 200) continue;
    LookupAnswer answer = ParseAnswer(result.reply.body);
    if (answer.addresses.empty()) continue;
    m_cache[{service, api_key}] = answer;
    co_return answer;
  }
  co_return LookupAnswer();
}

}  // namespace fulmarpoint::load
