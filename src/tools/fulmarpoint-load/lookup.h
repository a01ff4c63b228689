#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "transport/http_client.h"

namespace fulmarpoint::load {

/// Addresses of daemons for one service, as a caller keeps them.
struct LookupAnswer {
  std::vector<std::string> addresses;
  /// First part of idempotency keys that the daemon issues; empty if it issues none.
  std::string key_prefix;
  TimePoint valid_until;
};

/// Follows lookups: asks any known daemon and keeps the answer as long as it allows. Used by one
/// thread.
class Lookup {
 public:
  /// `daemons` are the addresses that callers know at the start.
  Lookup(HttpClient& client, std::vector<std::string> daemons);

  /// Returns the kept answer or asks for one. Without an answer the list is empty.
  Task<LookupAnswer> Find(std::string service, std::string api_key);
  /// Forgets the answer, after an address of it did not work.
  void Forget(const std::string& service, const std::string& api_key) {
    m_kept.erase({service, api_key});
  }

 private:
  HttpClient& m_client;
  std::vector<std::string> m_daemons;
  std::size_t m_next = 0;
  std::map<std::pair<std::string, std::string>, LookupAnswer> m_kept;
};

}  // namespace fulmarpoint::load
