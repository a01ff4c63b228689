#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarpoint {

/// A daemon that may be named in a lookup answer.
struct EntryDaemon {
  std::string name;
  /// "ip:port" of its HTTP service.
  std::string address;
  std::string failure_domain;
  bool leaving = false;
};

/// Orders daemons for one caller: at most `count` addresses, those of `failure_domain` first, at
/// least two failure domains if they exist, no leaving daemons. Rendezvous hashing on `caller`
/// spreads callers over the daemons, and a lost daemon changes only the answers that named it.
/// Thread-safe.
std::vector<EntryDaemon> SelectEntries(const std::vector<EntryDaemon>& daemons,
                                       std::string_view caller, std::string_view failure_domain,
                                       std::size_t count);

}  // namespace fulmarpoint
