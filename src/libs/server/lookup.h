#pragma once

#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "coordination/entry_selection.h"
#include "transport/http_message.h"
#include "utils/time.h"

namespace fulmarpoint {

struct Services;

/// Prefix of idempotency keys that this daemon issues, and how long they may be used.
struct IssuedKeys {
  std::string prefix;
  Duration lifetime{};
};

/// Data for lookup answers. The control plane and the key issuer set the sources. Thread-safe.
class LookupDirectory {
 public:
  using DaemonSource = std::function<std::vector<EntryDaemon>()>;
  using KeySource = std::function<std::optional<IssuedKeys>()>;

  /// Sets the source of the list of daemons, which may include this daemon.
  void SetDaemons(DaemonSource source);
  void SetKeys(KeySource source);
  std::vector<EntryDaemon> Daemons() const;
  std::optional<IssuedKeys> Keys() const;

  /// Excludes this daemon from all further answers.
  void ExcludeSelf();
  bool IsExcluded() const;

 private:
  mutable std::mutex m_mutex;
  DaemonSource m_daemons;
  KeySource m_keys;
  bool m_leaving = false;
};

/// Answers GET /v1/lookup. `caller` identifies the caller, so that equal callers get equal answers.
/// Thread-safe.
HttpReply AnswerLookup(const Services& services, std::string_view target, std::string_view caller);

}  // namespace fulmarpoint
