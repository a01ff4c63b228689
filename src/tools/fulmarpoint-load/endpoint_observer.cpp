#include "endpoint_observer.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace fulmarpoint::load {

namespace {

/// Returns the name of the request, with which every prompt and body begins.
RequestName RequestNameOf(const nlohmann::json& event) {
  const std::string text = event.value("text", std::string());
  return text.substr(0, text.find(' '));
}

}  // namespace

EndpointObserver::EndpointObserver(RunContext& context,
                                   const std::map<std::string, std::string>& endpoints)
    : m_context(context) {
  for (const auto& [name, address] : endpoints) m_endpoints[name].address = address;
}

Task<void> EndpointObserver::Poll() {
  for (auto& [name, observed] : m_endpoints) co_await PollEndpoint(name, observed);
}

Task<void> EndpointObserver::PollEndpoint(const std::string& name, Observed& observed) {
  HttpClientRequest request;
  request.address = observed.address;
  request.target = "/control/events?since=" + std::to_string(observed.sequence);
  const HttpResult result = co_await m_context.client.Send(std::move(request));
  if (result.error || result.reply.status != 200) co_return;
  const nlohmann::json json = nlohmann::json::parse(result.reply.body, nullptr, false);
  if (!json.is_object()) co_return;
  for (const nlohmann::json& event : json.value("events", nlohmann::json::array())) {
    observed.sequence = event.value("sequence", observed.sequence);
    AddToHistory(name, event.dump());
  }
}

void EndpointObserver::AddToHistory(const std::string& endpoint, const std::string& event_text) {
  const nlohmann::json event = nlohmann::json::parse(event_text);
  const std::string kind = event.value("event", std::string());
  const TimePoint at = TimePoint(Duration(event.value("at_us", std::int64_t{0})));
  const auto add = [&](HistoryEvent record) {
    m_context.history.push_back({at, std::move(record)});
  };
  if (kind == "started" || kind == "reconnected") {
    RequestStarted started;
    started.request = RequestNameOf(event);
    started.endpoint = endpoint;
    // Endpoint events do not contain the service; `MakeReport` adds it.
    started.version = event.value("version", std::string());
    const bool resumed = event.value("from", std::uint64_t{0}) > 0;
    if (resumed) started.work = WorkKind::kResumed;
    if (kind == "reconnected") started.work = WorkKind::kReconnected;
    if (started.work != WorkKind::kNew) m_resumptions.emplace(started.request, at);
    add(std::move(started));
  } else if (kind == "effect") {
    add(EffectApplied{RequestNameOf(event), endpoint});
  } else if (kind == "crashed") {
    add(EndpointCrashed{endpoint});
  } else if (kind == "restarted") {
    add(EndpointLive{endpoint});
  } else if (kind == "control" && event.value("action", std::string()) == "leaving") {
    add(EndpointLeaving{endpoint, LeavingSignal::kReport});
  }
}

Task<void> EndpointObserver::ReadCounters() {
  for (auto& [name, observed] : m_endpoints) {
    HttpClientRequest request;
    request.address = observed.address;
    request.target = "/control/state";
    const HttpResult result = co_await m_context.client.Send(std::move(request));
    if (result.error) continue;
    const nlohmann::json json = nlohmann::json::parse(result.reply.body, nullptr, false);
    if (!json.is_object() || !json.contains("counters")) continue;
    observed.counters = json["counters"].get<std::map<std::string, std::uint64_t>>();
  }
}

std::uint64_t EndpointObserver::Counter(const std::string& name) const {
  std::uint64_t sum = 0;
  for (const auto& [endpoint, observed] : m_endpoints) {
    const auto found = observed.counters.find(name);
    if (found != observed.counters.end()) sum += found->second;
  }
  return sum;
}

}  // namespace fulmarpoint::load
