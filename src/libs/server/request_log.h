#pragma once

#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "protocol/identifiers.h"
#include "utils/time.h"

namespace fulmarpoint {

/// One decision about a request and its reason.
struct RequestDecision {
  Duration after{};
  std::string name;
  std::string reason;
};

/// Record of one request for operators.
struct RequestRecord {
  std::string id;
  OrganisationId organisation;
  ServiceName service;
  UnixMillis started_at = 0;
  TimePoint started;
  /// Name of the result code; empty while the request runs.
  std::string result;
  std::vector<RequestDecision> decisions;
  std::uint64_t decisions_left_out = 0;
};

/// Keeps the decisions about the latest requests in bounded memory. Thread-safe.
class RequestLog {
 public:
  explicit RequestLog(std::size_t capacity) : m_capacity(capacity) {}

  void Begin(const RequestId& id, const OrganisationId& organisation, const ServiceName& service);
  /// Adds a decision; after the 48th of a request further ones are only counted.
  void Add(const RequestId& id, std::string name, std::string reason);
  void End(const RequestId& id, std::string_view result);
  std::optional<RequestRecord> Find(const std::string& id) const;

 private:
  mutable std::mutex m_mutex;
  const std::size_t m_capacity;
  std::deque<std::string> m_order;
  std::unordered_map<std::string, RequestRecord> m_records;
};

}  // namespace fulmarpoint
