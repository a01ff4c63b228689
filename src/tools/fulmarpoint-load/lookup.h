#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "transport/http_client.h"

namespace fulmarpoint::load {

/// Daemons that serve one service, as cached by callers.
struct LookupAnswer {
  std::vector<std::string> addresses;
  /// Prefix of the idempotency keys that the daemon issues; empty if it issues none.
  std::string key_prefix;
  TimePoint valid_until;
};

/// Looks up the daemons of services at any known daemon, and caches each result for the time that
/// the daemon allows. Used by one thread.
class Lookup {
 public:
  /// `daemons` are the addresses that lookups are sent to, in turn.
  Lookup(HttpClient& client, std::vector<std::string> daemons);

  /// Returns the cached result, or else queries the daemons. If none responds with an address, the
  /// result is empty.
  Task<LookupAnswer> Find(std::string service, std::string api_key);
  /// Removes the cached result, after one of its addresses failed.
  void Invalidate(const std::string& service, const std::string& api_key) {
    m_cache.erase({service, api_key});
  }

 private:
  HttpClient& m_client;
  std::vector<std::string> m_daemons;
  std::size_t m_next = 0;
  std::map<std::pair<std::string, std::string>, LookupAnswer> m_cache;
};

}  // namespace fulmarpoint::load
