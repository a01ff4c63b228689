#include "coordination/lease.h"

namespace fulmarpoint {

namespace {

constexpr Duration kTick = std::chrono::milliseconds(500);
/// Row value of a released lease.
constexpr char kReleased[] = "released";
/// Bits of a fencing token that hold the row version; those above hold the epoch of the store, so
/// that tokens are ordered like positions.
constexpr int kTokenVersionBits = 40;

std::uint64_t FencingTokenOf(StorePosition position) {
  return (position.epoch << kTokenVersionBits) | position.version;
}

}  // namespace

Lease::Lease(std::string key, InstanceId self, Options options, std::uint64_t seed)
    : m_key(std::move(key)), m_self(std::move(self)), m_options(options), m_random(seed) {}

void Lease::Handle(const Event& event, TimePoint now, std::vector<Action>& actions) {
  std::visit([&](const auto& specific) { On(specific, now, actions); }, event);
}

bool Lease::MaySend(TimePoint now) const {
  if (m_options.mutate_skip_send_check) return m_held;
  return m_held && now < SendLimit();
}

void Lease::On(const Start&, TimePoint now, Actions& actions) {
  m_next_action = now;
  actions.emplace_back(SetTimer{now + kTick});
}

void Lease::On(const CandidateChanged& event, TimePoint, Actions&) {
  m_candidate = event.candidate;
}

void Lease::On(const TimerFired&, TimePoint now, Actions& actions) {
  actions.emplace_back(SetTimer{now + kTick});
  if (m_held && now >= m_renewed_at + m_options.lease_time) LoseLease(actions);
  if (now < m_next_action) return;
  if (m_write_uncertain || (!m_held && !m_write && m_candidate)) return StartRead(now, actions);
  if (m_held && !m_write) StartWrite(m_version, false, now, actions);
}

void Lease::On(const Release&, TimePoint now, Actions& actions) {
  m_candidate = false;
  if (!m_held) return;
  const std::uint64_t version = m_version;
  LoseLease(actions);
  if (!m_write) StartWrite(version, true, now, actions);
}

void Lease::On(const EpochSeen& event, TimePoint now, Actions& actions) {
  if (event.epoch > m_epoch) BeginEpoch(event.epoch, now, actions);
}

/// The store was restored from a copy. What was read before fits its rows only by chance, and
/// another candidate may have acquired the lease.
void Lease::BeginEpoch(std::uint64_t epoch, TimePoint now, Actions& actions) {
  m_epoch = epoch;
  m_write.reset();
  m_write_uncertain = false;
  m_version = 0;
  m_version_since.reset();
  m_next_action = now;
  if (m_held) LoseLease(actions);
}

void Lease::StartRead(TimePoint now, Actions& actions) {
  const Duration::rep interval = m_options.read_interval.count();
  m_next_action = now + Duration(interval / 2 + static_cast<Duration::rep>(m_random() % interval));
  m_read_token = m_random();
  actions.emplace_back(ReadRow{m_read_token, m_key});
}

void Lease::On(const RowRead& event, TimePoint now, Actions& actions) {
  if (event.token != m_read_token || !event.ok) return;
  m_read_token = 0;
  if (event.epoch < m_epoch) return;
  if (event.epoch > m_epoch) BeginEpoch(event.epoch, now, actions);
  if (m_write && m_write_uncertain) return ResolveWrite(event, now, actions);
  if (m_held) return;
  ObserveVersion(event.row ? event.row->version : 0, now);
  TryTakeOver(event.row, now, actions);
}

void Lease::ResolveWrite(const RowRead& event, TimePoint now, Actions& actions) {
  m_write_uncertain = false;
  if (event.row && event.row->value == m_write->value) {
    return OnWritten({event.epoch, event.row->version}, now, actions);
  }
  // The unanswered write can still take effect as long as the row has the version that it expects.
  // While that is so, the same value is written again.
  const std::uint64_t version = event.row ? event.row->version : 0;
  if (version == m_version) return SendWrite(m_version, now, actions);
  m_write.reset();
  if (m_held) LoseLease(actions);
  m_next_action = now;
}

void Lease::ObserveVersion(std::uint64_t version, TimePoint now) {
  if (m_version_since && version == m_version) return;
  m_version = version;
  m_version_since = now;
}

void Lease::TryTakeOver(const std::optional<TableRow>& row, TimePoint now, Actions& actions) {
  if (!m_candidate || m_write) return;
  Duration wait = m_options.lease_time + m_options.drift_margin;
  if (m_options.mutate_take_over_early) wait = m_options.lease_time / 3;
  const bool is_free = !row || row->value == kReleased;
  if (!is_free && now - *m_version_since < wait) return;
  StartWrite(m_version, false, now, actions);
}

void Lease::StartWrite(std::uint64_t expect, bool is_release, TimePoint now, Actions& actions) {
  Write write{m_random(), "", now, is_release};
  // The token makes every value unique, so that a read shows which write took effect.
  write.value =
      is_release ? std::string(kReleased) : ToString(m_self) + " " + std::to_string(write.token);
  m_write = write;
  m_write_uncertain = false;
  SendWrite(expect, now, actions);
}

void Lease::SendWrite(std::uint64_t expect, TimePoint now, Actions& actions) {
  m_next_action = now + m_options.renew_interval;
  actions.emplace_back(WriteRow{m_write->token, {kLeaseTable, m_key, expect, m_write->value}});
}

void Lease::On(const WriteDone& event, TimePoint now, Actions& actions) {
  if (!m_write || event.token != m_write->token) return;
  const bool is_answered = event.outcome != TableOutcome::kUnknown;
  if (is_answered && event.epoch > m_epoch) return BeginEpoch(event.epoch, now, actions);
  switch (event.outcome) {
    case TableOutcome::kDone:
      return OnWritten({event.epoch, event.version}, now, actions);
    case TableOutcome::kConflict:
      // The conflict may be with an earlier attempt of the same write.
      if (m_write->was_unanswered) {
        m_write_uncertain = true;
        return StartRead(now, actions);
      }
      m_write.reset();
      m_write_uncertain = false;
      m_next_action = now;
      if (m_held) LoseLease(actions);
      return;
    case TableOutcome::kUnknown:
      m_write_uncertain = true;
      m_write->was_unanswered = true;
      return StartRead(now, actions);
  }
}

void Lease::OnWritten(StorePosition position, TimePoint now, Actions& actions) {
  const Write write = *m_write;
  m_write.reset();
  m_write_uncertain = false;
  m_version = position.version;
  m_version_since = now;
  if (write.is_release) return;
  if (!m_held && now >= write.started + m_options.lease_time) {
    // The lease expired before the answer arrived, but the row still belongs to this daemon.
    return StartWrite(m_version, false, now, actions);
  }
  m_renewed_at = m_options.mutate_count_from_answer ? now : write.started;
  m_next_action = m_renewed_at + m_options.renew_interval;
  if (m_held) return;
  m_held = true;
  m_fencing_token = FencingTokenOf(position);
  actions.emplace_back(Acquired{m_fencing_token});
}

void Lease::LoseLease(Actions& actions) {
  m_held = false;
  m_version_since.reset();
  actions.emplace_back(Lost{});
}

}  // namespace fulmarpoint
