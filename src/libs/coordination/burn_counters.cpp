#include "coordination/burn_counters.h"

#include <algorithm>
#include <optional>

namespace fulmarpoint {

namespace {

constexpr std::size_t kMaxCauses = 8;
constexpr Duration kUnusedRowLifetime = std::chrono::hours(24);
constexpr Duration kSearchInterval = std::chrono::minutes(1);
constexpr char kOtherOrganisations[] = "(other)";
constexpr std::array<Duration, 3> kWindowLengths = {std::chrono::minutes(5), std::chrono::hours(1),
                                                    std::chrono::hours(24)};

/// Returns whether the caller caused the error, which then spends no error budget of the service.
bool IsCallersFault(ResultCode code) {
  const int number = static_cast<int>(code);
  return (number >= 100 && number < 200) || code == ResultCode::kOrganisationLimit ||
         code == ResultCode::kCrashesEndpoints || code == ResultCode::kNotFound;
}

bool ExceedsLimit(Duration measured, Duration limit) { return measured > limit; }

std::optional<Objective> MissedObjective(const FinishedRequest& request,
                                         const ServiceObjectives& objectives) {
  if (request.code != ResultCode::kOk) return Objective::kSuccess;
  if (request.kind == ServiceKind::kApplication) {
    if (ExceedsLimit(request.call, objectives.call)) return Objective::kCall;
    return std::nullopt;
  }
  if (ExceedsLimit(request.longest_resume, objectives.resume)) return Objective::kResume;
  if (ExceedsLimit(request.first_token, objectives.first_token)) return Objective::kFirstToken;
  if (ExceedsLimit(request.token_interval, objectives.token_interval))
    return Objective::kTokenInterval;
  return std::nullopt;
}

}  // namespace

void BurnCounters::Add(const FinishedRequest& request, const ServiceObjectives& objectives,
                       TimePoint now) {
  if (IsCallersFault(request.code)) return;
  Row& row = FindRow(request, now);
  row.target_ppm = objectives.target_ppm;
  row.last_used = now;
  const std::optional<Objective> missed = MissedObjective(request, objectives);
  for (std::size_t i = 0; i < row.rings.size(); ++i) {
    const Duration slot_length = kWindowLengths[i] / Ring::kSlots;
    const std::int64_t period = now.time_since_epoch() / slot_length;
    Ring::Slot& slot = row.rings[i].slots[static_cast<std::size_t>(period % Ring::kSlots)];
    if (slot.period != period) slot = Ring::Slot{period, 0, 0};
    ++slot.requests;
    if (missed) ++slot.missed;
  }
  if (missed) AddCause(request, *missed, row);
}

BurnCounters::Row& BurnCounters::FindRow(const FinishedRequest& request, TimePoint now) {
  const Key key{request.service, request.organisation};
  auto found = m_rows.find(key);
  if (found != m_rows.end()) return found->second;
  if (m_rows.size() >= kMaxRows && !RemoveUnusedRow(now))
    return m_rows[{request.service, kOtherOrganisations}];
  return m_rows[key];
}

bool BurnCounters::RemoveUnusedRow(TimePoint now) {
  // With more organisations than rows, every request of an organisation without a row gets here, so
  // an unsuccessful search is not repeated at once.
  if (now < m_next_search) return false;
  const auto unused = [now](const auto& item) {
    return now - item.second.last_used >= kUnusedRowLifetime;
  };
  auto reusable = std::find_if(m_rows.begin(), m_rows.end(), unused);
  if (reusable == m_rows.end()) {
    m_next_search = now + kSearchInterval;
    return false;
  }
  m_rows.erase(reusable);
  return true;
}

void BurnCounters::AddCause(const FinishedRequest& request, Objective objective, Row& row) {
  BurnCause cause{objective,
                  std::string(InfoOf(request.code).name),
                  request.version,
                  request.endpoint,
                  request.failure_domain,
                  1};
  const auto same = [&cause](const BurnCause& other) { return other.SameCause(cause); };
  auto found = std::find_if(row.causes.begin(), row.causes.end(), same);
  if (found != row.causes.end()) {
    ++found->requests;
    return;
  }
  if (row.causes.size() < kMaxCauses) {
    row.causes.push_back(cause);
    return;
  }
  const auto smaller = [](const BurnCause& a, const BurnCause& b) {
    return a.requests < b.requests;
  };
  auto smallest = std::min_element(row.causes.begin(), row.causes.end(), smaller);
  // Space-saving algorithm: the new cause takes over the count of the one that it replaces, so that
  // a frequent cause is never lost.
  cause.requests = smallest->requests + 1;
  *smallest = cause;
}

void BurnCounters::AddAction(const std::string& what) {
  const auto same = [&what](const FleetAction& other) { return other.what == what; };
  auto found = std::find_if(m_actions.begin(), m_actions.end(), same);
  if (found != m_actions.end()) {
    ++found->count;
  } else if (m_actions.size() < kMaxActions) {
    m_actions.push_back({what, 1});
  }
}

BurnReport BurnCounters::Report(const std::string& daemon, TimePoint now) const {
  BurnReport report;
  report.daemons.push_back(daemon);
  report.actions = m_actions;
  for (const auto& [key, row] : m_rows) {
    BurnRow entry{key.second, key.first, row.target_ppm, {}, row.causes};
    for (std::size_t i = 0; i < row.rings.size(); ++i) {
      const std::int64_t period = now.time_since_epoch() / (kWindowLengths[i] / Ring::kSlots);
      for (const Ring::Slot& slot : row.rings[i].slots) {
        if (slot.period < 0 || slot.period <= period - Ring::kSlots) {
          continue;
        }
        entry.windows[i].requests += slot.requests;
        entry.windows[i].missed += slot.missed;
      }
    }
    report.rows.push_back(entry);
  }
  return report;
}

std::size_t BurnCounters::StateBytes() const {
  std::size_t bytes = 0;
  for (const auto& [key, row] : m_rows) {
    bytes += sizeof(Row) + key.first.capacity() + key.second.capacity();
    bytes += row.causes.capacity() * sizeof(BurnCause);
  }
  return bytes;
}

}  // namespace fulmarpoint
