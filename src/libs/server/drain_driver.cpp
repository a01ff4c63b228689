#include "server/drain_driver.h"

#include <atomic>
#include <string>
#include <utility>
#include <vector>

#include "server/running_requests.h"
#include "utils/logging.h"
#include "utils/overloaded.h"

namespace fulmarpoint {

namespace {

// Requests end without telling this driver; it looks at their number this often.
constexpr Duration kCheckInterval = std::chrono::milliseconds(50);

DrainOptions ToOptions(const Settings& settings) {
  DrainOptions options;
  options.lookup_lifetime = std::chrono::seconds(settings.keep_seconds);
  options.margin = settings.drain.margin;
  options.limit = settings.drain.limit;
  return options;
}

}  // namespace

struct DrainDriver::State : std::enable_shared_from_this<DrainDriver::State> {
  State(Services& shared, DrainHooks own_hooks)
      : services(shared),
        hooks(std::move(own_hooks)),
        strand(MakeStrand(shared.executor)),
        drain(ToOptions(shared.settings)) {}

  Task<void> Run();
  void Handle(const Drain::Event& event);
  void Execute(const Drain::Action& action);

  Services& services;
  const DrainHooks hooks;
  const Executor strand;
  Drain drain;
  std::atomic<bool> requested{false};
  std::atomic<DrainPhase> phase{DrainPhase::kServing};
};

Task<void> DrainDriver::State::Run() {
  const std::shared_ptr<State> self = shared_from_this();
  Handle(Drain::StopRequested{});
  while (drain.Phase() != DrainPhase::kDone) {
    co_await Sleep(kCheckInterval);
    Handle(Drain::TimerFired{});
    Handle(Drain::RequestsLeft{services.running.Count()});
  }
}

void DrainDriver::State::Handle(const Drain::Event& event) {
  std::vector<Drain::Action> actions;
  const DrainPhase before = drain.Phase();
  drain.Handle(event, SteadyNow(), actions);
  phase = drain.Phase();
  if (before != drain.Phase()) {
    Log(LogLevel::kInfo, "drain",
        {{"phase", NameOf(kDrainPhaseNames, drain.Phase())},
         {"requests", services.running.Count()}});
  }
  for (const Drain::Action& action : actions) Execute(action);
}

void DrainDriver::State::Execute(const Drain::Action& action) {
  std::visit(Overloaded{
                 [&](const Drain::LeaveLookups&) { hooks.leave_lookups(); },
                 [&](const Drain::RejectNewWork&) { hooks.refuse_new_work(); },
                 [&](const Drain::HandOffStreams&) { services.running.HandOffAll(); },
                 [&](const Drain::Exit&) { hooks.exit(); },
                 // The loop in `Run` checks the time often enough.
                 [&](const Drain::SetTimer&) {},
             },
             action);
}

DrainDriver::DrainDriver(Services& services, DrainHooks hooks)
    : m_state(std::make_shared<State>(services, std::move(hooks))) {}

DrainDriver::~DrainDriver() = default;

void DrainDriver::RequestStop() {
  if (m_state->requested.exchange(true)) return;
  Spawn(m_state->strand, [state = m_state]() { return state->Run(); });
}

DrainPhase DrainDriver::Phase() const { return m_state->phase; }

}  // namespace fulmarpoint
