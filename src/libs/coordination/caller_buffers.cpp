#include "coordination/caller_buffers.h"

#include <algorithm>

namespace fulmarpoint {

void CallerBuffers::Handle(const CallerBuffersEvent& event, TimePoint now, Actions& actions) {
  std::visit([&](const auto& typed) { On(typed, now, actions); }, event);
}

bool CallerBuffers::MayOpen(const OrganisationId& organisation) const {
  return !Above(m_held, m_settings.daemon_budget, m_settings.pressure_percent) &&
         !Above(HeldBytes(organisation), m_settings.organisation_budget,
                m_settings.pressure_percent);
}

std::size_t CallerBuffers::HeldBytes(const OrganisationId& organisation) const {
  const auto found = m_organisations.find(organisation);
  return found == m_organisations.end() ? 0 : found->second.held;
}

void CallerBuffers::On(const StreamOpened& event, TimePoint, Actions&) {
  Stream stream;
  stream.organisation = event.organisation;
  stream.can_regenerate = event.can_regenerate;
  const bool inserted = m_streams.emplace(event.stream, std::move(stream)).second;
  if (inserted) ++m_organisations[event.organisation].streams;
}

void CallerBuffers::On(const StreamAppended& event, TimePoint now, Actions& actions) {
  const auto found = m_streams.find(event.stream);
  if (found == m_streams.end()) return;
  Stream& stream = found->second;
  // Bytes that were under way when the stream was released are made again after it is resumed.
  if (stream.state == State::kReleased) return;
  SetHeld(event.stream, stream, stream.held + event.bytes);
  if (stream.state == State::kReading && stream.held >= m_settings.stream_high_water) {
    Pause(event.stream, stream, now, actions);
  }
  Relieve(stream.organisation, actions);
}

void CallerBuffers::On(const StreamDrained& event, TimePoint, Actions& actions) {
  const auto found = m_streams.find(event.stream);
  if (found == m_streams.end()) return;
  Stream& stream = found->second;
  SetHeld(event.stream, stream, stream.held - std::min(stream.held, event.bytes));
  if (stream.state == State::kPaused && stream.held <= m_settings.stream_low_water) {
    m_paused.erase(event.stream);
    stream.state = State::kReading;
    actions.emplace_back(ContinueReading{event.stream});
  }
  if (stream.state == State::kReleased && stream.held == 0) {
    stream.state = State::kReading;
    actions.emplace_back(ResumeStream{event.stream});
  }
}

void CallerBuffers::On(const StreamEnded& event, TimePoint, Actions&) {
  const auto found = m_streams.find(event.stream);
  if (found == m_streams.end() || found->second.state == State::kReleased) return;
  m_paused.erase(event.stream);
  found->second.state = State::kEnded;
}

void CallerBuffers::On(const StreamClosed& event, TimePoint, Actions&) {
  const auto found = m_streams.find(event.stream);
  if (found == m_streams.end()) return;
  SetHeld(event.stream, found->second, 0);
  m_paused.erase(event.stream);
  const auto organisation = m_organisations.find(found->second.organisation);
  if (--organisation->second.streams == 0) m_organisations.erase(organisation);
  m_streams.erase(found);
}

void CallerBuffers::On(const BufferTimerFired&, TimePoint now, Actions& actions) {
  const std::set<std::uint64_t> paused = m_paused;
  for (std::uint64_t id : paused) {
    Stream& stream = m_streams.at(id);
    const bool due = now - stream.paused_at >= m_settings.release_after;
    if (due && stream.can_regenerate) Release(id, stream, false, actions);
  }
}

void CallerBuffers::SetHeld(std::uint64_t id, Stream& stream, std::size_t held) {
  Organisation& organisation = m_organisations[stream.organisation];
  if (stream.can_regenerate) organisation.droppable.erase({stream.held, id});
  m_held = m_held - stream.held + held;
  organisation.held = organisation.held - stream.held + held;
  stream.held = held;
  if (stream.can_regenerate && held > 0) organisation.droppable.insert({held, id});
}

void CallerBuffers::Pause(std::uint64_t id, Stream& stream, TimePoint now, Actions& actions) {
  if (stream.known_slow && stream.can_regenerate) {
    Release(id, stream, false, actions);
    return;
  }
  stream.state = State::kPaused;
  stream.paused_at = now;
  m_paused.insert(id);
  actions.emplace_back(PauseReading{id});
}

void CallerBuffers::Release(std::uint64_t id, Stream& stream, bool drop, Actions& actions) {
  m_paused.erase(id);
  if (stream.state == State::kReleased) {
    actions.emplace_back(DropBuffer{id});
  } else {
    actions.emplace_back(ReleaseStream{id, drop});
  }
  stream.state = State::kReleased;
  stream.known_slow = true;
  if (drop) SetHeld(id, stream, 0);
}

void CallerBuffers::Relieve(const OrganisationId& id, Actions& actions) {
  const Organisation& organisation = m_organisations[id];
  if (Above(organisation.held, m_settings.organisation_budget, m_settings.pressure_percent)) {
    while (Above(organisation.held, m_settings.organisation_budget, m_settings.relief_percent)) {
      const std::optional<std::uint64_t> largest = LargestOf(organisation);
      if (!largest) break;
      Release(*largest, m_streams.at(*largest), true, actions);
    }
  }
  if (!Above(m_held, m_settings.daemon_budget, m_settings.pressure_percent)) return;
  while (Above(m_held, m_settings.daemon_budget, m_settings.relief_percent)) {
    const std::optional<std::uint64_t> largest = Largest();
    if (!largest) break;
    Release(*largest, m_streams.at(*largest), true, actions);
  }
}

std::optional<std::uint64_t> CallerBuffers::LargestOf(const Organisation& organisation) const {
  if (organisation.droppable.empty()) return std::nullopt;
  return organisation.droppable.rbegin()->second;
}

std::optional<std::uint64_t> CallerBuffers::Largest() const {
  // The organisation that holds most gives way first.
  const Organisation* most = nullptr;
  for (const auto& [id, organisation] : m_organisations) {
    if (organisation.droppable.empty()) continue;
    if (most == nullptr || organisation.held > most->held) most = &organisation;
  }
  return most == nullptr ? std::nullopt : LargestOf(*most);
}

}  // namespace fulmarpoint
