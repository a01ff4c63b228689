#pragma once

#include <cstdint>
#include <map>
#include <mutex>

#include "coordination/generation.h"
#include "protocol/identifiers.h"
#include "utils/time.h"

namespace fulmarpoint {

/// Records when each stream of each engine last produced a token, so that a session can distinguish
/// a stalled connection from a stalled engine. Thread-safe; takes no other lock.
class EngineActivityTable {
 public:
  void RecordToken(const EndpointId& engine, std::uint64_t stream, TimePoint now);
  void RemoveStream(const EndpointId& engine, std::uint64_t stream);
  /// Returns whether other streams of the engine make progress.
  EngineActivity ActivityOfOthers(const EndpointId& engine, std::uint64_t stream,
                                  TimePoint now) const;

 private:
  mutable std::mutex m_mutex;
  std::map<EndpointId, std::map<std::uint64_t, TimePoint>> m_last_token;
};

}  // namespace fulmarpoint
