#include <criterion/criterion.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "coordination/stream_admission.h"

using namespace fulmarpoint;

namespace {

const TimePoint kStart{std::chrono::hours(1)};
constexpr Duration kTick = std::chrono::milliseconds(10);
constexpr Duration kPollInterval = std::chrono::milliseconds(50);
constexpr Duration kFirstEventTime = std::chrono::milliseconds(300);
constexpr Duration kFormerRetryAfter = std::chrono::milliseconds(200);
constexpr int kFormerRejectDivisor = 8;
constexpr std::uint64_t kSeed = 1;

/// The rule by which streams get engines.
enum class Rule {
  kAdmission,
  /// Streams poll in no order and are rejected after an eighth of their objective.
  kFormer,
};

/// What a caller asks for.
struct CallerKind {
  int priority = 0;
  OrganisationId organisation;
  Duration objective = std::chrono::seconds(4);
  Duration timeout = std::chrono::seconds(15);
  double per_second = 0.0;
};

struct Caller {
  CallerKind kind;
  TimePoint deadline{};
  /// Of the current request; a retry is a new request.
  TimePoint arrived{};
  bool has_retried = false;
  TimePoint next_poll{};
  StreamAdmission::StreamId id = 0;
  /// Of the running attempt.
  TimePoint started{};
  std::optional<TimePoint> first_event;
  bool is_resumed = false;
  TimePoint cut{};
  Duration remaining = std::chrono::seconds(2);
};

struct Counts {
  int callers = 0;
  int in_time = 0;
  int late = 0;
  /// Rejected for good.
  int rejected = 0;
  int rejections = 0;
  int retries = 0;
  int retries_served = 0;
  /// Started streams whose caller had left or whose deadline had passed before the first event.
  int wasted = 0;
  int resumed = 0;
  Duration resume_wait{};

  int Served() const { return in_time + late; }
  double ServedShare() const { return callers == 0 ? 1.0 : 1.0 * Served() / callers; }
  double MeanResumeSeconds() const {
    return resumed == 0 ? 0.0 : std::chrono::duration<double>(resume_wait).count() / resumed;
  }
};

/// One daemon and its engines in virtual time. `capacity` states the number of slots at a time
/// after the start; running streams beyond it are cut and wait to be resumed.
class Simulation {
 public:
  Simulation(Rule rule, std::vector<CallerKind> kinds, std::function<int(Duration)> capacity)
      : m_rule(rule), m_kinds(std::move(kinds)), m_capacity(std::move(capacity)) {}

  /// Callers arrive for `duration`; afterwards all requests end.
  void Run(Duration duration) {
    for (m_now = kStart; m_now < kStart + duration + std::chrono::seconds(40); m_now += kTick) {
      if (m_now < kStart + duration) AddArrivals();
      AddReturning();
      EndStreams();
      CutStreams();
      if (m_rule == Rule::kAdmission) PlaceByTurn();
      if (m_rule == Rule::kFormer) PlaceByPoll();
    }
  }

  Counts Of(int priority) const {
    return Sum([priority](const CallerKind& kind) { return kind.priority == priority; });
  }
  Counts OfOrganisation(const OrganisationId& organisation) const {
    return Sum([&](const CallerKind& kind) { return kind.organisation == organisation; });
  }
  Counts All() const {
    return Sum([](const CallerKind&) { return true; });
  }
  /// Largest number of callers that returned within 50 ms.
  int LargestReturn() const {
    int largest = 0;
    for (const auto& [slot, count] : m_returns) largest = std::max(largest, count);
    return largest;
  }

 private:
  using Waiting = std::vector<Caller>;

  Counts Sum(const std::function<bool(const CallerKind&)>& includes) const {
    Counts sum;
    for (const CallerKind& kind : m_kinds) {
      const auto found = m_counts.find(KeyOf(kind));
      if (!includes(kind) || found == m_counts.end()) continue;
      const Counts& counts = found->second;
      sum.callers += counts.callers;
      sum.in_time += counts.in_time;
      sum.late += counts.late;
      sum.rejected += counts.rejected;
      sum.rejections += counts.rejections;
      sum.retries += counts.retries;
      sum.retries_served += counts.retries_served;
      sum.wasted += counts.wasted;
      sum.resumed += counts.resumed;
      sum.resume_wait += counts.resume_wait;
    }
    return sum;
  }
  static std::string KeyOf(const CallerKind& kind) {
    return std::to_string(kind.priority) + kind.organisation;
  }
  Counts& CountsOf(const Caller& caller) { return m_counts[KeyOf(caller.kind)]; }
  static Duration PatienceOf(const Caller& caller) {
    return std::max<Duration>(std::chrono::seconds(2), 4 * caller.kind.objective);
  }

  void AddArrivals() {
    for (const CallerKind& kind : m_kinds) {
      std::poisson_distribution<int> arrivals(kind.per_second *
                                              std::chrono::duration<double>(kTick).count());
      for (int left = arrivals(m_arrivals_random); left > 0; --left) {
        Caller caller;
        caller.kind = kind;
        caller.deadline = m_now + kind.timeout;
        ++CountsOf(caller).callers;
        Arrive(std::move(caller));
      }
    }
  }

  void AddReturning() {
    while (!m_returning.empty() && m_returning.begin()->first <= m_now) {
      Caller caller = m_returning.begin()->second;
      m_returning.erase(m_returning.begin());
      ++CountsOf(caller).retries;
      ++m_returns[(m_now - kStart) / kPollInterval];
      Arrive(std::move(caller));
    }
  }

  void Arrive(Caller caller) {
    caller.arrived = m_now;
    caller.next_poll = m_now;
    if (m_rule == Rule::kAdmission) caller.id = m_admission.Enqueue(StreamOf(caller), m_now);
    m_waiting.push_back(std::move(caller));
  }

  StreamAdmission::Stream StreamOf(const Caller& caller) const {
    StreamAdmission::Stream stream;
    stream.priority = caller.kind.priority;
    stream.level = caller.kind.priority;
    stream.organisation = caller.kind.organisation;
    stream.prompt_tokens = 1000;
    stream.is_resumed = caller.is_resumed;
    stream.is_committed = caller.is_resumed;
    stream.latest_objective_start = caller.arrived + caller.kind.objective - kFirstEventTime;
    stream.latest_useful_start =
        std::min(caller.deadline - caller.remaining, caller.arrived + PatienceOf(caller)) -
        kFirstEventTime;
    stream.deadline = caller.deadline;
    return stream;
  }

  int FreeSlots() const { return m_capacity(m_now - kStart) - static_cast<int>(m_running.size()); }

  void Begin(Caller caller) {
    caller.started = m_now;
    caller.first_event = std::nullopt;
    if (caller.is_resumed) {
      Counts& counts = CountsOf(caller);
      ++counts.resumed;
      counts.resume_wait += m_now - caller.cut;
    }
    m_running.push_back(std::move(caller));
  }

  void EndStreams() {
    for (auto it = m_running.begin(); it != m_running.end();) {
      if (!it->first_event && m_now >= it->started + kFirstEventTime) OnFirstEvent(*it);
      const bool has_ended = m_now >= it->started + kFirstEventTime + it->remaining;
      it = has_ended ? m_running.erase(it) : std::next(it);
      if (has_ended) m_admission.OnRoomFreed();
    }
  }

  void OnFirstEvent(Caller& caller) {
    caller.first_event = m_now;
    if (caller.is_resumed) return;
    Counts& counts = CountsOf(caller);
    const Duration first = m_now - caller.arrived;
    const bool has_left = first > PatienceOf(caller) || m_now > caller.deadline;
    if (has_left) ++counts.wasted;
    if (has_left) return;
    ++(first <= caller.kind.objective ? counts.in_time : counts.late);
    if (caller.has_retried) ++counts.retries_served;
  }

  void CutStreams() {
    while (FreeSlots() < 0) {
      Caller caller = m_running.front();
      m_running.pop_front();
      caller.is_resumed = caller.is_resumed || caller.first_event.has_value();
      caller.cut = m_now;
      caller.next_poll = m_now;
      if (m_rule == Rule::kAdmission) caller.id = m_admission.Enqueue(StreamOf(caller), m_now);
      m_waiting.push_back(std::move(caller));
    }
  }

  void PlaceByTurn() {
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
      const std::optional<StreamAdmission::Rejection> rejection =
          m_admission.CheckRejection(it->id, m_now);
      if (!rejection) {
        ++it;
        continue;
      }
      m_admission.Remove(it->id);
      const Duration wait =
          m_admission.RetryAfter(StreamOf(*it), rejection->predicted_wait, m_now, m_random);
      Reject(*it, wait);
      it = m_waiting.erase(it);
    }
    while (const std::optional<StreamAdmission::StreamId> next = m_admission.Next(m_now)) {
      const Waiting::iterator caller =
          std::find_if(m_waiting.begin(), m_waiting.end(),
                       [&](const Caller& waiting) { return waiting.id == *next; });
      cr_assert(caller != m_waiting.end());
      if (FreeSlots() <= 0) {
        m_admission.OnNotPlaced(*next, m_now + kPollInterval);
        continue;
      }
      m_admission.OnPlaced(*next, m_now);
      Begin(*caller);
      m_waiting.erase(caller);
    }
  }

  void PlaceByPoll() {
    std::shuffle(m_waiting.begin(), m_waiting.end(), m_random);
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
      if (it->next_poll > m_now) {
        ++it;
        continue;
      }
      it->next_poll = m_now + kPollInterval;
      const bool is_placed = FreeSlots() > 0;
      const bool is_rejected = !is_placed && !it->is_resumed &&
                               m_now >= it->arrived + it->kind.objective / kFormerRejectDivisor;
      if (is_placed) Begin(*it);
      if (is_rejected) {
        std::uniform_int_distribution<Duration::rep> spread(0, kFormerRetryAfter.count() / 2);
        Reject(*it, kFormerRetryAfter + Duration(spread(m_random)));
      }
      it = is_placed || is_rejected ? m_waiting.erase(it) : std::next(it);
    }
  }

  /// The caller returns once, if the time that it is told to wait is at most a third of what it has
  /// left.
  void Reject(Caller caller, Duration retry_after) {
    ++CountsOf(caller).rejections;
    const bool returns = !caller.has_retried && retry_after <= (caller.deadline - m_now) / 3;
    if (!returns) ++CountsOf(caller).rejected;
    if (!returns) return;
    caller.has_retried = true;
    m_returning.emplace(m_now + retry_after, std::move(caller));
  }

  Rule m_rule;
  std::vector<CallerKind> m_kinds;
  std::function<int(Duration)> m_capacity;
  TimePoint m_now{};
  /// Arrivals are the same for both rules.
  Random m_arrivals_random{kSeed};
  Random m_random{kSeed};
  StreamAdmission m_admission;
  Waiting m_waiting;
  std::deque<Caller> m_running;
  std::multimap<TimePoint, Caller> m_returning;
  std::map<std::string, Counts> m_counts;
  std::map<Duration::rep, int> m_returns;
};

Simulation RunLoad(Rule rule, std::vector<CallerKind> kinds, std::function<int(Duration)> capacity,
                   Duration duration = std::chrono::seconds(20)) {
  Simulation simulation(rule, std::move(kinds), std::move(capacity));
  simulation.Run(duration);
  return simulation;
}

// A stream takes 2.3 s, so 100 slots serve 43 streams per second.
constexpr int kSlots = 100;

std::vector<CallerKind> TwoPriorities(double per_second) {
  CallerKind urgent;
  urgent.per_second = per_second / 2;
  CallerKind less_urgent = urgent;
  less_urgent.priority = 1;
  less_urgent.objective = std::chrono::seconds(10);
  less_urgent.timeout = std::chrono::seconds(30);
  return {urgent, less_urgent};
}

/// A tenth of the slots from second 5 to 10.
int TenthForFiveSeconds(Duration elapsed) {
  const bool is_short = elapsed >= std::chrono::seconds(5) && elapsed < std::chrono::seconds(10);
  return is_short ? kSlots / 10 : kSlots;
}

/// No slots for 1.2 s, five times.
int FiveOutages(Duration elapsed) {
  const Duration in_period = elapsed % std::chrono::seconds(5);
  const bool is_out = elapsed < std::chrono::seconds(25) && in_period >= std::chrono::seconds(3) &&
                      in_period < std::chrono::milliseconds(4200);
  return is_out ? 0 : kSlots;
}

StreamAdmission::Stream MakeStream(int priority, const OrganisationId& organisation,
                                   Duration objective) {
  StreamAdmission::Stream stream;
  stream.priority = priority;
  stream.level = priority;
  stream.organisation = organisation;
  stream.prompt_tokens = 1000;
  stream.latest_objective_start = kStart + objective;
  stream.latest_useful_start = kStart + 4 * objective;
  stream.deadline = kStart + 6 * objective;
  return stream;
}

/// Admits one stream at `now`.
StreamAdmission::StreamId PlaceNext(StreamAdmission& admission, TimePoint now) {
  const std::optional<StreamAdmission::StreamId> next = admission.Next(now);
  cr_assert(next.has_value());
  admission.OnPlaced(*next, now);
  return *next;
}

}  // namespace

// Guards against an order by arrival: urgent callers would wait behind less urgent ones, and cut
// streams behind new ones.
Test(stream_admission, resumed_then_urgent_then_earliest_start_then_late_streams) {
  StreamAdmission admission;
  StreamAdmission::Stream late = MakeStream(0, "a", std::chrono::seconds(4));
  late.latest_objective_start = kStart - kTick;
  const StreamAdmission::StreamId late_id = admission.Enqueue(late, kStart);
  const StreamAdmission::StreamId low =
      admission.Enqueue(MakeStream(2, "a", std::chrono::seconds(1)), kStart);
  const StreamAdmission::StreamId later =
      admission.Enqueue(MakeStream(0, "a", std::chrono::seconds(4)), kStart);
  const StreamAdmission::StreamId sooner =
      admission.Enqueue(MakeStream(0, "a", std::chrono::seconds(3)), kStart);
  StreamAdmission::Stream cut = MakeStream(2, "a", std::chrono::seconds(10));
  cut.is_resumed = true;
  const StreamAdmission::StreamId resumed = admission.Enqueue(cut, kStart);
  cut.has_backup = true;
  const StreamAdmission::StreamId with_backup = admission.Enqueue(cut, kStart);
  for (const StreamAdmission::StreamId expected :
       {with_backup, resumed, sooner, later, late_id, low}) {
    cr_assert_eq(PlaceNext(admission, kStart), expected);
  }
  cr_assert_not(admission.Next(kStart).has_value());
}

// Guards against a stream that no engine can take and that blocks all others, for example because
// the engines of its version are gone.
Test(stream_admission, a_stream_that_finds_no_engine_is_passed_over_until_room_is_freed) {
  StreamAdmission admission;
  const StreamAdmission::StreamId first =
      admission.Enqueue(MakeStream(0, "a", std::chrono::seconds(4)), kStart);
  const StreamAdmission::StreamId second =
      admission.Enqueue(MakeStream(1, "a", std::chrono::seconds(4)), kStart);
  admission.OnNotPlaced(first, kStart + kPollInterval);
  cr_assert_eq(*admission.Next(kStart), second);
  admission.OnRoomFreed();
  cr_assert_eq(*admission.Next(kStart), first);
  admission.OnEngineChosen(first);
  cr_assert_eq(*admission.Next(kStart), second, "others choose while a stream connects");
}

// Guards against a stream that is rejected as too late because the pause of the one before it has
// ended and that one has not tried again yet: with a busy daemon, timers expire together.
Test(stream_admission, an_ended_pause_of_another_stream_rejects_none) {
  StreamAdmission admission;
  const StreamAdmission::StreamId first =
      admission.Enqueue(MakeStream(0, "a", std::chrono::seconds(4)), kStart);
  StreamAdmission::Stream waiting = MakeStream(1, "a", std::chrono::seconds(4));
  waiting.latest_useful_start = kStart + std::chrono::seconds(3);
  const StreamAdmission::StreamId second = admission.Enqueue(waiting, kStart);
  const TimePoint late = kStart + std::chrono::milliseconds(300);
  admission.OnNotPlaced(first, late - kPollInterval);
  cr_assert_eq(*admission.Next(late), first);
  cr_assert_not(admission.CheckRejection(second, late).has_value());
  admission.OnRoomFreed();
  cr_assert(admission.CheckRejection(second, late).has_value(), "the first may take the room");
}

// Guards against a queue that grows without limit, and against urgent streams that are rejected
// because less urgent ones fill it.
Test(stream_admission, a_full_queue_rejects_its_last_streams) {
  StreamAdmission::Options options;
  options.max_waiting = 2;
  StreamAdmission admission(options);
  const StreamAdmission::StreamId first =
      admission.Enqueue(MakeStream(1, "a", std::chrono::seconds(4)), kStart);
  const StreamAdmission::StreamId last =
      admission.Enqueue(MakeStream(1, "a", std::chrono::seconds(5)), kStart);
  cr_assert_not(admission.CheckRejection(last, kStart).has_value());
  const StreamAdmission::StreamId urgent =
      admission.Enqueue(MakeStream(0, "a", std::chrono::seconds(4)), kStart);
  cr_assert_not(admission.CheckRejection(urgent, kStart).has_value());
  cr_assert_not(admission.CheckRejection(first, kStart).has_value());
  const std::optional<StreamAdmission::Rejection> rejection =
      admission.CheckRejection(last, kStart);
  cr_assert(rejection.has_value());
  cr_assert(rejection->reason == StreamRejectionReason::kQueueFull);
}

// Guards against callers of different priorities that return together, and against a Retry-After
// that callers do not honour.
Test(stream_admission, retry_after_is_spread_and_the_urgent_return_first) {
  Random random(1);
  const StreamAdmission::Stream urgent = MakeStream(0, "a", std::chrono::seconds(4));
  const StreamAdmission::Stream less_urgent = MakeStream(1, "a", std::chrono::seconds(4));
  const auto draw = [&](const StreamAdmission::Stream& stream, Duration predicted) {
    StreamAdmission admission;
    return admission.RetryAfter(stream, predicted, kStart, random);
  };
  std::vector<Duration> waits;
  for (int i = 0; i < 200; ++i) {
    waits.push_back(draw(urgent, std::chrono::seconds(1)));
    cr_assert_geq(draw(less_urgent, std::chrono::seconds(1)), std::chrono::milliseconds(1500));
    cr_assert_leq(draw(urgent, std::chrono::hours(1)), (urgent.deadline - kStart) / 3);
    cr_assert_geq(draw(urgent, Duration::zero()), std::chrono::milliseconds(200));
  }
  const auto [first, last] = std::minmax_element(waits.begin(), waits.end());
  cr_assert_geq(*first, std::chrono::seconds(1));
  cr_assert_leq(*last, std::chrono::milliseconds(1500));
  cr_assert_geq(*last - *first, std::chrono::milliseconds(400));
}

// Guards against a Retry-After that leads more callers back at a time than can be admitted then.
Test(stream_admission, each_rejected_caller_returns_after_those_rejected_before) {
  StreamAdmission admission;
  Random random(1);
  for (int i = 0; i < 40; ++i) {
    admission.Enqueue(MakeStream(0, "a", std::chrono::seconds(4)), kStart);
    PlaceNext(admission, kStart);
  }
  // 40 admissions in a window of 4 s are 10 per second.
  const StreamAdmission::Stream stream = MakeStream(0, "a", std::chrono::seconds(4));
  for (int i = 0; i < 40; ++i) {
    cr_assert_geq(admission.RetryAfter(stream, Duration::zero(), kStart, random),
                  i * std::chrono::milliseconds(100));
  }
}

// Guards against less urgent streams that take the last capacity, and backups that take capacity
// which requests need.
Test(stream_admission, lower_priorities_and_backups_leave_room) {
  cr_assert_eq(StreamAdmission::FillLimitOf(0).slots, 1.0);
  cr_assert_lt(StreamAdmission::FillLimitOf(1).slots, 1.0);
  cr_assert_lt(StreamAdmission::FillLimitOf(2).kv_cache, StreamAdmission::FillLimitOf(1).kv_cache);
  cr_assert_eq(StreamAdmission::FillLimitOf(9).slots, StreamAdmission::FillLimitOf(2).slots);
  cr_assert_lt(StreamAdmission::BackupFillLimit().kv_cache,
               StreamAdmission::FillLimitOf(9).kv_cache);
}

// Guards against a shortage in which capacity goes to whoever polls first: the urgent route, which
// has room in it, would lose callers (a).
Test(stream_admission, with_room_for_a_tenth_the_urgent_are_served_first) {
  const Simulation former = RunLoad(Rule::kFormer, TwoPriorities(30), TenthForFiveSeconds);
  const Simulation current = RunLoad(Rule::kAdmission, TwoPriorities(30), TenthForFiveSeconds);
  const Counts urgent = current.Of(0);
  const Counts less_urgent = current.Of(1);
  cr_log_info("urgent %d/%d/%d of %d, former %d/%d/%d; less urgent %d/%d of %d, former %d/%d",
              urgent.in_time, urgent.late, urgent.rejected, urgent.callers, former.Of(0).in_time,
              former.Of(0).late, former.Of(0).rejected, less_urgent.in_time, less_urgent.late,
              less_urgent.callers, former.Of(1).in_time, former.Of(1).late);
  cr_assert_geq(urgent.ServedShare(), 0.9);
  cr_assert_geq(urgent.ServedShare() + 0.01, less_urgent.ServedShare());
  cr_assert_gt(urgent.Served(), former.Of(0).Served());
  cr_assert_gt(current.All().Served(), former.All().Served());
}

// Guards against one organisation that takes the service of the others (b).
Test(stream_admission, an_organisation_with_twenty_times_the_load_waits_for_itself) {
  std::vector<CallerKind> kinds;
  for (const char* name : {"a", "b", "c", "d", "e"}) {
    CallerKind kind;
    kind.organisation = name;
    kind.per_second = 3.0;
    kinds.push_back(kind);
  }
  kinds.push_back(kinds.front());
  kinds.back().organisation = "large";
  kinds.back().per_second = 60.0;
  const std::function<int(Duration)> constant = [](Duration) { return kSlots; };
  const Simulation former = RunLoad(Rule::kFormer, kinds, constant);
  const Simulation current = RunLoad(Rule::kAdmission, kinds, constant);
  const double mean = current.All().ServedShare();
  for (const char* name : {"a", "b", "c", "d", "e"}) {
    const Counts counts = current.OfOrganisation(name);
    cr_log_info("%s: in time %d of %d, former %d", name, counts.in_time, counts.callers,
                former.OfOrganisation(name).in_time);
    cr_assert_geq(counts.ServedShare(), 0.9);
    cr_assert_geq(counts.ServedShare(), mean / 2);
    cr_assert_gt(counts.in_time, former.OfOrganisation(name).in_time);
  }
  const Counts large = current.OfOrganisation("large");
  cr_log_info("large: in time %d, late %d of %d, former %d, %d", large.in_time, large.late,
              large.callers, former.OfOrganisation("large").in_time,
              former.OfOrganisation("large").late);
  cr_assert_gt(large.ServedShare(), 0.2, "it still gets what the others leave");
}

// Guards against callers that are rejected although capacity is back within their objective (c).
Test(stream_admission, nobody_is_rejected_for_short_outages) {
  const Duration duration = std::chrono::seconds(25);
  const Simulation former = RunLoad(Rule::kFormer, TwoPriorities(20), FiveOutages, duration);
  const Simulation current = RunLoad(Rule::kAdmission, TwoPriorities(20), FiveOutages, duration);
  cr_log_info("in time %d of %d, rejections %d; former %d, rejections %d", current.All().in_time,
              current.All().callers, current.All().rejections, former.All().in_time,
              former.All().rejections);
  cr_assert_eq(current.Of(0).in_time, current.Of(0).callers);
  cr_assert_geq(current.All().in_time, current.All().callers * 99 / 100);
  cr_assert_eq(current.All().rejections, 0);
  cr_assert_gt(former.All().rejections, 0);
}

// Guards against urgent load that takes all capacity for long (d).
Test(stream_admission, less_urgent_work_is_not_starved) {
  std::vector<CallerKind> kinds = TwoPriorities(20);
  kinds[0].per_second = 60.0;
  const std::function<int(Duration)> constant = [](Duration) { return kSlots; };
  const Simulation former = RunLoad(Rule::kFormer, kinds, constant);
  const Simulation current = RunLoad(Rule::kAdmission, kinds, constant);
  cr_log_info("less urgent %d of %d, former %d; urgent %d of %d, former %d", current.Of(1).Served(),
              current.Of(1).callers, former.Of(1).Served(), current.Of(0).Served(),
              current.Of(0).callers, former.Of(0).Served());
  const double admitted_share = 1.0 * current.Of(1).Served() / std::max(1, current.All().Served());
  cr_assert_geq(admitted_share, 0.1);
  cr_assert_geq(current.Of(0).ServedShare(), current.Of(1).ServedShare());
}

// Guards against callers that return at the same time or are rejected again (e).
Test(stream_admission, rejected_callers_return_spread_and_are_served) {
  std::vector<CallerKind> kinds = TwoPriorities(60);
  for (CallerKind& kind : kinds) kind.objective = std::chrono::milliseconds(800);
  const Simulation former = RunLoad(Rule::kFormer, kinds, TenthForFiveSeconds);
  const Simulation current = RunLoad(Rule::kAdmission, kinds, TenthForFiveSeconds);
  const Counts all = current.All();
  cr_log_info("retries %d, served %d, largest return %d; former %d, %d, %d", all.retries,
              all.retries_served, current.LargestReturn(), former.All().retries,
              former.All().retries_served, former.LargestReturn());
  cr_assert_gt(all.retries, 0);
  const double served = 1.0 * all.retries_served / all.retries;
  const double former_served =
      1.0 * former.All().retries_served / std::max(1, former.All().retries);
  cr_assert_gt(served, former_served);
  cr_assert_geq(served, 0.5);
  cr_assert_leq(current.LargestReturn(), 15);
}

// Guards against prompts that are processed for callers who have left (f).
Test(stream_admission, nothing_is_begun_that_cannot_be_in_time) {
  for (const Duration objective :
       {std::chrono::milliseconds(500), std::chrono::milliseconds(4000)}) {
    std::vector<CallerKind> kinds = TwoPriorities(80);
    for (CallerKind& kind : kinds) kind.objective = objective;
    const Simulation former = RunLoad(Rule::kFormer, kinds, TenthForFiveSeconds);
    const Simulation current = RunLoad(Rule::kAdmission, kinds, TenthForFiveSeconds);
    cr_log_info("served %d of %d, former %d", current.All().Served(), current.All().callers,
                former.All().Served());
    cr_assert_eq(current.All().wasted, 0);
    cr_assert_geq(current.All().Served(), former.All().Served());
  }
}

// Guards against cut streams that wait behind new ones while their callers see a pause (g).
Test(stream_admission, cut_streams_resume_first) {
  const Duration duration = std::chrono::seconds(25);
  const Simulation former = RunLoad(Rule::kFormer, TwoPriorities(50), FiveOutages, duration);
  const Simulation current = RunLoad(Rule::kAdmission, TwoPriorities(50), FiveOutages, duration);
  cr_log_info("resumed %d after %.2f s, former %d after %.2f s", current.All().resumed,
              current.All().MeanResumeSeconds(), former.All().resumed,
              former.All().MeanResumeSeconds());
  cr_assert_gt(current.All().resumed, 0);
  cr_assert_leq(current.All().MeanResumeSeconds(), 1.3, "the outage and a tenth of a second");
  cr_assert_lt(current.All().MeanResumeSeconds(), former.All().MeanResumeSeconds());
}
