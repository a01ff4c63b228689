#include "ramp_fleet.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>
#include <vector>

namespace fulmarpoint {

namespace {

constexpr Duration kTick = std::chrono::milliseconds(5);
constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(200);
constexpr Duration kPrefillTime = std::chrono::milliseconds(60);
constexpr Duration kDecodeTime = std::chrono::milliseconds(1000);
constexpr int kSlots = 16;
// Time to the first event with a short queue, and the latest useful one.
constexpr Duration kUsualFirstEvent = std::chrono::milliseconds(120);
constexpr Duration kObjective = std::chrono::milliseconds(600);
constexpr Duration kFirstCoolDown = std::chrono::milliseconds(400);
constexpr Duration kMaxCoolDown = std::chrono::seconds(4);
constexpr int kMaxCoolDownDoublings = 5;
constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr double kSlowRatio = 2.0;
constexpr Duration kRampTime = std::chrono::seconds(2);
constexpr int kMaxLimit = 64;

struct Request {
  std::size_t daemon = 0;
  TimePoint sent_at{};
  /// Work left in the current phase, prefill or decode.
  double work_us = 0.0;
};

struct Engine {
  EngineCondition condition;
  int prompts_since_start = 0;
  bool has_replied = true;
  int sent_before_reply = 0;
  TimePoint started_at{};
  std::deque<Request> waiting;
  std::vector<Request> decoding;

  int InProgress() const { return static_cast<int>(waiting.size() + decoding.size()); }
};

/// What a daemon knows of an engine.
struct View {
  RampPolicy ramp;
  int own = 0;
  int peers = 0;
  int failures = 0;
  TimePoint cool_down_until{};
};

double Microseconds(Duration duration) { return static_cast<double>(duration.count()); }

bool HasReturnedRecently(const RampPolicy& policy, TimePoint now) {
  const EndpointRamp* ramp = std::get_if<EndpointRamp>(&policy);
  return ramp != nullptr && ramp->HasReturnedRecently(now);
}

class Simulation {
 public:
  explicit Simulation(const RampFleetOptions& options)
      : m_options(options),
        m_arrivals(options.seed),
        m_random(options.seed),
        m_engines(static_cast<std::size_t>(options.engines)),
        m_views(static_cast<std::size_t>(options.daemons)) {
    const View view{options.policy, 0, 0, 0, TimePoint{}};
    for (std::vector<View>& views : m_views) views.assign(m_engines.size(), view);
    for (Engine& engine : m_engines) engine.prompts_since_start = options.cold_prompts;
  }

  RampFleetResult Run() {
    for (m_now = kStart; m_now < kStart + m_options.length; m_now += kTick) {
      ApplyConditions();
      if ((m_now - kStart) % kHeartbeatInterval == Duration::zero()) ExchangeLoad();
      for (std::size_t engine = 0; engine < m_engines.size(); ++engine) Advance(engine);
      SendArrivals();
    }
    return m_result;
  }

 private:
  void ApplyConditions() {
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
      Engine& engine = m_engines[i];
      const bool was_up = engine.condition.is_up;
      engine.condition = m_options.condition(static_cast<int>(i), m_now - kStart);
      if (was_up && !engine.condition.is_up) FailAll(i);
      if (!was_up && engine.condition.is_up) Return(i);
    }
  }

  void Return(std::size_t index) {
    Engine& engine = m_engines[index];
    engine.has_replied = false;
    engine.sent_before_reply = 0;
    engine.started_at = m_now;
    if (index == 0) m_result.last_limited_after = Duration::zero();
    if (!m_options.restarts) return;
    engine.prompts_since_start = 0;
    for (std::vector<View>& views : m_views) {
      View& view = views[index];
      view.failures = 0;
      view.cool_down_until = TimePoint{};
      std::visit([this](auto& ramp) { ramp.OnStarted(m_now); }, view.ramp);
    }
  }

  void FailAll(std::size_t index) {
    Engine& engine = m_engines[index];
    for (const Request& request : engine.waiting) OnFailed(request.daemon, index);
    // A stream that has begun is resumed elsewhere; its loss still shows that the engine is down.
    for (const Request& request : engine.decoding) OnFailed(request.daemon, index);
    engine.waiting.clear();
    engine.decoding.clear();
  }

  /// A request that was in progress fails because the connection broke.
  void OnFailed(std::size_t daemon, std::size_t index) {
    View& view = m_views[daemon][index];
    --view.own;
    ++m_result.failed;
    std::visit([this](auto& ramp) { ramp.OnFailed(m_now); }, view.ramp);
    if (m_now < view.cool_down_until) return;
    const int doublings = std::min(view.failures++, kMaxCoolDownDoublings);
    view.cool_down_until = m_now + std::min(kMaxCoolDown, kFirstCoolDown * (1 << doublings));
  }

  /// The engine replied with an error, which starts no cool-down because it is reachable.
  void OnErrorReply(std::size_t daemon, std::size_t index) {
    View& view = m_views[daemon][index];
    --view.own;
    ++m_result.failed;
    std::visit([this](auto& ramp) { ramp.OnFailed(m_now); }, view.ramp);
  }

  void OnFirstEvent(const Request& request, std::size_t index) {
    View& view = m_views[request.daemon][index];
    view.failures = 0;
    const Duration elapsed = m_now - request.sent_at;
    const double ratio = Microseconds(elapsed) / Microseconds(kUsualFirstEvent);
    std::visit([&](auto& ramp) { ramp.OnReply(ratio, m_now); }, view.ramp);
    const bool is_on_time = elapsed <= kObjective;
    ++(is_on_time ? m_result.on_time : m_result.late);
    if (index == 0 && is_on_time) ++m_result.first_engine_on_time;
    m_engines[index].has_replied = true;
  }

  void ExchangeLoad() {
    for (std::vector<View>& views : m_views) {
      for (std::size_t i = 0; i < m_engines.size(); ++i) {
        views[i].peers = m_engines[i].InProgress() - views[i].own;
      }
    }
  }

  double PrefillWork(Engine& engine) const {
    const bool is_cold = engine.prompts_since_start++ < m_options.cold_prompts;
    return Microseconds(kPrefillTime) * (is_cold ? m_options.cold_factor : 1.0);
  }

  void Advance(std::size_t index) {
    Engine& engine = m_engines[index];
    if (!engine.condition.is_up) return;
    const double work = Microseconds(kTick) / engine.condition.pace;
    std::erase_if(engine.decoding, [&](Request& request) {
      request.work_us -= work;
      if (request.work_us > 0) return false;
      --m_views[request.daemon][index].own;
      return true;
    });
    if (engine.waiting.empty() || engine.decoding.size() >= kSlots) return;
    Request& first = engine.waiting.front();
    if (first.work_us == 0) first.work_us = PrefillWork(engine);
    first.work_us -= work;
    if (first.work_us > 0) return;
    OnFirstEvent(first, index);
    first.work_us = Microseconds(kDecodeTime);
    engine.decoding.push_back(first);
    engine.waiting.pop_front();
  }

  void SendArrivals() {
    const double mean = m_options.requests_per_second * Microseconds(kTick) / 1e6;
    const int arrivals = std::poisson_distribution<int>(mean)(m_arrivals);
    std::uniform_int_distribution<std::size_t> any_daemon(0, m_views.size() - 1);
    for (int i = 0; i < arrivals; ++i) Send(any_daemon(m_arrivals));
  }

  void Send(std::size_t daemon) {
    ++m_result.requests;
    const std::size_t index = Place(daemon);
    Engine& engine = m_engines[index];
    View& view = m_views[daemon][index];
    ++view.own;
    std::visit([this](auto& ramp) { ramp.OnSent(m_now); }, view.ramp);
    if (!engine.condition.is_up) {
      OnFailed(daemon, index);
    } else if (engine.condition.replies_errors) {
      OnErrorReply(daemon, index);
    } else {
      engine.waiting.push_back({daemon, m_now, 0.0});
      if (!engine.has_replied) ++engine.sent_before_reply;
      if (index == 0) m_result.unproven = std::max(m_result.unproven, engine.sent_before_reply);
    }
  }

  /// Returns the engine with the fewest requests as the daemon knows it.
  std::size_t Place(std::size_t daemon) {
    const std::vector<View>& views = m_views[daemon];
    const std::vector<std::size_t> usable = Usable(views);
    std::size_t best = usable.front();
    double best_score = 0.0;
    bool has_best = false;
    for (const std::size_t index : usable) {
      const double tie = std::uniform_real_distribution<double>(0.0, 0.5)(m_random);
      const double score = views[index].own + views[index].peers + tie;
      if (has_best && score >= best_score) continue;
      best = index;
      best_score = score;
      has_best = true;
    }
    return best;
  }

  /// Returns the engines that may take another request; all if none may.
  std::vector<std::size_t> Usable(const std::vector<View>& views) {
    std::vector<std::size_t> usable;
    int returned = 0;
    for (std::size_t i = 0; i < views.size(); ++i) {
      if (m_now < views[i].cool_down_until) continue;
      usable.push_back(i);
      if (HasReturnedRecently(views[i].ramp, m_now)) ++returned;
    }
    if (usable.empty()) {
      for (std::size_t i = 0; i < views.size(); ++i) usable.push_back(i);
      return usable;
    }
    const RampConditions conditions =
        Conditions(static_cast<double>(returned) / static_cast<double>(usable.size()));
    std::vector<std::size_t> admitted;
    for (const std::size_t index : usable) {
      if (MayTake(views[index], conditions)) {
        admitted.push_back(index);
      } else if (index == 0) {
        m_result.last_limited_after = m_now - m_engines[0].started_at;
      }
    }
    return admitted.empty() ? usable : admitted;
  }

  RampConditions Conditions(double returned_share) const {
    return {kSlots, m_views.size(), true, returned_share};
  }

  bool MayTake(const View& view, const RampConditions& conditions) const {
    return std::visit([&](const auto& ramp) { return ramp.MayTake(view.own, conditions, m_now); },
                      view.ramp);
  }

  const RampFleetOptions& m_options;
  /// Separate, so that all policies get the same arrivals.
  Random m_arrivals;
  Random m_random;
  std::vector<Engine> m_engines;
  std::vector<std::vector<View>> m_views;
  TimePoint m_now{};
  RampFleetResult m_result;
};

}  // namespace

bool FixedRamp::MayTake(int in_progress, const RampConditions& conditions, TimePoint now) const {
  const double progress = Microseconds(now - m_started_at) / Microseconds(kRampTime);
  if (progress >= 1.0) return true;
  const double share =
      static_cast<double>(conditions.slots) / static_cast<double>(conditions.near_daemons);
  return in_progress < 1 + progress * 2 * share;
}

void DoublingRamp::OnStarted(TimePoint now) {
  m_limit = 1;
  m_good_since = now;
}

void DoublingRamp::OnReply(double ratio, TimePoint now) {
  if (ratio < kSlowRatio) {
    m_limit = std::min(kMaxLimit, m_limit * 2);
    return;
  }
  if (now - m_good_since >= kRampTime) return;
  m_limit = std::max(1, m_limit / 2);
  m_good_since = now;
}

bool DoublingRamp::MayTake(int in_progress, const RampConditions& /*conditions*/,
                           TimePoint now) const {
  return in_progress < m_limit || now - m_good_since >= kRampTime;
}

void GradientRamp::OnReply(double ratio, TimePoint /*now*/) {
  const double gradient = std::clamp(1.0 / ratio, 0.5, 1.0);
  m_limit = std::clamp(m_limit * gradient + std::sqrt(m_limit), 1.0, double{kMaxLimit});
}

bool GradientRamp::MayTake(int in_progress, const RampConditions& /*conditions*/,
                           TimePoint /*now*/) const {
  return in_progress < static_cast<int>(m_limit);
}

RampFleetResult RunRampFleet(const RampFleetOptions& options) { return Simulation(options).Run(); }

}  // namespace fulmarpoint
