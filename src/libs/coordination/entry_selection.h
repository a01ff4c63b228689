#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarpoint {

/// A daemon that may be returned in a lookup answer.
struct EntryDaemon {
  std::string name;
  /// "ip:port" of its HTTP service.
  std::string address;
  std::string failure_domain;
  bool leaving = false;
};

/// Returns the daemons for the lookup answer of one caller: at most `count`, those in
/// `failure_domain` first, in at least two failure domains if these exist and `count` is above 1,
/// and none that is leaving. Rendezvous hashing on `caller` distributes callers over the daemons,
/// and the loss of a daemon changes only the answers that contained it. Thread-safe.
std::vector<EntryDaemon> SelectEntries(const std::vector<EntryDaemon>& daemons,
                                       std::string_view caller, std::string_view failure_domain,
                                       std::size_t count);

}  // namespace fulmarpoint
