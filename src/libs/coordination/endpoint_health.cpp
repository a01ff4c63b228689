#include "coordination/endpoint_health.h"

#include <algorithm>

namespace fulmarpoint {

namespace {

// The mean adapts to a slowdown within about four samples.
constexpr double kLatencySampleWeight = 0.3;
constexpr double kMinSpeedWeight = 0.05;
// Up to this ratio to the median latency, the difference is noise and the endpoint keeps its full
// weight.
constexpr double kToleratedSlowness = 1.25;

}  // namespace

void EndpointHealth::Handle(const EndpointHealthEvent& event, TimePoint now, Actions& actions) {
  std::visit([&](const auto& typed) { On(typed, now, actions); }, event);
}

std::optional<EndpointHealthView> EndpointHealth::View(const EndpointId& endpoint,
                                                       TimePoint now) const {
  const auto found = m_entries.find(endpoint);
  if (found == m_entries.end()) return std::nullopt;
  const Entry& entry = found->second;
  EndpointHealthView view = entry.view;
  if (view.state == EndpointState::kLive && !ReportIsFresh(entry, now)) {
    view.state = EndpointState::kSuspect;
  }
  const double slowness = Slowness(entry);
  if (slowness > kToleratedSlowness) {
    view.speed_weight = std::max(kMinSpeedWeight, 1.0 / (slowness * slowness));
  }
  const bool needs_trial =
      view.state == EndpointState::kSuspect || view.state == EndpointState::kFailed;
  // Without a recent report the endpoint may be leaving, so it gets no trial either.
  view.trial_due = needs_trial && ReportIsFresh(entry, now) && now >= entry.next_trial;
  return view;
}

bool EndpointHealth::BeginTrial(const EndpointId& endpoint, TimePoint now) {
  const std::optional<EndpointHealthView> view = View(endpoint, now);
  if (!view || !view->trial_due) return false;
  Entry& entry = m_entries[endpoint];
  entry.next_trial = now + std::max(entry.backoff, m_settings.first_backoff);
  return true;
}

std::vector<EndpointId> EndpointHealth::Endpoints() const {
  std::vector<EndpointId> ids;
  ids.reserve(m_entries.size());
  for (const auto& [id, entry] : m_entries) ids.push_back(id);
  return ids;
}

void EndpointHealth::On(const EndpointListed& event, TimePoint, Actions& actions) {
  Entry& entry = m_entries[event.endpoint];
  entry.group = event.group;
  entry.unlisted = false;
  // Only the transition to leaving counts: a stale list still shows it after the endpoint has
  // returned as a new incarnation.
  const bool became_leaving = event.leaving && !entry.listed_leaving;
  entry.listed_leaving = event.leaving;
  if (became_leaving) MarkLeaving(event.endpoint, entry, "list", true, actions);
}

void EndpointHealth::On(const EndpointUnlisted& event, TimePoint now, Actions& actions) {
  const auto found = m_entries.find(event.endpoint);
  if (found == m_entries.end()) return;
  Entry& entry = found->second;
  if (!entry.unlisted) {
    entry.unlisted = true;
    entry.unlisted_at = now;
    MarkLeaving(event.endpoint, entry, "removed from list", true, actions);
    return;
  }
  if (now - entry.unlisted_at >= m_settings.forget_unlisted_after) m_entries.erase(found);
}

void EndpointHealth::On(const EndpointLoadReported& event, TimePoint now, Actions& actions) {
  const auto found = m_entries.find(event.endpoint);
  if (found == m_entries.end()) return;
  Entry& entry = found->second;
  // Incarnations increase, so a lower one is a delayed report of a process that has exited.
  if (entry.view.reported && event.incarnation < entry.view.incarnation) return;
  if (entry.view.reported && event.incarnation > entry.view.incarnation) {
    StartIncarnation(event.endpoint, entry, event, actions);
  }
  entry.view.reported = true;
  entry.view.incarnation = event.incarnation;
  entry.view.slots = event.slots;
  entry.view.active = event.active;
  entry.view.queued = event.queued;
  entry.view.last_report = now;
  if (event.leaving) MarkLeaving(event.endpoint, entry, "report", true, actions);
  AddLatency(entry, event.token_interval);
}

void EndpointHealth::On(const EndpointOutcome& event, TimePoint now, Actions& actions) {
  const auto found = m_entries.find(event.endpoint);
  if (found == m_entries.end()) return;
  Entry& entry = found->second;
  switch (event.kind) {
    case EndpointOutcomeKind::kRefusedLeaving:
      MarkLeaving(event.endpoint, entry, "refusal", true, actions);
      return;
    case EndpointOutcomeKind::kFailure:
      OnFailure(event.endpoint, entry, now, actions);
      return;
    case EndpointOutcomeKind::kSuccess:
      AddLatency(entry, event.latency);
      OnSuccess(event.endpoint, entry, now, actions);
      return;
  }
}

void EndpointHealth::On(const PeerReportedLeaving& event, TimePoint, Actions& actions) {
  const auto found = m_entries.find(event.endpoint);
  if (found == m_entries.end()) return;
  Entry& entry = found->second;
  if (entry.view.reported && event.incarnation < entry.view.incarnation) return;
  MarkLeaving(event.endpoint, entry, "peer", false, actions);
  // The peer's report may be newer than this daemon's load reports. Storing its incarnation makes a
  // later load report of the same process have no effect; only a higher incarnation becomes live
  // again.
  entry.view.reported = true;
  entry.view.incarnation = event.incarnation;
}

void EndpointHealth::SetState(const EndpointId& id, Entry& entry, EndpointState state,
                              const char* reason, Actions& actions) {
  if (entry.view.state == state) return;
  actions.emplace_back(EndpointStateChanged{id, entry.view.state, state, reason});
  entry.view.state = state;
}

void EndpointHealth::MarkLeaving(const EndpointId& id, Entry& entry, const char* reason,
                                 bool publish, Actions& actions) {
  if (entry.view.state == EndpointState::kLeaving) return;
  SetState(id, entry, EndpointState::kLeaving, reason, actions);
  // Without a load report the incarnation is unknown, and a message without it would mark the next
  // process as leaving too.
  if (publish && entry.view.reported) {
    actions.emplace_back(PublishEndpointLeaving{id, entry.view.incarnation});
  }
}

void EndpointHealth::StartIncarnation(const EndpointId& id, Entry& entry,
                                      const EndpointLoadReported& report, Actions& actions) {
  const bool was_leaving = entry.view.state == EndpointState::kLeaving;
  if (!was_leaving) actions.emplace_back(EndpointCrashed{id, entry.view.incarnation});
  entry.failures = 0;
  entry.latency_mean = 0.0;
  if (report.leaving) return;
  if (was_leaving) {
    entry.backoff = Duration::zero();
    SetState(id, entry, EndpointState::kLive, "new incarnation", actions);
    return;
  }
  // A restarted endpoint starts with trial requests because it may crash again at once.
  SetState(id, entry, EndpointState::kSuspect, "crashed", actions);
  entry.next_trial = TimePoint{};
}

void EndpointHealth::OnFailure(const EndpointId& id, Entry& entry, TimePoint now,
                               Actions& actions) {
  if (entry.view.state == EndpointState::kLeaving) return;
  ++entry.failures;
  BackOff(entry, now);
  const bool failed = entry.failures >= m_settings.failures_until_failed;
  SetState(id, entry, failed ? EndpointState::kFailed : EndpointState::kSuspect, "failures",
           actions);
}

void EndpointHealth::OnSuccess(const EndpointId& id, Entry& entry, TimePoint now,
                               Actions& actions) {
  if (entry.view.state == EndpointState::kLeaving) return;
  entry.failures = 0;
  if (Slowness(entry) >= m_settings.suspect_slowness_factor) {
    if (now >= entry.next_trial) BackOff(entry, now);
    SetState(id, entry, EndpointState::kSuspect, "slow", actions);
    return;
  }
  entry.backoff = Duration::zero();
  SetState(id, entry, EndpointState::kLive, "success", actions);
}

void EndpointHealth::AddLatency(Entry& entry, Duration latency) {
  if (latency <= Duration::zero()) return;
  const double sample = static_cast<double>(latency.count());
  entry.latency_mean = entry.latency_mean == 0.0 ? sample
                                                 : entry.latency_mean * (1 - kLatencySampleWeight) +
                                                       sample * kLatencySampleWeight;
}

void EndpointHealth::BackOff(Entry& entry, TimePoint now) {
  entry.backoff =
      std::clamp(entry.backoff * 2, m_settings.first_backoff, m_settings.longest_backoff);
  entry.next_trial = now + entry.backoff;
}

double EndpointHealth::Slowness(const Entry& entry) const {
  if (entry.latency_mean == 0.0) return 1.0;
  std::vector<double> means;
  for (const auto& [id, other] : m_entries) {
    const bool comparable = other.group == entry.group && other.latency_mean > 0.0;
    if (comparable) means.push_back(other.latency_mean);
  }
  if (means.size() < 3) return 1.0;
  const auto middle = means.begin() + static_cast<std::ptrdiff_t>(means.size() / 2);
  std::nth_element(means.begin(), middle, means.end());
  return entry.latency_mean / *middle;
}

bool EndpointHealth::ReportIsFresh(const Entry& entry, TimePoint now) const {
  return entry.view.reported && now - entry.view.last_report < m_settings.report_age_limit;
}

}  // namespace fulmarpoint
