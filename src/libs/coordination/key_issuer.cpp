#include "coordination/key_issuer.h"

#include <algorithm>
#include <iterator>
#include <optional>

#include "coordination/idempotency_key.h"

namespace fulmarpoint {

namespace {

std::string EntryKey(const std::string& scope, const std::string& key) { return scope + "/" + key; }

}  // namespace

std::size_t KeyIssuer::SizeOf(const std::string& entry_key, const Entry& entry) {
  return sizeof(Entry) + entry_key.size() + entry.outcome.answer.body.size() +
         entry.outcome.answer.content_type.size();
}

std::string KeyIssuer::Issue(TimePoint now) const {
  return FormatIssuedPrefix(IssuedKey{m_self, now});
}

IssuedKeyResult KeyIssuer::Begin(const std::string& scope, const std::string& key,
                                 std::uint64_t request_hash, TimePoint now) {
  IssuedKeyResult result;
  const std::optional<IssuedKey> parsed = ParseIssuedKey(key);
  if (!parsed) return result;
  result.owner = parsed->owner;
  result.state = IssuedKeyState::kOtherOwner;
  if (parsed->owner != m_self) return result;
  const std::string entry_key = EntryKey(scope, key);
  const std::map<std::string, Entry>::iterator found = m_entries.find(entry_key);
  if (found != m_entries.end()) {
    const Entry& entry = found->second;
    result.outcome = entry.outcome;
    result.state = entry.finished ? IssuedKeyState::kFinished : IssuedKeyState::kRunning;
    if (entry.request_hash != request_hash) result.state = IssuedKeyState::kReused;
    return result;
  }
  // A time of issue in the future is forged, and the outcome would be kept for too long.
  result.state = IssuedKeyState::kMalformed;
  if (parsed->issued > now) return result;
  result.state = IssuedKeyState::kExpired;
  if (now - parsed->issued > m_config.validity) return result;
  result.state = IssuedKeyState::kFull;
  if (m_bytes >= m_config.max_bytes) return result;
  result.state = IssuedKeyState::kRun;
  Entry entry;
  entry.request_hash = request_hash;
  entry.valid_until = parsed->issued + m_config.validity;
  m_bytes += SizeOf(entry_key, entry);
  m_entries.emplace(entry_key, std::move(entry));
  return result;
}

bool KeyIssuer::IsUnused(const std::string& scope, const std::string& key, TimePoint now) const {
  const std::optional<IssuedKey> parsed = ParseIssuedKey(key);
  if (!parsed || parsed->owner != m_self) return false;
  if (now - parsed->issued > m_config.validity) return false;
  return !m_entries.contains(EntryKey(scope, key));
}

void KeyIssuer::Finish(const std::string& scope, const std::string& key, const ClaimRecord& outcome,
                       TimePoint now) {
  const std::string entry_key = EntryKey(scope, key);
  const std::map<std::string, Entry>::iterator found = m_entries.find(entry_key);
  if (found == m_entries.end()) return;
  Entry& entry = found->second;
  // A late answer replaces an unknown outcome, but never a known one.
  if (entry.finished && entry.outcome.state == ClaimState::kDone) return;
  m_bytes -= SizeOf(entry_key, entry);
  entry.finished = true;
  entry.outcome = outcome;
  entry.keep_until = std::max(entry.valid_until, now + m_config.min_retention);
  m_bytes += SizeOf(entry_key, entry);
}

void KeyIssuer::Abandon(const std::string& scope, const std::string& key) {
  const std::map<std::string, Entry>::iterator found = m_entries.find(EntryKey(scope, key));
  if (found == m_entries.end() || found->second.finished) return;
  m_bytes -= SizeOf(found->first, found->second);
  m_entries.erase(found);
}

void KeyIssuer::Expire(TimePoint now) {
  std::map<std::string, Entry>::iterator entry = m_entries.begin();
  while (entry != m_entries.end()) {
    const bool expired = entry->second.finished && now > entry->second.keep_until;
    if (expired) m_bytes -= SizeOf(entry->first, entry->second);
    entry = expired ? m_entries.erase(entry) : std::next(entry);
  }
}

}  // namespace fulmarpoint
