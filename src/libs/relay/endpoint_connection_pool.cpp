#include "relay/endpoint_connection_pool.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

namespace fulmarpoint {

namespace {

constexpr Duration kIdleTime = std::chrono::seconds(4);
// An endpoint may close a connection a little before the time that it announced.
constexpr Duration kAnnouncedMargin = std::chrono::milliseconds(800);
constexpr std::string_view kTimeoutParameter = "timeout=";

/// Returns how long the endpoint keeps the connection open, as announced in the reply.
std::optional<Duration> AnnouncedIdleTime(const HttpReply& reply) {
  const std::optional<std::string_view> value = FindHeader(reply.headers, "Keep-Alive");
  if (!value) return std::nullopt;
  const std::size_t at = value->find(kTimeoutParameter);
  if (at == std::string_view::npos) return std::nullopt;
  const std::string_view digits = value->substr(at + kTimeoutParameter.size());
  std::int64_t seconds = 0;
  const std::from_chars_result end =
      std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (end.ec != std::errc()) return std::nullopt;
  return std::chrono::seconds(seconds);
}

}  // namespace

std::shared_ptr<HttpClientExchange> EndpointPool::TakeIdle(const EndpointId& endpoint,
                                                           TimePoint now) {
  const auto found = m_idle.find(endpoint);
  if (found == m_idle.end()) return nullptr;
  std::deque<Idle>& idle = found->second;
  std::shared_ptr<HttpClientExchange> taken;
  while (!idle.empty() && !taken) {
    Idle candidate = std::move(idle.back());
    idle.pop_back();
    if (now < candidate.expires && candidate.connection->IsOpenAndIdle()) {
      taken = std::move(candidate.connection);
    }
  }
  if (idle.empty()) m_idle.erase(found);
  return taken;
}

void EndpointPool::PutIdle(const EndpointId& endpoint,
                           std::shared_ptr<HttpClientExchange> connection, const HttpReply& reply,
                           std::size_t most_idle, TimePoint now) {
  if (most_idle == 0 || !connection->IsReusable()) return;
  Duration keep = kIdleTime;
  if (const std::optional<Duration> announced = AnnouncedIdleTime(reply)) {
    keep = std::min(keep, *announced - kAnnouncedMargin);
  }
  if (keep <= Duration::zero()) return;
  std::deque<Idle>& idle = m_idle[endpoint];
  while (idle.size() >= most_idle) idle.pop_front();
  idle.push_back({std::move(connection), now + keep});
}

void EndpointPool::Forget(TimePoint now) {
  for (auto it = m_idle.begin(); it != m_idle.end();) {
    std::deque<Idle>& idle = it->second;
    while (!idle.empty() && now >= idle.front().expires) idle.pop_front();
    it = idle.empty() ? m_idle.erase(it) : std::next(it);
  }
}

}  // namespace fulmarpoint
