#include "server/instance_list_client.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "transport/address.h"

namespace fulmarpoint {

namespace {

using Json = nlohmann::json;

std::string TextOf(const Json& json, const char* key) {
  const auto found = json.find(key);
  return found != json.end() && found->is_string() ? found->get<std::string>() : "";
}

std::optional<ListedInstance> ParseInstance(const Json& json) {
  if (!json.is_object()) return std::nullopt;
  ListedInstance instance;
  instance.name = TextOf(json, "name");
  instance.address = TextOf(json, "address");
  instance.failure_domain = TextOf(json, "failure_domain");
  instance.region = TextOf(json, "region");
  const std::optional<InstanceKind> kind = ValueOf(kInstanceKindNames, TextOf(json, "kind"));
  const std::string state = TextOf(json, "state");
  if (!kind || instance.name.empty() || !ParseSocketAddress(instance.address)) return std::nullopt;
  if (state != "live" && state != "leaving") return std::nullopt;
  instance.kind = *kind;
  instance.leaving = state == "leaving";
  return instance;
}

}  // namespace

std::optional<std::vector<ListedInstance>> ParseInstanceList(std::string_view text) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_array()) return std::nullopt;
  std::vector<ListedInstance> instances;
  for (const Json& item : json) {
    std::optional<ListedInstance> instance = ParseInstance(item);
    if (!instance) return std::nullopt;
    instances.push_back(std::move(*instance));
  }
  return instances;
}

InstanceListClient::InstanceListClient(HttpClient& http, std::string address, Duration timeout)
    : m_http(http), m_address(std::move(address)), m_timeout(timeout) {}

Task<InstanceList> InstanceListClient::Read() {
  HttpClientRequest request;
  request.address = m_address;
  request.target = "/instances";
  request.timeout = m_timeout;
  const HttpResult result = co_await m_http.Send(std::move(request));
  InstanceList list;
  list.error = result.error;
  if (list.error) co_return list;
  std::optional<std::vector<ListedInstance>> instances;
  if (result.reply.status == 200) instances = ParseInstanceList(result.reply.body);
  if (!instances) {
    list.error = std::make_error_code(std::errc::bad_message);
    co_return list;
  }
  list.instances = std::move(*instances);
  co_return list;
}

}  // namespace fulmarpoint
