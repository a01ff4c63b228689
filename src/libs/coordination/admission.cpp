#include "coordination/admission.h"

#include <algorithm>
#include <cmath>

namespace fulmarpoint {

namespace {

// Older runs lose their influence on the estimate with this time constant.
constexpr double kMemorySeconds = 20.0;
// Weight of the assumed run time, in runs, so that one early end does not decide the estimate.
constexpr double kPriorRuns = 1.0;
// Weight of one run in the mean of its organisation.
constexpr double kRunSample = 0.2;
// Every so many admissions the lowest waiting priority has its turn, so that it is not starved.
constexpr int kLowestTurn = 20;
// Cost of one run relative to the mean, so that a round of turns stays short.
constexpr double kLeastCost = 0.05;
constexpr double kMostCost = 20.0;
// A refusal names at least this, so that callers do not return at once.
constexpr Duration kLeastRetryAfter = std::chrono::milliseconds(500);
constexpr Duration kMostRetryAfter = std::chrono::minutes(1);

double Seconds(Duration duration) { return static_cast<double>(duration.count()) / 1e6; }

Duration FromSeconds(double seconds) {
  constexpr double kLongest = 3600.0;
  return Duration(static_cast<Duration::rep>(std::min(seconds, kLongest) * 1e6));
}

}  // namespace

void Admission::Handle(const AdmissionEvent& event, TimePoint now, Actions& actions) {
  AccountBusyTime(now);
  std::visit([&](const auto& typed) { On(typed, now, actions); }, event);
}

Duration Admission::PredictWait(const OrganisationId& organisation, int weight,
                                Priority priority) const {
  const std::size_t level = static_cast<std::size_t>(priority);
  const auto own = m_organisations.find(organisation);
  const double own_waiting = own == m_organisations.end()
                                 ? 0.0
                                 : static_cast<double>(own->second.queues[level].waiters.size());
  double ahead = own_waiting;
  for (std::size_t higher = 0; higher < level; ++higher) {
    for (const OrganisationId& id : m_turns[higher]) {
      ahead += static_cast<double>(m_organisations.at(id).queues[higher].waiters.size());
    }
  }
  for (const OrganisationId& id : m_turns[level]) {
    if (id == organisation) continue;
    // Another organisation has at most its share of the turns before this request has its own.
    const Organisation& other = m_organisations.at(id);
    const double turns = (own_waiting + 1) * other.weight / std::max(1, weight);
    ahead += std::min(turns, static_cast<double>(other.queues[level].waiters.size()));
  }
  const double free = m_expected - Running();
  const double ends_needed = ahead + 1 - free;
  if (ends_needed <= 0) return Duration::zero();
  return FromSeconds(ends_needed / CompletionsPerSecond());
}

void Admission::On(const AdmissionRequested& event, TimePoint now, Actions& actions) {
  const auto known = m_organisations.find(event.organisation);
  const int present =
      known == m_organisations.end() ? 0 : known->second.running + known->second.waiting;
  if (present >= event.max_concurrent) {
    const Duration run = FromSeconds(MeanRunTime());
    actions.emplace_back(RejectRequest{event.request, ResultCode::kOrganisationLimit,
                                       std::clamp(run, kLeastRetryAfter, kMostRetryAfter)});
    return;
  }
  const std::size_t level = static_cast<std::size_t>(event.priority);
  const Duration wait = PredictWait(event.organisation, event.weight, event.priority);
  const Duration patience = m_settings.patience[level];
  const bool too_long = wait > patience || now + wait >= event.deadline;
  if (m_expected <= 0 || too_long || m_waiting.size() >= m_settings.max_waiting) {
    const ResultCode code = m_expected <= 0 ? ResultCode::kNoEndpoint : ResultCode::kOverloaded;
    actions.emplace_back(RejectRequest{
        event.request, code, std::clamp(wait - patience, kLeastRetryAfter, kMostRetryAfter)});
    return;
  }
  Organisation& organisation = m_organisations[event.organisation];
  organisation.weight = std::max(1, event.weight);
  ++organisation.waiting;
  Queue& queue = organisation.queues[level];
  if (queue.waiters.empty()) {
    queue.deficit = 0.0;
    m_turns[level].push_back(event.organisation);
  }
  queue.waiters.push_back({event.request, std::min(now + patience, event.deadline)});
  m_waiting[event.request] = {event.organisation, level};
  FillSlots(now, actions);
}

void Admission::On(const AdmissionEnded& event, TimePoint now, Actions& actions) {
  const auto found = m_running.find(event.request);
  if (found == m_running.end()) return;
  const OrganisationId id = found->second.organisation;
  const double run_time = Seconds(now - found->second.started);
  m_running.erase(found);
  m_ended += 1.0;
  Organisation& organisation = m_organisations[id];
  --organisation.running;
  organisation.run_time = organisation.run_time == 0.0
                              ? run_time
                              : organisation.run_time * (1 - kRunSample) + run_time * kRunSample;
  DropIfIdle(id);
  FillSlots(now, actions);
}

void Admission::On(const AdmissionAbandoned& event, TimePoint, Actions&) {
  RemoveWaiter(event.request);
}

void Admission::On(const AdmissionSlotsChanged& event, TimePoint now, Actions& actions) {
  m_slots = event.slots;
  m_expected = std::max(event.slots, event.expected);
  FillSlots(now, actions);
}

void Admission::On(const AdmissionTimerFired&, TimePoint now, Actions& actions) {
  std::vector<std::uint64_t> late;
  for (const auto& [id, organisation] : m_organisations) {
    for (const Queue& queue : organisation.queues) {
      for (const Waiter& waiter : queue.waiters) {
        if (waiter.latest_start <= now) late.push_back(waiter.request);
      }
    }
  }
  for (std::uint64_t request : late) {
    RemoveWaiter(request);
    const Duration retry_after =
        FromSeconds(static_cast<double>(m_waiting.size() + 1) / CompletionsPerSecond());
    actions.emplace_back(RejectRequest{request, ResultCode::kOverloaded,
                                       std::clamp(retry_after, kLeastRetryAfter, kMostRetryAfter)});
  }
}

void Admission::AccountBusyTime(TimePoint now) {
  const double elapsed = Seconds(now - m_accounted);
  m_accounted = now;
  const double kept = std::exp(-elapsed / kMemorySeconds);
  m_ended *= kept;
  m_busy_seconds = m_busy_seconds * kept + elapsed * static_cast<double>(m_running.size());
}

double Admission::MeanRunTime() const {
  const double prior = Seconds(m_settings.initial_run_time);
  return (m_busy_seconds + kPriorRuns * prior) / (m_ended + kPriorRuns);
}

double Admission::CompletionsPerSecond() const {
  // Runs above the limit must end before slots are free, so they count as well.
  return std::max(1, std::max(m_slots, Running())) / std::max(0.001, MeanRunTime());
}

double Admission::CostOf(const Organisation& organisation) const {
  if (organisation.run_time == 0.0) return 1.0;
  return std::clamp(organisation.run_time / std::max(0.001, MeanRunTime()), kLeastCost, kMostCost);
}

void Admission::FillSlots(TimePoint now, Actions& actions) {
  while (Running() < m_slots && AdmitOne(now, actions)) {
  }
}

bool Admission::AdmitOne(TimePoint now, Actions& actions) {
  if (++m_admitted_since_lowest >= kLowestTurn) {
    m_admitted_since_lowest = 0;
    for (std::size_t priority = kPriorities; priority-- > 0;) {
      if (AdmitFrom(priority, now, actions)) return true;
    }
    return false;
  }
  for (std::size_t priority = 0; priority < kPriorities; ++priority) {
    if (AdmitFrom(priority, now, actions)) return true;
  }
  return false;
}

bool Admission::AdmitFrom(std::size_t priority, TimePoint now, Actions& actions) {
  std::deque<OrganisationId>& turns = m_turns[priority];
  // Quanta relative to the heaviest organisation keep the turns of all short.
  double heaviest = 1.0;
  for (const OrganisationId& id : turns) {
    heaviest = std::max(heaviest, static_cast<double>(m_organisations[id].weight));
  }
  while (!turns.empty()) {
    const OrganisationId id = turns.front();
    Organisation& organisation = m_organisations[id];
    Queue& queue = organisation.queues[priority];
    const double cost = CostOf(organisation);
    if (queue.deficit < cost) {
      queue.deficit += organisation.weight / heaviest;
      turns.pop_front();
      turns.push_back(id);
      continue;
    }
    queue.deficit -= cost;
    const std::uint64_t request = queue.waiters.front().request;
    ++organisation.running;
    m_running[request] = {id, now};
    RemoveWaiter(request);
    actions.emplace_back(Admit{request});
    return true;
  }
  return false;
}

void Admission::RemoveWaiter(std::uint64_t request) {
  const auto found = m_waiting.find(request);
  if (found == m_waiting.end()) return;
  const Position position = found->second;
  m_waiting.erase(found);
  Organisation& organisation = m_organisations[position.organisation];
  --organisation.waiting;
  std::deque<Waiter>& waiters = organisation.queues[position.priority].waiters;
  const auto waiter = std::find_if(waiters.begin(), waiters.end(), [request](const Waiter& item) {
    return item.request == request;
  });
  if (waiter != waiters.end()) waiters.erase(waiter);
  if (waiters.empty()) {
    std::erase(m_turns[position.priority], position.organisation);
  }
  DropIfIdle(position.organisation);
}

void Admission::DropIfIdle(const OrganisationId& id) {
  const auto found = m_organisations.find(id);
  if (found == m_organisations.end()) return;
  if (found->second.running == 0 && found->second.waiting == 0) m_organisations.erase(found);
}

}  // namespace fulmarpoint
