#include "server/gossip_exchange.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "server/control_plane_driver.h"
#include "server/dispatcher.h"
#include "state/rollout_table.h"
#include "utils/logging.h"
#include "utils/metrics.h"

namespace fulmarpoint {

namespace {

using Json = nlohmann::json;

// A gossip message has at most 400 bytes, so the reason, which only informs operators, is
// truncated.
constexpr std::size_t kMaxReasonBytes = 80;

std::string Encode(const BadVersionNotice& notice) {
  const Json json = {
      {"rollout", notice.rollout},    {"service", notice.service},
      {"version", notice.version},    {"reason", notice.reason.substr(0, kMaxReasonBytes)},
      {"daemon", notice.origin.name}, {"incarnation", notice.origin.incarnation}};
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

BadVersionNotice Decode(const std::string& body) {
  BadVersionNotice notice;
  const Json json = Json::parse(body, nullptr, false);
  if (!json.is_object()) return notice;
  const auto text = [&json](const char* key) {
    const auto found = json.find(key);
    return found != json.end() && found->is_string() ? found->get<std::string>() : std::string();
  };
  notice.rollout = text("rollout");
  notice.service = text("service");
  notice.version = text("version");
  notice.reason = text("reason");
  notice.origin.name = text("daemon");
  const auto incarnation = json.find("incarnation");
  if (incarnation != json.end() && incarnation->is_number_unsigned()) {
    notice.origin.incarnation = incarnation->get<std::uint64_t>();
  }
  return notice;
}

}  // namespace

GossipExchange::GossipExchange(Services& services, ControlPlaneDriver& control)
    : m_services(services), m_control(control) {}

void GossipExchange::Connect() {
  m_services.dispatcher.SetBadVersionPublisher(
      [this](const BadVersionNotice& notice) { Publish(notice); });
  m_services.dispatcher.SetSuspectPublisher(
      [this](const SuspectGossip& notice) { Publish(notice); });
  m_control.SetGossipHandler(GossipTopic::kVersionBad,
                             [this](const GossipMessage& notice) { OnBadVersion(notice.body); });
  m_control.SetGossipHandler(GossipTopic::kCrashSuspect,
                             [this](const GossipMessage& notice) { OnSuspects(notice.body); });
}

void GossipExchange::Publish(const BadVersionNotice& notice) {
  m_services.metrics.Count("notices", "bad_version_sent");
  // A version stays bad for the rest of the rollout, so one message for each rollout is enough.
  m_control.Publish(GossipMessage{GossipTopic::kVersionBad, notice.rollout, 1, Encode(notice)});
}

void GossipExchange::Publish(const SuspectGossip& notice) {
  m_services.metrics.Count("notices", "suspect_sent");
  // Each message carries additional information, so none replaces another.
  const std::string key = ToString(m_services.self) + "/" + std::to_string(m_next++);
  m_control.Publish(GossipMessage{GossipTopic::kCrashSuspect, key, 1, EncodeSuspectGossip(notice)});
}

void GossipExchange::OnBadVersion(const std::string& body) {
  const BadVersionNotice notice = Decode(body);
  m_services.metrics.Count("notices", "bad_version_received");
  if (notice.rollout.empty() || !m_services.rollouts.AddNotice(notice, SteadyNow())) return;
  Log(LogLevel::kWarning, "version_bad",
      {{"service", notice.service}, {"version", notice.version}, {"from", notice.origin.name}});
}

void GossipExchange::OnSuspects(const std::string& body) {
  const Parsed<SuspectGossip> notice = DecodeSuspectGossip(body);
  m_services.metrics.Count("notices", notice ? "suspect_received" : "suspect_malformed");
  if (notice) m_services.dispatcher.HandleSuspects(SuspectGossipReceived{notice.Value()});
}

}  // namespace fulmarpoint
