#include "coordination/crash_suspects.h"

#include <algorithm>
#include <utility>

namespace fulmarpoint {

namespace {

// A confirmation may arrive this long after the connection broke: the time of a restart.
constexpr Duration kLostRunLifetime = std::chrono::minutes(2);
// An endpoint's crash is seen at the next poll of its load, a moment after the caller came back.
constexpr Duration kClaimLifetime = std::chrono::seconds(5);
constexpr std::size_t kMaxClaims = 256;
// Encoded sizes; a message has four counts of two bytes and a byte order mark.
constexpr std::size_t kMaxNoticeBytes = kMaxSuspectGossipBytes - 9;
constexpr std::size_t kUpdateBytes = 13;
constexpr std::size_t kPlacementBytes = 17;
// A third of the lifetime of a placement at the peers: two repetitions may be lost.
constexpr Duration kRepeatPlacementAfter = std::chrono::seconds(30);
// Crashes kept per fingerprint; more add nothing to a decision made at two or three.
constexpr std::size_t kMaxCrashesPerEntry = 4;
constexpr std::size_t kMaxClearedPerEntry = 8;

}  // namespace

void CrashSuspects::Handle(const CrashSuspectsEvent& event, TimePoint now, Actions& actions) {
  std::visit([&](const auto& typed) { On(typed, now, actions); }, event);
}

SuspicionState CrashSuspects::State(Fingerprint fingerprint) const {
  const auto found = m_entries.find(fingerprint);
  if (found == m_entries.end()) return SuspicionState::kFree;
  const Entry& entry = found->second;
  if (entry.blocked) return SuspicionState::kQuarantined;
  const std::vector<CrashId> counted = Counted(fingerprint, entry);
  if (counted.empty()) return SuspicionState::kFree;
  if (counted.size() == 1) return SuspicionState::kIsolated;
  TimePoint newest{};
  for (CrashId crash : counted) newest = std::max(newest, entry.crashes.at(crash));
  // Held until the decision has been made, which is at the first event after the settling time.
  return entry.assessed < newest + m_settings.settle ? SuspicionState::kHeld
                                                     : SuspicionState::kIsolated;
}

bool CrashSuspects::MayRunAt(Fingerprint fingerprint, const EndpointId& endpoint, bool owned,
                             Duration waited, TimePoint now) const {
  const SuspicionState state = State(fingerprint);
  if (state == SuspicionState::kFree) return true;
  if (state != SuspicionState::kIsolated) return false;
  if (!owned && waited < m_settings.wait_for_owned) return false;
  const std::uint64_t hash = StableHash(endpoint);
  for (const auto& [other, placement] : m_peer_placements) {
    if (placement.until <= now) continue;
    if (placement.endpoint == hash || other == fingerprint) return false;
  }
  for (const auto& [id, run] : m_runs) {
    if (run.endpoint != endpoint && run.fingerprint != fingerprint) continue;
    if (State(run.fingerprint) != SuspicionState::kFree) return false;
  }
  return true;
}

void CrashSuspects::On(const AttemptStarted& event, TimePoint now, Actions& actions) {
  Run& run = m_runs[event.run];
  run = Run{event.fingerprint, event.endpoint, event.incarnation, std::nullopt};
  if (State(event.fingerprint) == SuspicionState::kFree) return;
  run.placement_published = now;
  SuspectGossip message;
  message.placements.push_back({event.fingerprint, StableHash(event.endpoint), true});
  Publish(message, actions);
}

void CrashSuspects::On(const AttemptEnded& event, TimePoint now, Actions& actions) {
  const auto found = m_runs.find(event.run);
  if (found == m_runs.end()) return;
  const Run run = found->second;
  m_runs.erase(found);
  SuspectGossip message;
  if (run.placement_published) {
    message.placements.push_back({run.fingerprint, StableHash(run.endpoint), false});
  }
  if (event.end == AttemptEnd::kCompleted) ClearFingerprint(run.fingerprint, now, message);
  if (event.end == AttemptEnd::kLost) {
    const CrashId crash = CrashIdOf(run.endpoint, run.incarnation);
    m_lost[crash].push_back({run.fingerprint, now});
    m_crashes.try_emplace(crash, Crash{false, false, now});
    if (AddCrash(run.fingerprint, crash, now)) {
      message.updates.push_back(UpdateFor(run.fingerprint, m_entries[run.fingerprint]));
    }
  }
  const bool changed = event.end == AttemptEnd::kLost || !message.updates.empty();
  if (changed) Reassess(now, message, actions);
  Publish(message, actions);
}

void CrashSuspects::On(const EndpointProcessLost& event, TimePoint now, Actions& actions) {
  const CrashId crash = CrashIdOf(event.endpoint, event.incarnation);
  Crash& record = m_crashes.try_emplace(crash, Crash{false, false, now}).first->second;
  if (record.confirmed) return;
  record.confirmed = true;
  record.refuted = false;
  m_latest_crashes[event.endpoint] = {crash, now};
  SuspectGossip message;
  message.confirmed.push_back(crash);
  std::set<Fingerprint> present;
  for (const Claim& claim : m_claims) {
    const bool recent = now - claim.at < kClaimLifetime;
    if (recent && claim.endpoint == event.endpoint) present.insert(claim.fingerprint);
  }
  for (const LostAttempt& lost : m_lost[crash]) present.insert(lost.fingerprint);
  for (const auto& [id, run] : m_runs) {
    if (run.endpoint == event.endpoint && run.incarnation == event.incarnation) {
      present.insert(run.fingerprint);
    }
  }
  for (Fingerprint fingerprint : present) {
    AddCrash(fingerprint, crash, now);
    message.updates.push_back(UpdateFor(fingerprint, m_entries[fingerprint]));
  }
  Reassess(now, message, actions);
  Publish(message, actions);
}

void CrashSuspects::On(const PriorAttemptReported& event, TimePoint now, Actions& actions) {
  CrashId crash = CrashIdOf(event.endpoint, event.incarnation);
  if (event.incarnation == 0) {
    const auto latest = m_latest_crashes.find(event.endpoint);
    if (latest == m_latest_crashes.end() || now - latest->second.at >= kLostRunLifetime) {
      if (m_claims.size() < kMaxClaims) {
        m_claims.push_back({event.fingerprint, event.endpoint, now});
      }
      return;
    }
    crash = latest->second.crash;
  }
  // Isolates at once. Whether it was a crash shows at this daemon's next report of the endpoint.
  const Crash& record = m_crashes.try_emplace(crash, Crash{false, false, now}).first->second;
  if (record.refuted) return;
  if (!AddCrash(event.fingerprint, crash, now)) return;
  SuspectGossip message;
  message.updates.push_back(UpdateFor(event.fingerprint, m_entries[event.fingerprint]));
  Reassess(now, message, actions);
  Publish(message, actions);
}

void CrashSuspects::On(const EndpointProcessAlive& event, TimePoint now, Actions& actions) {
  const CrashId crash = CrashIdOf(event.endpoint, event.incarnation);
  const auto found = m_crashes.find(crash);
  if (found == m_crashes.end() || found->second.confirmed || found->second.refuted) return;
  found->second.refuted = true;
  m_lost.erase(crash);
  SuspectGossip message;
  message.refuted.push_back(crash);
  Reassess(now, message, actions);
  Publish(message, actions);
}

void CrashSuspects::On(const SuspectGossipReceived& event, TimePoint now, Actions& actions) {
  for (CrashId crash : event.message.confirmed) {
    Crash& record = m_crashes.try_emplace(crash, Crash{false, false, now}).first->second;
    record.confirmed = true;
    record.refuted = false;
  }
  for (CrashId crash : event.message.refuted) {
    Crash& record = m_crashes.try_emplace(crash, Crash{false, false, now}).first->second;
    record.refuted = !record.confirmed;
  }
  for (const SuspectUpdate& update : event.message.updates) Merge(update, now);
  for (const SuspectPlacement& placement : event.message.placements) {
    if (placement.running) {
      m_peer_placements[placement.fingerprint] = {placement.endpoint,
                                                  now + m_settings.placement_lifetime};
    } else {
      m_peer_placements.erase(placement.fingerprint);
    }
  }
  // The sender's message reaches everyone, so only a decision made here is published.
  SuspectGossip message;
  Reassess(now, message, actions);
  Publish(message, actions);
}

void CrashSuspects::On(const SuspectPeerReturned&, TimePoint, Actions& actions) {
  SuspectGossip message;
  for (const auto& [crash, record] : m_crashes) {
    if (record.confirmed) message.confirmed.push_back(crash);
  }
  for (const auto& [fingerprint, entry] : m_entries) {
    message.updates.push_back(UpdateFor(fingerprint, entry));
  }
  for (const auto& [id, run] : m_runs) {
    if (State(run.fingerprint) == SuspicionState::kFree) continue;
    message.placements.push_back({run.fingerprint, StableHash(run.endpoint), true});
  }
  Publish(message, actions);
}

void CrashSuspects::On(const SuspectTimerFired&, TimePoint now, Actions& actions) {
  SuspectGossip message;
  Reassess(now, message, actions);
  for (auto& [id, run] : m_runs) {
    if (!run.placement_published || now - *run.placement_published < kRepeatPlacementAfter)
      continue;
    run.placement_published = now;
    message.placements.push_back({run.fingerprint, StableHash(run.endpoint), true});
  }
  Publish(message, actions);
  Forget(now);
}

bool CrashSuspects::AddCrash(Fingerprint fingerprint, CrashId crash, TimePoint now) {
  Entry& entry = m_entries[fingerprint];
  if (entry.cleared.count(crash) > 0) return false;
  if (entry.crashes.size() >= kMaxCrashesPerEntry) return false;
  entry.changed = now;
  return entry.crashes.emplace(crash, now).second;
}

void CrashSuspects::ClearFingerprint(Fingerprint fingerprint, TimePoint now,
                                     SuspectGossip& message) {
  const auto found = m_entries.find(fingerprint);
  if (found == m_entries.end()) return;
  Entry& entry = found->second;
  if (entry.crashes.empty()) return;
  for (const auto& [crash, seen] : entry.crashes) {
    if (entry.cleared.size() < kMaxClearedPerEntry) entry.cleared.insert(crash);
  }
  entry.crashes.clear();
  entry.blocked = false;
  entry.changed = now;
  message.updates.push_back(UpdateFor(fingerprint, entry));
}

bool CrashSuspects::Merge(const SuspectUpdate& update, TimePoint now) {
  Entry& entry = m_entries[update.fingerprint];
  bool changed = false;
  for (CrashId crash : update.cleared) {
    if (entry.cleared.size() >= kMaxClearedPerEntry) break;
    if (entry.cleared.insert(crash).second) changed = true;
    entry.crashes.erase(crash);
  }
  if (!update.cleared.empty() && entry.crashes.empty()) entry.blocked = false;
  for (CrashId crash : update.crashes) {
    m_crashes.try_emplace(crash, Crash{false, false, now});
    if (AddCrash(update.fingerprint, crash, now)) changed = true;
  }
  if (update.blocked && !entry.blocked && !entry.crashes.empty()) {
    Attribute(update.fingerprint, entry, now);
    changed = true;
  }
  if (changed) entry.changed = now;
  return changed;
}

std::vector<CrashId> CrashSuspects::Counted(Fingerprint fingerprint, const Entry& entry) const {
  std::vector<CrashId> counted;
  for (const auto& [crash, seen] : entry.crashes) {
    const auto record = m_crashes.find(crash);
    if (record != m_crashes.end() && record->second.refuted) continue;
    const auto attributed = m_attributed.find(crash);
    if (attributed != m_attributed.end() && attributed->second != fingerprint) continue;
    counted.push_back(crash);
  }
  return counted;
}

bool CrashSuspects::WasAlone(Fingerprint fingerprint, const std::vector<CrashId>& counted) const {
  for (const auto& [other, entry] : m_entries) {
    if (other == fingerprint) continue;
    const std::vector<CrashId> theirs = Counted(other, entry);
    const auto shared = std::count_if(theirs.begin(), theirs.end(), [&counted](CrashId crash) {
      return std::find(counted.begin(), counted.end(), crash) != counted.end();
    });
    if (shared >= 2) return false;
  }
  return true;
}

std::size_t CrashSuspects::ConfirmedCrashes(const Entry& entry) const {
  const auto confirmed = [this](const auto& item) {
    const auto record = m_crashes.find(item.first);
    return record != m_crashes.end() && record->second.confirmed;
  };
  return static_cast<std::size_t>(
      std::count_if(entry.crashes.begin(), entry.crashes.end(), confirmed));
}

void CrashSuspects::Block(Fingerprint fingerprint, Entry& entry, TimePoint now,
                          SuspectGossip& message) {
  Attribute(fingerprint, entry, now);
  message.updates.push_back(UpdateFor(fingerprint, entry));
}

void CrashSuspects::Attribute(Fingerprint fingerprint, Entry& entry, TimePoint now) {
  entry.blocked = true;
  entry.changed = now;
  for (const auto& [crash, seen] : entry.crashes) m_attributed[crash] = fingerprint;
  // A fingerprint blocked for fewer crashes, all of which this one explains, was blamed before all
  // notices had arrived.
  for (auto& [other, weaker] : m_entries) {
    if (!weaker.blocked || weaker.crashes.size() >= entry.crashes.size()) continue;
    const bool explained =
        std::all_of(weaker.crashes.begin(), weaker.crashes.end(),
                    [&entry](const auto& item) { return entry.crashes.contains(item.first); });
    if (explained) weaker.blocked = false;
  }
}

void CrashSuspects::Reassess(TimePoint now, SuspectGossip& message, Actions& actions) {
  for (auto& [fingerprint, entry] : m_entries) {
    if (entry.blocked || entry.crashes.size() < 2) continue;
    entry.assessed = now;
    // A third crash weighs more than an earlier decision against another fingerprint.
    const std::size_t confirmed = ConfirmedCrashes(entry);
    if (confirmed >= 3) {
      Block(fingerprint, entry, now, message);
      continue;
    }
    std::vector<CrashId> counted = Counted(fingerprint, entry);
    std::erase_if(counted, [this](CrashId crash) { return !m_crashes[crash].confirmed; });
    if (counted.size() < 2 || State(fingerprint) == SuspicionState::kHeld) continue;
    // Two fingerprints that were present at the same two crashes are told apart by a third run.
    if (WasAlone(fingerprint, counted)) Block(fingerprint, entry, now, message);
  }
  for (auto& [fingerprint, entry] : m_entries) {
    const SuspicionState state = State(fingerprint);
    if (state == entry.announced) continue;
    entry.announced = state;
    actions.emplace_back(SuspicionChanged{fingerprint, state});
  }
}

void CrashSuspects::Forget(TimePoint now) {
  std::erase_if(m_entries, [&](const auto& item) {
    const Entry& entry = item.second;
    const Duration lifetime =
        entry.blocked ? m_settings.forget_blocked_after : m_settings.forget_suspect_after;
    return now - entry.changed >= lifetime;
  });
  while (m_entries.size() > m_settings.max_entries) {
    auto oldest = m_entries.begin();
    for (auto entry = m_entries.begin(); entry != m_entries.end(); ++entry) {
      const bool older = entry->second.changed < oldest->second.changed;
      const bool weaker = !entry->second.blocked && oldest->second.blocked;
      if (weaker || (older && entry->second.blocked == oldest->second.blocked)) oldest = entry;
    }
    m_entries.erase(oldest);
  }
  std::erase_if(m_lost, [&](const auto& item) {
    return item.second.empty() || now - item.second.back().at >= kLostRunLifetime;
  });
  std::erase_if(m_crashes, [&](const auto& item) {
    return now - item.second.seen >= m_settings.forget_blocked_after;
  });
  std::erase_if(m_attributed, [&](const auto& item) { return !m_entries.contains(item.second); });
  std::erase_if(m_latest_crashes,
                [&](const auto& item) { return now - item.second.at >= kLostRunLifetime; });
  std::erase_if(m_claims, [&](const Claim& claim) { return now - claim.at >= kClaimLifetime; });
  std::erase_if(m_peer_placements, [&](const auto& item) { return item.second.until <= now; });
}

SuspectUpdate CrashSuspects::UpdateFor(Fingerprint fingerprint, const Entry& entry) const {
  SuspectUpdate update{fingerprint, entry.blocked, {}, {}};
  for (const auto& [crash, seen] : entry.crashes) update.crashes.push_back(crash);
  update.cleared.assign(entry.cleared.begin(), entry.cleared.end());
  return update;
}

void CrashSuspects::Publish(const SuspectGossip& message, Actions& actions) const {
  SuspectGossip part;
  std::size_t bytes = 0;
  const auto add = [&](const auto& item, std::size_t size, auto& to) {
    if (bytes + size > kMaxNoticeBytes) {
      actions.emplace_back(PublishSuspectGossip{std::exchange(part, {})});
      bytes = 0;
    }
    to.push_back(item);
    bytes += size;
  };
  for (CrashId crash : message.confirmed) add(crash, sizeof crash, part.confirmed);
  for (CrashId crash : message.refuted) add(crash, sizeof crash, part.refuted);
  for (const SuspectUpdate& update : message.updates) {
    const std::size_t ids = update.crashes.size() + update.cleared.size();
    add(update, kUpdateBytes + ids * sizeof(CrashId), part.updates);
  }
  for (const SuspectPlacement& placement : message.placements) {
    add(placement, kPlacementBytes, part.placements);
  }
  if (bytes > 0) actions.emplace_back(PublishSuspectGossip{std::move(part)});
}

}  // namespace fulmarpoint
