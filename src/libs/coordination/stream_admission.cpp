#include "coordination/stream_admission.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace fulmarpoint {

namespace {

// How long the order is used although latest starts pass and work decays.
constexpr Duration kOrderLifetime = std::chrono::milliseconds(50);
// Before a stream has waited this long, the service is not taken to be short of capacity.
constexpr Duration kMinContention = std::chrono::milliseconds(100);
// An organisation without waiting streams is forgotten when its work is below this.
constexpr double kMinWorkTokens = 1.0;
constexpr double kRunTimeSampleWeight = 0.1;
// Limit on the expected returns of each priority.
constexpr std::size_t kMaxReturns = 1024;
constexpr double kJitterShare = 0.5;
// Factors such that the intervals from which two successive priorities draw do not overlap.
constexpr double kRetryAfterPerPriority = 1.0 + kJitterShare;
constexpr int kMaxRetryAfterSteps = 3;
// Callers ignore a Retry-After above this fraction of the time that they have left.
constexpr int kMaxRetryAfterDivisor = 3;
// Share of an engine's slots and KV cache that each priority may fill. The rest is kept for more
// urgent streams, and that of backups for all streams.
constexpr std::array<double, 3> kFillLimits = {1.0, 0.85, 0.7};
constexpr double kBackupFillLimit = 0.6;

/// Returns 0 for up to twice the work of the others, and one more for each further doubling.
int WorkClass(double work, double mean_of_others) {
  if (mean_of_others <= 0.0 || work < 2 * mean_of_others) return 0;
  return static_cast<int>(std::log2(work / mean_of_others));
}

}  // namespace

struct StreamAdmission::Rank {
  /// 0 with a KV cache backup, 1 without, 2 for new streams.
  int resumption = 2;
  int priority = 0;
  bool is_late = false;
  int work_class = 0;
  TimePoint latest_start{};
  StreamId id = 0;

  bool operator<(const Rank& other) const {
    return std::tie(resumption, priority, is_late, work_class, latest_start, id) <
           std::tie(other.resumption, other.priority, other.is_late, other.work_class,
                    other.latest_start, other.id);
  }
};

StreamAdmission::StreamId StreamAdmission::Enqueue(const Stream& stream, TimePoint now) {
  const StreamId id = m_next_id++;
  m_waiting[id] = {stream, now, now, false};
  m_is_order_valid = false;
  return id;
}

void StreamAdmission::Update(StreamId id, const Stream& stream) {
  const auto found = m_waiting.find(id);
  if (found == m_waiting.end()) return;
  found->second.stream = stream;
  m_is_order_valid = false;
}

std::optional<StreamAdmission::Rejection> StreamAdmission::CheckRejection(StreamId id,
                                                                          TimePoint now) {
  const auto found = m_waiting.find(id);
  if (found == m_waiting.end() || found->second.stream.is_committed) return std::nullopt;
  DecayTo(now);
  const std::size_t position = PositionOf(id, now);
  // A stream whose turn it is may find an engine at once although others wait before it. That the
  // pause of one of these has ended takes its turn away only once that one has tried again: timers
  // that expire together may run in any order.
  const bool has_turn = Next(now) == id || FoundNoEngineBefore(id);
  const Duration wait = has_turn ? Duration::zero() : PredictWait(position, now);
  if (position >= m_options.max_waiting) {
    return Rejection{StreamRejectionReason::kQueueFull, wait};
  }
  if (now + wait > found->second.stream.latest_useful_start) {
    return Rejection{StreamRejectionReason::kTooLate, wait};
  }
  return std::nullopt;
}

std::optional<StreamAdmission::StreamId> StreamAdmission::Next(TimePoint now) {
  UpdateOrder(now);
  const std::optional<StreamId> reserved = ReservedTurn(now);
  if (reserved) return reserved;
  for (const StreamId id : m_order) {
    if (IsEligible(id, now)) return id;
  }
  return std::nullopt;
}

bool StreamAdmission::HasReservedTurn(StreamId id, TimePoint now) {
  UpdateOrder(now);
  return ReservedTurn(now) == std::optional<StreamId>(id);
}

void StreamAdmission::OnEngineChosen(StreamId id) {
  const auto found = m_waiting.find(id);
  if (found == m_waiting.end()) return;
  found->second.is_connecting = true;
  found->second.found_no_engine = false;
}

void StreamAdmission::OnNotPlaced(StreamId id, TimePoint until) {
  const auto found = m_waiting.find(id);
  if (found == m_waiting.end()) return;
  // One that was connecting had found an engine, which did not accept it.
  found->second.found_no_engine = !found->second.is_connecting;
  found->second.is_connecting = false;
  found->second.not_before = until;
}

void StreamAdmission::OnRoomFreed() {
  for (auto& [id, entry] : m_waiting) {
    entry.not_before = TimePoint{};
    entry.found_no_engine = false;
  }
}

void StreamAdmission::OnPlaced(StreamId id, TimePoint now) {
  const auto found = m_waiting.find(id);
  if (found == m_waiting.end()) return;
  DecayTo(now);
  const Stream& stream = found->second.stream;
  int lowest = stream.priority;
  for (const auto& [other, entry] : m_waiting) lowest = std::max(lowest, entry.stream.priority);
  m_since_lowest = stream.priority == lowest ? 0 : m_since_lowest + 1;
  m_admissions += 1.0;
  m_work[stream.organisation] += static_cast<double>(stream.prompt_tokens);
  Remove(id);
}

void StreamAdmission::OnPlacementRejected(const Stream& stream, TimePoint now) {
  DecayTo(now);
  m_admissions = std::max(0.0, m_admissions - 1.0);
  double& work = m_work[stream.organisation];
  work = std::max(0.0, work - static_cast<double>(stream.prompt_tokens));
}

void StreamAdmission::Remove(StreamId id) {
  if (m_waiting.erase(id) > 0) m_is_order_valid = false;
}

void StreamAdmission::OnCompleted(Duration elapsed, std::int64_t max_output_tokens) {
  if (max_output_tokens <= 0) return;
  const double sample =
      static_cast<double>(elapsed.count()) / static_cast<double>(max_output_tokens);
  m_token_us = m_token_us == 0.0
                   ? sample
                   : m_token_us * (1 - kRunTimeSampleWeight) + sample * kRunTimeSampleWeight;
}

Duration StreamAdmission::ExpectedRunTime(std::int64_t max_output_tokens) const {
  return Duration(static_cast<Duration::rep>(m_token_us * static_cast<double>(max_output_tokens)));
}

Duration StreamAdmission::RetryAfter(const Stream& stream, Duration predicted_wait, TimePoint now,
                                     Random& random) {
  DecayTo(now);
  const int steps = std::clamp(stream.level, 0, kMaxRetryAfterSteps);
  const Duration wait =
      std::max(predicted_wait + TimeToAdmit(ExpectedReturns(stream.priority, now)),
               m_options.min_retry_after);
  double seconds =
      std::chrono::duration<double>(wait).count() * std::pow(kRetryAfterPerPriority, steps);
  const double longest =
      std::chrono::duration<double>((stream.deadline - now) / kMaxRetryAfterDivisor).count();
  seconds = std::min(seconds, longest / (1.0 + kJitterShare));
  seconds *= std::uniform_real_distribution<double>(1.0, 1.0 + kJitterShare)(random);
  const Duration drawn =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
  const Duration retry_after = std::max(drawn, m_options.min_retry_after);
  std::multiset<TimePoint>& returns = m_returns[stream.priority];
  if (returns.size() < kMaxReturns) returns.insert(now + retry_after);
  return retry_after;
}

FillLimit StreamAdmission::FillLimitOf(int level) {
  const int last = static_cast<int>(kFillLimits.size()) - 1;
  const double limit = kFillLimits[static_cast<std::size_t>(std::clamp(level, 0, last))];
  return {limit, limit};
}

FillLimit StreamAdmission::BackupFillLimit() { return {kBackupFillLimit, kBackupFillLimit}; }

std::size_t StreamAdmission::WaitingOf(int priority) const {
  std::size_t count = 0;
  for (const auto& [id, entry] : m_waiting) {
    if (entry.stream.priority == priority) ++count;
  }
  return count;
}

std::size_t StreamAdmission::PositionOf(StreamId id, TimePoint now) {
  UpdateOrder(now);
  const std::vector<StreamId>::const_iterator found = std::find(m_order.begin(), m_order.end(), id);
  return static_cast<std::size_t>(found - m_order.begin());
}

void StreamAdmission::DecayTo(TimePoint now) {
  if (now <= m_decayed_to) return;
  const std::chrono::duration<double> elapsed = now - m_decayed_to;
  m_decayed_to = now;
  m_admissions *= std::exp(-elapsed / std::chrono::duration<double>(m_options.rate_window));
  const double kept = std::exp(-elapsed / std::chrono::duration<double>(m_options.work_window));
  for (auto it = m_work.begin(); it != m_work.end();) {
    it->second *= kept;
    it = it->second < kMinWorkTokens ? m_work.erase(it) : std::next(it);
  }
}

void StreamAdmission::UpdateOrder(TimePoint now) {
  if (m_is_order_valid && now < m_order_expires) return;
  DecayTo(now);
  const std::map<StreamId, int> work_classes = WorkClasses();
  std::vector<Rank> ranks;
  ranks.reserve(m_waiting.size());
  for (const auto& [id, entry] : m_waiting) {
    const Stream& stream = entry.stream;
    Rank rank;
    if (stream.is_resumed) rank.resumption = stream.has_backup ? 0 : 1;
    rank.priority = stream.priority;
    rank.is_late = now > stream.latest_objective_start;
    rank.work_class = work_classes.at(id);
    rank.latest_start = rank.is_late ? stream.latest_useful_start : stream.latest_objective_start;
    rank.id = id;
    ranks.push_back(rank);
  }
  std::sort(ranks.begin(), ranks.end());
  m_order.clear();
  for (const Rank& rank : ranks) m_order.push_back(rank.id);
  m_is_order_valid = true;
  m_order_expires = now + kOrderLifetime;
}

/// Returns how much more work each waiting stream's organisation has had than the others, counting
/// its streams that were queued before.
std::map<StreamAdmission::StreamId, int> StreamAdmission::WorkClasses() const {
  std::map<OrganisationId, double> demand = m_work;
  for (const auto& [id, entry] : m_waiting) {
    demand[entry.stream.organisation] += static_cast<double>(entry.stream.prompt_tokens);
  }
  double total = 0.0;
  for (const auto& [organisation, tokens] : demand) total += tokens;
  const double others = static_cast<double>(demand.size()) - 1.0;
  std::map<OrganisationId, double> means;
  for (const auto& [organisation, tokens] : demand) {
    means[organisation] = others > 0.0 ? (total - tokens) / others : 0.0;
  }
  std::map<OrganisationId, double> work = m_work;
  std::map<StreamId, int> classes;
  for (const auto& [id, entry] : m_waiting) {
    double& own = work[entry.stream.organisation];
    classes[id] = WorkClass(own, means[entry.stream.organisation]);
    own += static_cast<double>(entry.stream.prompt_tokens);
  }
  return classes;
}

/// Returns the stream of the lowest waiting priority that is next after a number of admissions to
/// other priorities.
std::optional<StreamAdmission::StreamId> StreamAdmission::ReservedTurn(TimePoint now) const {
  if (m_since_lowest < m_options.admissions_per_reserved_turn) return std::nullopt;
  std::optional<StreamId> found;
  int lowest = 0;
  for (const StreamId id : m_order) {
    const auto entry = m_waiting.find(id);
    if (entry == m_waiting.end() || !IsEligible(id, now)) continue;
    if (found && entry->second.stream.priority <= lowest) continue;
    found = id;
    lowest = entry->second.stream.priority;
  }
  return found;
}

bool StreamAdmission::IsEligible(StreamId id, TimePoint now) const {
  const auto found = m_waiting.find(id);
  return found != m_waiting.end() && !found->second.is_connecting &&
         found->second.not_before <= now;
}

/// Returns whether all streams before `id` are connecting or found no engine.
bool StreamAdmission::FoundNoEngineBefore(StreamId id) const {
  for (const StreamId other : m_order) {
    if (other == id) return true;
    const Entry& entry = m_waiting.at(other);
    if (!entry.is_connecting && !entry.found_no_engine) return false;
  }
  return false;
}

/// Returns the predicted wait behind `ahead` streams.
Duration StreamAdmission::PredictWait(std::size_t ahead, TimePoint now) const {
  const bool is_contended = std::any_of(
      m_waiting.begin(), m_waiting.end(),
      [now](const auto& waiting) { return now - waiting.second.enqueued >= kMinContention; });
  return is_contended ? TimeToAdmit(ahead) : Duration::zero();
}

/// Returns how long `streams` admissions take at the recent rate. Without any, one per window is
/// assumed.
Duration StreamAdmission::TimeToAdmit(std::size_t streams) const {
  const double window_us = static_cast<double>(m_options.rate_window.count());
  const double time_us = static_cast<double>(streams) * window_us / std::max(1.0, m_admissions);
  return Duration(static_cast<Duration::rep>(time_us));
}

/// Returns the number of rejected callers of this or a more urgent priority that have yet to
/// return.
std::size_t StreamAdmission::ExpectedReturns(int priority, TimePoint now) {
  std::size_t count = 0;
  for (auto& [returning, times] : m_returns) {
    times.erase(times.begin(), times.upper_bound(now));
    if (returning <= priority) count += times.size();
  }
  return count;
}

}  // namespace fulmarpoint
