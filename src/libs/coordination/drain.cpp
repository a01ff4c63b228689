#include "coordination/drain.h"

namespace fulmarpoint {

void Drain::Handle(const Event& event, TimePoint now, std::vector<Action>& actions) {
  std::visit([&](const auto& value) { On(value, now, actions); }, event);
}

void Drain::On(const StopRequested&, TimePoint now, std::vector<Action>& actions) {
  if (m_phase != DrainPhase::kServing) return;
  m_phase = DrainPhase::kLeaving;
  m_next = now + m_options.lookup_lifetime + m_options.margin;
  actions.push_back(LeaveLookups{});
  actions.push_back(SetTimer{m_next});
}

void Drain::On(const TimerFired&, TimePoint now, std::vector<Action>& actions) {
  if (now < m_next) return;
  if (m_phase == DrainPhase::kLeaving) {
    m_phase = DrainPhase::kFinishing;
    m_next = now + m_options.limit;
    actions.push_back(RejectNewWork{});
    actions.push_back(SetTimer{m_next});
    ExitIfIdle(actions);
  } else if (m_phase == DrainPhase::kFinishing) {
    m_phase = DrainPhase::kHandingOff;
    actions.push_back(HandOffStreams{});
  }
}

void Drain::On(const RequestsLeft& event, TimePoint, std::vector<Action>& actions) {
  m_requests = event.count;
  ExitIfIdle(actions);
}

void Drain::ExitIfIdle(std::vector<Action>& actions) {
  if (m_requests > 0) return;
  if (m_phase != DrainPhase::kFinishing && m_phase != DrainPhase::kHandingOff) return;
  m_phase = DrainPhase::kDone;
  actions.push_back(Exit{});
}

}  // namespace fulmarpoint
