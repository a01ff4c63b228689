#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "protocol/usage_messages.h"

namespace fulmarpoint {

/// Load of one daemon on a service's engines. Counters start at zero with the daemon's process.
struct ServiceLoad {
  ServiceName service;
  /// Requests in progress at the service's engines, and tokens of KV cache that they take.
  std::uint32_t requests = 0;
  std::uint64_t kv_cache_tokens = 0;
  /// Requests that wait for an engine.
  std::uint32_t waiting = 0;
  /// Counter of the prompt tokens that were sent to engines.
  std::uint64_t prompt_tokens = 0;
  /// Estimated time of an engine for one prompt token in nanoseconds; 0 if unknown.
  std::uint32_t token_ns = 0;
  /// Counters of the first events, and of those that were later than the route's objective.
  std::uint64_t first_events = 0;
  std::uint64_t late_first_events = 0;

  bool operator==(const ServiceLoad&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    internal::SerializeText(archive, service);
    archive(requests, kv_cache_tokens, waiting, prompt_tokens, token_ns, first_events,
            late_first_events);
  }
};

/// The holder of the singleton duties asks a daemon for its usage counts and load.
struct DutyPoll {
  std::string holder;
  std::uint64_t fencing_token = 0;
  /// First window of interest.
  UsageWindow first_window = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    internal::SerializeText(archive, holder);
    archive(fencing_token, first_window);
  }
};

struct DutyPollReply {
  std::string daemon;
  std::uint64_t incarnation = 0;
  /// The daemon's own sums, and those that it keeps for neighbours.
  std::vector<UsageSum> sums;
  /// Reports that the daemon decided while it was the holder.
  std::vector<UsageReport> decided;
  std::vector<ServiceLoad> loads;

  template <typename Archive>
  void serialize(Archive& archive) {
    internal::SerializeText(archive, daemon);
    archive(incarnation);
    internal::SerializeList(archive, sums);
    internal::SerializeList(archive, decided);
    internal::SerializeList(archive, loads);
  }
};

/// An order for the number of engines of a service in a failure domain.
struct EngineOrder {
  ServiceName service;
  std::string failure_domain;
  int desired = 0;

  bool operator==(const EngineOrder&) const = default;
};

}  // namespace fulmarpoint
