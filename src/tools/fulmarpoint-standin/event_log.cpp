#include "event_log.h"

#include <utility>

#include "utils/time.h"

namespace fulmarpoint::standin {

namespace {

constexpr std::size_t kMaxEvents = 200'000;

}  // namespace

void EventLog::Add(const std::string& event, nlohmann::json fields) {
  fields["event"] = event;
  fields["sequence"] = ++m_sequence;
  fields["at_us"] = SteadyNow().time_since_epoch().count();
  m_events.push_back(std::move(fields));
  if (m_events.size() > kMaxEvents) m_events.pop_front();
}

nlohmann::json EventLog::Since(std::uint64_t after) const {
  nlohmann::json events = nlohmann::json::array();
  for (const nlohmann::json& event : m_events) {
    if (event["sequence"].get<std::uint64_t>() > after) events.push_back(event);
  }
  return events;
}

}  // namespace fulmarpoint::standin
