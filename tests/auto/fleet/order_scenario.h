#pragma once

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "coordination/order_controller.h"
#include "simulation/simulated_table_service.h"
#include "utils/overloaded.h"

namespace fulmarpoint {

/// `kLease` is the first write of the lease, `kRenew` the first renewal.
enum class OrderStep { kLease, kRenew, kSend, kAcknowledge };

inline constexpr std::array<EnumName<OrderStep>, 4> kOrderStepNames = {{
    {OrderStep::kLease, "lease"},
    {OrderStep::kRenew, "renew"},
    {OrderStep::kSend, "send"},
    {OrderStep::kAcknowledge, "acknowledge"},
}};

enum class OrderFault {
  kStoreDown,
  kStoreSlow,
  kAnswerLost,
  kHolderCrashes,
  kHolderPauses,
  kHolderPausesBriefly,
  kHolderReplaced,
  kHolderCutFromStore,
  kHolderCutFromEngines,
  kOrdersSlow,
  kOrderAnswersLost,
  kEngineRestarts,
  kLoadsFail,
};

inline constexpr std::array<EnumName<OrderFault>, 13> kOrderFaultNames = {{
    {OrderFault::kStoreDown, "store_down"},
    {OrderFault::kStoreSlow, "store_slow"},
    {OrderFault::kAnswerLost, "answer_lost"},
    {OrderFault::kHolderCrashes, "holder_crashes"},
    {OrderFault::kHolderPauses, "holder_pauses"},
    {OrderFault::kHolderPausesBriefly, "holder_pauses_briefly"},
    {OrderFault::kHolderReplaced, "holder_replaced"},
    {OrderFault::kHolderCutFromStore, "holder_cut_from_store"},
    {OrderFault::kHolderCutFromEngines, "holder_cut_from_engines"},
    {OrderFault::kOrdersSlow, "orders_slow"},
    {OrderFault::kOrderAnswersLost, "order_answers_lost"},
    {OrderFault::kEngineRestarts, "engine_restarts"},
    {OrderFault::kLoadsFail, "loads_fail"},
}};

struct OrderInjection {
  OrderFault fault;
  OrderStep step;
};

/// Simulates three daemons that compete for one lease with clocks of different rates, and 20
/// engines of which 12 must load a model. Checks that the lease never has two holders, that no
/// engine receives an order of a predecessor after one of its successor, that an engine has one
/// order at a time, and that 12 engines load the model.
class OrderScenario {
 public:
  static constexpr int kDaemons = 3;
  static constexpr int kEngines = 20;
  static constexpr std::size_t kWanted = 12;
  static constexpr Duration kFaultDuration = std::chrono::seconds(40);

  OrderScenario(std::vector<OrderInjection> injections, std::uint64_t seed,
                FencingSupport fencing = FencingSupport::kIgnored, Lease::Options lease = {},
                OrderController::Options controller = {})
      : m_injections(std::move(injections)),
        m_random(seed),
        m_fencing(fencing),
        m_lease_options(lease),
        m_controller_options(controller) {}

  std::vector<std::string> Run() {
    m_engines.resize(kEngines);
    for (int i = 0; i < kDaemons; ++i) {
      m_daemons.emplace_back();
      // Rates differ by up to 8%, less than the drift margin allows.
      m_daemons.back().rate = 0.96 + 0.04 * i;
      StartProcess(i);
    }
    for (int i = 0; i < kEngines; ++i) Report(i);
    RunFor(std::chrono::minutes(10));
    std::size_t loaded = 0;
    for (const Engine& engine : m_engines) loaded += engine.loaded.contains(kModel) ? 1 : 0;
    if (loaded < kWanted) Fail("only " + std::to_string(loaded) + " engines have the model");
    return m_failures;
  }

  std::size_t OrdersReceived() const { return m_orders_received; }

 private:
  static inline const ModelVersion kModel{"draft", "v2"};
  static inline const ModelVersion kOldModel{"draft", "v1"};

  struct Daemon {
    std::unique_ptr<Lease> lease;
    std::unique_ptr<OrderController> controller;
    double rate = 1.0;
    bool running = true;
    bool paused = false;
    int process = 0;
    std::deque<std::function<void()>> deferred;
  };
  struct Engine {
    std::uint64_t incarnation = 1;
    std::set<ModelVersion> loaded = {kOldModel};
    std::uint64_t highest_token = 0;
    int loading = 0;
  };
  struct Scheduled {
    TimePoint at;
    std::uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const Scheduled& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  void Fail(std::string text) {
    const auto seconds = std::chrono::duration<double>(m_now.time_since_epoch()).count();
    if (m_failures.size() < 20) m_failures.push_back(std::to_string(seconds) + " s: " + text);
  }

  Daemon& At(int index) { return m_daemons[static_cast<std::size_t>(index)]; }
  /// The daemon's own clock, which runs at its own rate.
  TimePoint ClockOf(int index) {
    const double elapsed = static_cast<double>(m_now.time_since_epoch().count());
    return TimePoint(Duration(static_cast<Duration::rep>(elapsed * At(index).rate)) +
                     std::chrono::hours(index + 1));
  }

  void Schedule(Duration delay, std::function<void()> run) {
    m_queue.push({m_now + std::max(delay, Duration(0)), m_order++, std::move(run)});
  }
  void RunFor(Duration duration) {
    const TimePoint end = m_now + duration;
    while (!m_queue.empty() && m_queue.top().at <= end) {
      const Scheduled next = m_queue.top();
      m_queue.pop();
      m_now = next.at;
      next.run();
      CheckHolders();
    }
    m_now = end;
  }
  /// Runs `run` in the daemon's current process, after its pause if it is paused.
  void RunIn(int index, Duration delay, std::function<void()> run) {
    Schedule(delay, [this, index, process = At(index).process, run = std::move(run)] {
      if (!At(index).running || At(index).process != process) return;
      if (At(index).paused) {
        At(index).deferred.push_back(run);
        return;
      }
      run();
    });
  }

  void StartProcess(int index) {
    Daemon& daemon = At(index);
    ++daemon.process;
    daemon.running = true;
    daemon.paused = false;
    daemon.deferred.clear();
    const InstanceId id{"d" + std::to_string(index), static_cast<std::uint64_t>(daemon.process)};
    daemon.controller.reset();
    daemon.lease = std::make_unique<Lease>("engines", id, m_lease_options, m_random());
    daemon.controller = std::make_unique<OrderController>(*daemon.lease, m_controller_options);
    ModelDemand demand{"assistant", kModel, kWanted, {}, m_fencing};
    ModelDemand old{"assistant", kOldModel, kEngines, {}, m_fencing};
    for (int i = 0; i < kEngines; ++i) demand.allowed.insert("e" + std::to_string(i));
    DeliverToController(index, OrderController::DemandChanged{{demand, old}});
    DeliverToLease(index, Lease::CandidateChanged{true});
    DeliverToLease(index, Lease::Start{});
  }

  void DeliverToLease(int index, const Lease::Event& event) {
    std::vector<Lease::Action> actions;
    At(index).lease->Handle(event, ClockOf(index), actions);
    for (const Lease::Action& action : actions) {
      std::visit([&](const auto& specific) { Perform(index, specific); }, action);
    }
  }
  void DeliverToController(int index, const OrderController::Event& event) {
    std::vector<OrderController::Action> actions;
    At(index).controller->Handle(event, ClockOf(index), actions);
    for (const OrderController::Action& action : actions) {
      std::visit([&](const auto& specific) { Perform(index, specific); }, action);
    }
  }

  Duration UntilClock(int index, TimePoint at) {
    const Duration wait = at - ClockOf(index);
    return Duration(static_cast<Duration::rep>(static_cast<double>(wait.count()) / At(index).rate));
  }
  void Perform(int index, const Lease::SetTimer& timer) {
    RunIn(index, UntilClock(index, timer.at),
          [this, index] { DeliverToLease(index, Lease::TimerFired{}); });
  }
  void Perform(int index, const Lease::ReadRow& read) {
    const bool fails = IsStoreCut(index) || IsActive(OrderFault::kAnswerLost);
    const Duration delay = fails ? std::chrono::seconds(2) : StoreDelay();
    Lease::RowRead answer{read.token, !fails, m_table.Read(kLeaseTable, read.key)};
    RunIn(index, delay, [this, index, answer] { DeliverToLease(index, answer); });
  }
  void Perform(int index, const Lease::WriteRow& write) {
    if (m_reached.empty()) m_holder = index;
    ReachStep(At(index).lease->IsHeld() ? OrderStep::kRenew : OrderStep::kLease);
    if (IsStoreCut(index)) {
      return RunIn(index, std::chrono::seconds(2), [this, index, token = write.token] {
        DeliverToLease(index, Lease::WriteDone{token, TableOutcome::kUnknown});
      });
    }
    Schedule(StoreDelay(), [this, index, write] {
      const std::optional<std::uint64_t> version = m_table.Transact({write.operation});
      Lease::WriteDone done{write.token, TableOutcome::kConflict};
      if (version) done = {write.token, TableOutcome::kDone, *version};
      if (IsActive(OrderFault::kAnswerLost)) done = {write.token, TableOutcome::kUnknown};
      RunIn(index, StoreDelay(), [this, index, done] { DeliverToLease(index, done); });
    });
  }
  void Perform(int index, const Lease::Acquired& acquired) {
    DeliverToController(index, OrderController::LeaseAcquired{acquired.fencing_token});
  }
  void Perform(int index, const Lease::Lost&) {
    DeliverToController(index, OrderController::LeaseLost{});
  }

  void Perform(int index, const OrderController::SetTimer& timer) {
    RunIn(index, UntilClock(index, timer.at),
          [this, index] { DeliverToController(index, OrderController::TimerFired{}); });
  }
  void Perform(int index, const OrderController::SendOrder& order) {
    ReachStep(OrderStep::kSend);
    // A pause may begin between the decision and the send.
    RunIn(index, std::chrono::milliseconds(1), [this, index, order] {
      const bool may_send =
          At(index).lease->MaySend(ClockOf(index)) || m_lease_options.mutate_skip_send_check;
      if (!may_send || IsCutFromEngines(index)) return Answer(index, order, AnswerKind::kUnknown);
      // Less than `successor_wait`, which must exceed the longest time in transit.
      const bool is_slow = IsActive(OrderFault::kOrdersSlow) && index == m_holder;
      const Duration delay =
          is_slow ? Duration(std::chrono::seconds(14)) : Duration(std::chrono::milliseconds(2));
      Schedule(delay, [this, index, order] { Receive(index, order); });
    });
  }

  using AnswerKind = OrderController::Answer;
  void Answer(int index, const OrderController::SendOrder& order, AnswerKind answer) {
    if (IsActive(OrderFault::kOrderAnswersLost)) answer = AnswerKind::kUnknown;
    RunIn(index, std::chrono::milliseconds(2), [this, index, order, answer] {
      DeliverToController(index, OrderController::OrderAnswered{order.order, answer});
    });
  }

  void Receive(int index, const OrderController::SendOrder& order) {
    const int number = std::stoi(order.endpoint.substr(1));
    Engine& engine = m_engines[static_cast<std::size_t>(number)];
    ++m_orders_received;
    if (order.fencing_token < engine.highest_token) {
      if (m_fencing == FencingSupport::kObeyed)
        return Answer(index, order, AnswerKind::kStaleToken);
      Fail(order.endpoint + ": order of a predecessor after one of its successor");
    }
    engine.highest_token = std::max(engine.highest_token, order.fencing_token);
    ReachStep(OrderStep::kAcknowledge);
    if (engine.loading > 0 && m_last_token[number] == order.fencing_token) {
      Fail(order.endpoint + ": two orders of one holder at a time");
    }
    // Orders are idempotent: a duplicate joins the load in progress, and an order for a loaded
    // model changes nothing.
    const bool is_settled = engine.loading > 0 || engine.loaded.contains(order.model);
    if (is_settled) return Answer(index, order, AnswerKind::kAccepted);
    m_last_token[number] = order.fencing_token;
    ++engine.loading;
    CheckChangeLimit();
    Schedule(std::chrono::seconds(8), [this, number, incarnation = engine.incarnation, order] {
      Engine& target = m_engines[static_cast<std::size_t>(number)];
      if (target.incarnation != incarnation) return;
      --target.loading;
      if (!IsActive(OrderFault::kLoadsFail)) target.loaded.insert(order.model);
    });
    Answer(index, order, AnswerKind::kAccepted);
  }

  void Report(int number) {
    Schedule(std::chrono::seconds(1), [this, number] { Report(number); });
    const Engine& engine = m_engines[static_cast<std::size_t>(number)];
    const OrderController::EngineReport report{"e" + std::to_string(number), engine.incarnation,
                                               false, engine.loaded};
    for (int i = 0; i < kDaemons; ++i) {
      if (IsCutFromEngines(i)) continue;
      RunIn(i, std::chrono::milliseconds(2), [this, i, report] { DeliverToController(i, report); });
    }
  }

  void CheckHolders() {
    int holders = 0;
    for (int i = 0; i < kDaemons; ++i) {
      const bool active = At(i).running && !At(i).paused;
      if (active && At(i).lease->MaySend(ClockOf(i))) ++holders;
    }
    if (holders > 1) Fail("two daemons may send");
  }
  /// The limit is 10% of 20 endpoints per holder; a successor's orders may add to those of its
  /// predecessor.
  void CheckChangeLimit() {
    std::map<std::uint64_t, int> changing;
    for (int i = 0; i < kEngines; ++i) {
      if (m_engines[static_cast<std::size_t>(i)].loading > 0) ++changing[m_last_token[i]];
    }
    for (const auto& [token, count] : changing) {
      if (count > 2) Fail("more than a tenth of the endpoints change at once");
    }
  }

  bool IsActive(OrderFault fault) const { return m_active.contains(fault); }
  bool IsStoreCut(int index) const {
    return IsActive(OrderFault::kStoreDown) ||
           (IsActive(OrderFault::kHolderCutFromStore) && index == m_holder);
  }
  bool IsCutFromEngines(int index) const {
    return IsActive(OrderFault::kHolderCutFromEngines) && index == m_holder;
  }
  Duration StoreDelay() const {
    return IsActive(OrderFault::kStoreSlow) ? Duration(std::chrono::milliseconds(1800))
                                            : Duration(std::chrono::milliseconds(2));
  }

  void ReachStep(OrderStep step) {
    if (!m_reached.insert(step).second) return;
    for (const OrderInjection& injection : m_injections) {
      if (injection.step != step) continue;
      Schedule(Duration(0), [this, fault = injection.fault] { Begin(fault); });
    }
  }
  void Begin(OrderFault fault) {
    for (int i = 0; i < kDaemons; ++i) {
      if (At(i).lease->IsHeld()) m_holder = i;
    }
    m_active.insert(fault);
    Duration duration = kFaultDuration;
    if (fault == OrderFault::kHolderCrashes) At(m_holder).running = false;
    if (fault == OrderFault::kHolderReplaced) StartProcess(m_holder);
    if (fault == OrderFault::kHolderPauses) At(m_holder).paused = true;
    if (fault == OrderFault::kHolderPausesBriefly) {
      At(m_holder).paused = true;
      duration = std::chrono::seconds(9);
    }
    if (fault == OrderFault::kEngineRestarts) {
      for (int i = 0; i < 5; ++i) {
        m_engines[static_cast<std::size_t>(i)] = Engine{.incarnation = 2};
      }
    }
    Schedule(duration, [this, fault, holder = m_holder] { End(fault, holder); });
  }
  void End(OrderFault fault, int holder) {
    m_active.erase(fault);
    if (fault == OrderFault::kHolderCrashes && !At(holder).running) StartProcess(holder);
    const bool pause =
        fault == OrderFault::kHolderPauses || fault == OrderFault::kHolderPausesBriefly;
    if (!pause) return;
    At(holder).paused = false;
    CheckHolders();
    const std::deque<std::function<void()>> deferred = std::move(At(holder).deferred);
    At(holder).deferred.clear();
    for (const std::function<void()>& run : deferred) {
      if (At(holder).running) run();
    }
  }

  std::vector<OrderInjection> m_injections;
  Random m_random;
  FencingSupport m_fencing;
  Lease::Options m_lease_options;
  OrderController::Options m_controller_options;
  TimePoint m_now{};
  std::uint64_t m_order = 0;
  std::priority_queue<Scheduled> m_queue;
  SimulatedTableService m_table;
  std::deque<Daemon> m_daemons;
  std::vector<Engine> m_engines;
  std::map<int, std::uint64_t> m_last_token;
  std::set<OrderFault> m_active;
  std::set<OrderStep> m_reached;
  int m_holder = 0;
  std::size_t m_orders_received = 0;
  std::vector<std::string> m_failures;
};

}  // namespace fulmarpoint
