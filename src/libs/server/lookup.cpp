#include "server/lookup.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "http_api/problem_reply.h"
#include "http_api/url.h"
#include "server/catalogue_view.h"
#include "server/services.h"

namespace fulmarpoint {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxDaemons = 3;

}  // namespace

void LookupDirectory::SetDaemons(DaemonSource source) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_daemons = std::move(source);
}

void LookupDirectory::SetKeys(KeySource source) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_keys = std::move(source);
}

std::vector<EntryDaemon> LookupDirectory::Daemons() const {
  DaemonSource source;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    source = m_daemons;
  }
  return source ? source() : std::vector<EntryDaemon>();
}

std::optional<IssuedKeys> LookupDirectory::Keys() const {
  KeySource source;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    source = m_keys;
  }
  return source ? source() : std::nullopt;
}

void LookupDirectory::ExcludeSelf() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_leaving = true;
}

bool LookupDirectory::IsExcluded() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_leaving;
}

HttpReply AnswerLookup(const Services& services, std::string_view target, std::string_view caller) {
  const std::optional<std::string> service = QueryParameter(target, "service");
  if (!service) {
    return ProblemReply(ResultCode::kBadRequest, "the query parameter service is required");
  }
  if (!services.catalogue.Current()->Find(*service)) {
    return ProblemReply(ResultCode::kUnknownService, "service " + *service + " is not known");
  }
  std::vector<EntryDaemon> daemons = services.lookup.Daemons();
  const bool leaving = services.lookup.IsExcluded();
  bool found_self = false;
  for (EntryDaemon& daemon : daemons) {
    if (daemon.name != services.self.name) continue;
    found_self = true;
    daemon.leaving = daemon.leaving || leaving;
  }
  const DaemonSettings& own = services.settings.daemon;
  if (!found_self) {
    daemons.push_back({own.name, services.settings.listen.http, own.failure_domain, leaving});
  }
  Json list = Json::array();
  for (const EntryDaemon& daemon :
       SelectEntries(daemons, caller, own.failure_domain, kMaxDaemons)) {
    list.push_back({{"address", daemon.address}, {"failure_domain", daemon.failure_domain}});
  }
  Json answer = {{"daemons", list}, {"keep_seconds", services.settings.keep_seconds}};
  const std::optional<IssuedKeys> keys = services.lookup.Keys();
  if (keys && !leaving) {
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(keys->lifetime);
    answer["keys"] = {{"prefix", keys->prefix}, {"expires_seconds", seconds.count()}};
  }
  return JsonReply(200, answer);
}

}  // namespace fulmarpoint
