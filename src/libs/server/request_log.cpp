#include "server/request_log.h"

#include <utility>

namespace fulmarpoint {

namespace {

constexpr std::size_t kMaxDecisions = 48;
constexpr std::size_t kMaxReasonBytes = 200;

}  // namespace

void RequestLog::Begin(const RequestId& id, const OrganisationId& organisation,
                       const ServiceName& service) {
  RequestRecord record;
  record.id = ToString(id);
  record.organisation = organisation;
  record.service = service;
  record.started_at = WallNow();
  record.started = SteadyNow();
  const std::lock_guard<std::mutex> lock(m_mutex);
  // A request that is resumed at this daemon keeps one record.
  const auto found = m_records.find(record.id);
  if (found != m_records.end()) {
    found->second.result.clear();
    return;
  }
  if (m_order.size() >= m_capacity) {
    m_records.erase(m_order.front());
    m_order.pop_front();
  }
  m_order.push_back(record.id);
  std::string key = record.id;
  m_records.emplace(std::move(key), std::move(record));
}

void RequestLog::Add(const RequestId& id, std::string name, std::string reason) {
  if (reason.size() > kMaxReasonBytes) reason.resize(kMaxReasonBytes);
  const TimePoint now = SteadyNow();
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_records.find(ToString(id));
  if (found == m_records.end()) return;
  RequestRecord& record = found->second;
  if (record.decisions.size() >= kMaxDecisions) {
    ++record.decisions_left_out;
    return;
  }
  record.decisions.push_back({now - record.started, std::move(name), std::move(reason)});
}

void RequestLog::End(const RequestId& id, std::string_view result) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_records.find(ToString(id));
  if (found != m_records.end()) found->second.result = result;
}

std::optional<RequestRecord> RequestLog::Find(const std::string& id) const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_records.find(id);
  if (found == m_records.end()) return std::nullopt;
  return found->second;
}

}  // namespace fulmarpoint
