#include "coordination/crash_suspects.h"

#include <algorithm>
#include <utility>

namespace fulmarpoint {

namespace {

// A crash may be confirmed this long after the connection broke: the time of a restart.
constexpr Duration kLostAttemptLifetime = std::chrono::minutes(2);
// The caller may return before this daemon detects the crash at the next poll of the load.
constexpr Duration kUnmatchedReportLifetime = std::chrono::seconds(5);
constexpr std::size_t kMaxUnmatchedReports = 256;
// Encoded sizes. A message also holds four counts of two bytes and a byte order mark.
constexpr std::size_t kMaxMessageItemBytes = kMaxSuspectGossipBytes - 9;
constexpr std::size_t kUpdateBytes = 13;
constexpr std::size_t kPlacementBytes = 17;
// A third of the lifetime of a placement at the peers, so that two messages may be lost.
constexpr Duration kPlacementResendInterval = std::chrono::seconds(30);
// Crashes kept per fingerprint. Decisions are made at two or three, so more are not needed.
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
  if (entry.quarantined) return SuspicionState::kQuarantined;
  const std::vector<CrashId> counted = CountedCrashes(fingerprint, entry);
  if (counted.empty()) return SuspicionState::kFree;
  if (counted.size() == 1) return SuspicionState::kIsolated;
  TimePoint newest{};
  for (CrashId crash : counted) newest = std::max(newest, entry.crashes.at(crash));
  // Held until the decision, which is made at the first event after the settling time.
  return entry.assessed_at < newest + m_settings.settle_time ? SuspicionState::kHeld
                                                             : SuspicionState::kIsolated;
}

bool CrashSuspects::MayRunAt(Fingerprint fingerprint, const EndpointId& endpoint, bool owned,
                             Duration waited, TimePoint now) const {
  const SuspicionState state = State(fingerprint);
  if (state == SuspicionState::kFree) return true;
  if (state != SuspicionState::kIsolated) return false;
  if (!owned && waited < m_settings.owned_endpoint_wait) return false;
  const std::uint64_t hash = StableHash(endpoint);
  for (const auto& [other, placement] : m_peer_placements) {
    if (placement.until <= now) continue;
    if (placement.endpoint == hash || other == fingerprint) return false;
  }
  for (const auto& [id, attempt] : m_attempts) {
    if (attempt.endpoint != endpoint && attempt.fingerprint != fingerprint) continue;
    if (State(attempt.fingerprint) != SuspicionState::kFree) return false;
  }
  return true;
}

void CrashSuspects::On(const AttemptStarted& event, TimePoint now, Actions& actions) {
  Attempt& attempt = m_attempts[event.attempt];
  attempt = Attempt{event.fingerprint, event.endpoint, event.incarnation, std::nullopt};
  if (State(event.fingerprint) == SuspicionState::kFree) return;
  attempt.placement_published = now;
  SuspectGossip message;
  message.placements.push_back({event.fingerprint, StableHash(event.endpoint), true});
  Publish(message, actions);
}

void CrashSuspects::On(const AttemptEnded& event, TimePoint now, Actions& actions) {
  const auto found = m_attempts.find(event.attempt);
  if (found == m_attempts.end()) return;
  const Attempt attempt = found->second;
  m_attempts.erase(found);
  SuspectGossip message;
  if (attempt.placement_published) {
    message.placements.push_back({attempt.fingerprint, StableHash(attempt.endpoint), false});
  }
  if (event.end == AttemptEnd::kCompleted) ClearFingerprint(attempt.fingerprint, now, message);
  if (event.end == AttemptEnd::kLost) {
    const CrashId crash = CrashIdOf(attempt.endpoint, attempt.incarnation);
    m_lost_attempts[crash].push_back({attempt.fingerprint, now});
    m_crashes.try_emplace(crash, Crash{false, false, now});
    if (AddCrash(attempt.fingerprint, crash, now)) {
      message.updates.push_back(UpdateFor(attempt.fingerprint, m_entries[attempt.fingerprint]));
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
  record.ruled_out = false;
  m_latest_crashes[event.endpoint] = {crash, now};
  SuspectGossip message;
  message.confirmed.push_back(crash);
  std::set<Fingerprint> present;
  for (const UnmatchedReport& report : m_unmatched_reports) {
    const bool recent = now - report.at < kUnmatchedReportLifetime;
    if (recent && report.endpoint == event.endpoint) present.insert(report.fingerprint);
  }
  for (const LostAttempt& lost : m_lost_attempts[crash]) present.insert(lost.fingerprint);
  for (const auto& [id, attempt] : m_attempts) {
    if (attempt.endpoint == event.endpoint && attempt.incarnation == event.incarnation) {
      present.insert(attempt.fingerprint);
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
    if (latest == m_latest_crashes.end() || now - latest->second.at >= kLostAttemptLifetime) {
      if (m_unmatched_reports.size() < kMaxUnmatchedReports) {
        m_unmatched_reports.push_back({event.fingerprint, event.endpoint, now});
      }
      return;
    }
    crash = latest->second.crash;
  }
  // Isolates the fingerprint at once. The next load report of the endpoint shows whether it was a
  // crash.
  const Crash& record = m_crashes.try_emplace(crash, Crash{false, false, now}).first->second;
  if (record.ruled_out) return;
  if (!AddCrash(event.fingerprint, crash, now)) return;
  SuspectGossip message;
  message.updates.push_back(UpdateFor(event.fingerprint, m_entries[event.fingerprint]));
  Reassess(now, message, actions);
  Publish(message, actions);
}

void CrashSuspects::On(const EndpointProcessAlive& event, TimePoint now, Actions& actions) {
  const CrashId crash = CrashIdOf(event.endpoint, event.incarnation);
  const auto found = m_crashes.find(crash);
  if (found == m_crashes.end() || found->second.confirmed || found->second.ruled_out) return;
  found->second.ruled_out = true;
  m_lost_attempts.erase(crash);
  SuspectGossip message;
  message.refuted.push_back(crash);
  Reassess(now, message, actions);
  Publish(message, actions);
}

void CrashSuspects::On(const SuspectGossipReceived& event, TimePoint now, Actions& actions) {
  for (CrashId crash : event.message.confirmed) {
    Crash& record = m_crashes.try_emplace(crash, Crash{false, false, now}).first->second;
    record.confirmed = true;
    record.ruled_out = false;
  }
  for (CrashId crash : event.message.refuted) {
    Crash& record = m_crashes.try_emplace(crash, Crash{false, false, now}).first->second;
    record.ruled_out = !record.confirmed;
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
  // All daemons receive the sender's message, so only decisions made here are published.
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
  for (const auto& [id, attempt] : m_attempts) {
    if (State(attempt.fingerprint) == SuspicionState::kFree) continue;
    message.placements.push_back({attempt.fingerprint, StableHash(attempt.endpoint), true});
  }
  Publish(message, actions);
}

void CrashSuspects::On(const SuspectTimerFired&, TimePoint now, Actions& actions) {
  SuspectGossip message;
  Reassess(now, message, actions);
  for (auto& [id, attempt] : m_attempts) {
    if (!attempt.placement_published ||
        now - *attempt.placement_published < kPlacementResendInterval)
      continue;
    attempt.placement_published = now;
    message.placements.push_back({attempt.fingerprint, StableHash(attempt.endpoint), true});
  }
  Publish(message, actions);
  ForgetExpired(now);
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
  entry.quarantined = false;
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
  if (!update.cleared.empty() && entry.crashes.empty()) entry.quarantined = false;
  for (CrashId crash : update.crashes) {
    m_crashes.try_emplace(crash, Crash{false, false, now});
    if (AddCrash(update.fingerprint, crash, now)) changed = true;
  }
  if (update.quarantined && !entry.quarantined && !entry.crashes.empty()) {
    Attribute(update.fingerprint, entry, now);
    changed = true;
  }
  if (changed) entry.changed = now;
  return changed;
}

std::vector<CrashId> CrashSuspects::CountedCrashes(Fingerprint fingerprint,
                                                   const Entry& entry) const {
  std::vector<CrashId> counted;
  for (const auto& [crash, seen] : entry.crashes) {
    const auto record = m_crashes.find(crash);
    if (record != m_crashes.end() && record->second.ruled_out) continue;
    const auto attributed = m_attributed.find(crash);
    if (attributed != m_attributed.end() && attributed->second != fingerprint) continue;
    counted.push_back(crash);
  }
  return counted;
}

bool CrashSuspects::IsOnlyCommonSuspect(Fingerprint fingerprint,
                                        const std::vector<CrashId>& counted) const {
  for (const auto& [other, entry] : m_entries) {
    if (other == fingerprint) continue;
    const std::vector<CrashId> other_crashes = CountedCrashes(other, entry);
    const auto shared =
        std::count_if(other_crashes.begin(), other_crashes.end(), [&counted](CrashId crash) {
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

void CrashSuspects::Quarantine(Fingerprint fingerprint, Entry& entry, TimePoint now,
                               SuspectGossip& message) {
  Attribute(fingerprint, entry, now);
  message.updates.push_back(UpdateFor(fingerprint, entry));
}

void CrashSuspects::Attribute(Fingerprint fingerprint, Entry& entry, TimePoint now) {
  entry.quarantined = true;
  entry.changed = now;
  for (const auto& [crash, seen] : entry.crashes) m_attributed[crash] = fingerprint;
  // A fingerprint quarantined for fewer crashes, all of which this one explains, was quarantined
  // before all messages had arrived.
  for (auto& [other, weaker] : m_entries) {
    if (!weaker.quarantined || weaker.crashes.size() >= entry.crashes.size()) continue;
    const bool explained =
        std::all_of(weaker.crashes.begin(), weaker.crashes.end(),
                    [&entry](const auto& item) { return entry.crashes.contains(item.first); });
    if (explained) weaker.quarantined = false;
  }
}

void CrashSuspects::Reassess(TimePoint now, SuspectGossip& message, Actions& actions) {
  for (auto& [fingerprint, entry] : m_entries) {
    if (entry.quarantined || entry.crashes.size() < 2) continue;
    entry.assessed_at = now;
    // A third crash overrides an earlier decision against another fingerprint.
    const std::size_t confirmed = ConfirmedCrashes(entry);
    if (confirmed >= 3) {
      Quarantine(fingerprint, entry, now, message);
      continue;
    }
    std::vector<CrashId> counted = CountedCrashes(fingerprint, entry);
    std::erase_if(counted, [this](CrashId crash) { return !m_crashes[crash].confirmed; });
    if (counted.size() < 2 || State(fingerprint) == SuspicionState::kHeld) continue;
    // Two fingerprints that were present at the same two crashes need a third attempt to be told
    // apart.
    if (IsOnlyCommonSuspect(fingerprint, counted)) Quarantine(fingerprint, entry, now, message);
  }
  for (auto& [fingerprint, entry] : m_entries) {
    const SuspicionState state = State(fingerprint);
    if (state == entry.reported_state) continue;
    entry.reported_state = state;
    actions.emplace_back(SuspicionChanged{fingerprint, state});
  }
}

void CrashSuspects::ForgetExpired(TimePoint now) {
  std::erase_if(m_entries, [&](const auto& item) {
    const Entry& entry = item.second;
    const Duration lifetime =
        entry.quarantined ? m_settings.forget_quarantined_after : m_settings.forget_suspect_after;
    return now - entry.changed >= lifetime;
  });
  while (m_entries.size() > m_settings.max_entries) {
    auto oldest = m_entries.begin();
    for (auto entry = m_entries.begin(); entry != m_entries.end(); ++entry) {
      const bool older = entry->second.changed < oldest->second.changed;
      const bool weaker = !entry->second.quarantined && oldest->second.quarantined;
      if (weaker || (older && entry->second.quarantined == oldest->second.quarantined))
        oldest = entry;
    }
    m_entries.erase(oldest);
  }
  std::erase_if(m_lost_attempts, [&](const auto& item) {
    return item.second.empty() || now - item.second.back().at >= kLostAttemptLifetime;
  });
  std::erase_if(m_crashes, [&](const auto& item) {
    return now - item.second.seen >= m_settings.forget_quarantined_after;
  });
  std::erase_if(m_attributed, [&](const auto& item) { return !m_entries.contains(item.second); });
  std::erase_if(m_latest_crashes,
                [&](const auto& item) { return now - item.second.at >= kLostAttemptLifetime; });
  std::erase_if(m_unmatched_reports, [&](const UnmatchedReport& report) {
    return now - report.at >= kUnmatchedReportLifetime;
  });
  std::erase_if(m_peer_placements, [&](const auto& item) { return item.second.until <= now; });
}

SuspectUpdate CrashSuspects::UpdateFor(Fingerprint fingerprint, const Entry& entry) const {
  SuspectUpdate update{fingerprint, entry.quarantined, {}, {}};
  for (const auto& [crash, seen] : entry.crashes) update.crashes.push_back(crash);
  update.cleared.assign(entry.cleared.begin(), entry.cleared.end());
  return update;
}

void CrashSuspects::Publish(const SuspectGossip& message, Actions& actions) const {
  SuspectGossip part;
  std::size_t bytes = 0;
  const auto add = [&](const auto& item, std::size_t size, auto& to) {
    if (bytes + size > kMaxMessageItemBytes) {
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
