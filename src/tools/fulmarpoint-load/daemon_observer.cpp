#include "daemon_observer.h"

#include <cstdio>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

namespace fulmarpoint::load {

namespace {

constexpr Duration kReadTimeout = std::chrono::milliseconds(500);
// A daemon responds to a change only after enough daemons have confirmed it.
constexpr Duration kApplyTimeout = std::chrono::seconds(30);

/// Returns the sum of all samples of `metric` in `text`, which is in the Prometheus text format.
double SumOfMetric(const std::string& metric, const std::string& text) {
  double sum = 0;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    const std::size_t end = line.find_first_of(" {");
    if (end == std::string::npos || line.substr(0, end) != metric) continue;
    sum += std::strtod(line.c_str() + line.rfind(' '), nullptr);
  }
  return sum;
}

}  // namespace

DaemonObserver::DaemonObserver(RunContext& context,
                               const std::map<std::string, std::string>& daemons,
                               std::string operator_key, std::string memory_metric)
    : m_context(context),
      m_operator_key(std::move(operator_key)),
      m_memory_metric(std::move(memory_metric)) {
  for (const auto& [name, address] : daemons) m_daemons[name].address = address;
}

Task<void> DaemonObserver::Poll() {
  double memory = 0;
  for (const auto& [name, observed] : m_daemons) {
    memory += co_await ReadMemory(observed.address);
    if (!m_operator_key.empty()) co_await ReadCatalogue(name);
  }
  m_peak_memory = std::max(m_peak_memory, memory);
}

Task<double> DaemonObserver::ReadMemory(std::string address) {
  HttpClientRequest request;
  request.address = std::move(address);
  request.target = "/metrics";
  request.timeout = kReadTimeout;
  const HttpResult result = co_await m_context.client.Send(std::move(request));
  co_return result.error ? 0.0 : SumOfMetric(m_memory_metric, result.reply.body);
}

Task<void> DaemonObserver::ReadCatalogue(std::string name) {
  HttpClientRequest request;
  request.address = m_daemons[name].address;
  request.target = "/v1/admin/catalogue";
  request.headers.push_back({"Authorization", "Bearer " + m_operator_key});
  request.timeout = kReadTimeout;
  const HttpResult result = co_await m_context.client.Send(std::move(request));
  if (!result.error && result.reply.status == 200) RecordCatalogue(name, result.reply.body);
}

void DaemonObserver::RecordCatalogue(const std::string& name, const std::string& body) {
  const nlohmann::json json = nlohmann::json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object()) return;
  Observed& observed = m_daemons[name];
  if (!std::exchange(observed.seen, true)) m_context.Record(DaemonStarted{name});
  const std::uint64_t revision = json.value("revision", std::uint64_t{0});
  if (std::exchange(observed.revision, revision) != revision) {
    m_context.Record(RevisionInEffect{name, revision});
  }
  const bool accepts = json.value("accepts_work", true);
  if (std::exchange(observed.accepts_work, accepts) == accepts) return;
  if (accepts) {
    m_context.Record(DaemonUnfenced{name});
  } else {
    m_context.Record(DaemonFenced{name});
  }
}

Task<void> DaemonObserver::Apply(std::string catalogue) {
  for (const auto& [name, observed] : m_daemons) {
    HttpClientRequest request;
    request.address = observed.address;
    request.method = "PUT";
    request.target = "/v1/admin/catalogue";
    request.headers.push_back({"Authorization", "Bearer " + m_operator_key});
    request.body = catalogue;
    request.timeout = kApplyTimeout;
    const HttpResult result = co_await m_context.client.Send(std::move(request));
    if (result.error && result.nothing_written) continue;
    const nlohmann::json answer = nlohmann::json::parse(result.reply.body, nullptr, false);
    const bool accepted =
        answer.is_object() && answer.value("status", nlohmann::json()) == "accepted";
    if (accepted) {
      m_context.Record(RevisionAccepted{answer.value("revision", std::uint64_t{0})});
    } else {
      std::fprintf(stderr, "%s did not accept the catalogue change: %s\n", name.c_str(),
                   result.reply.body.c_str());
    }
    co_return;
  }
}

}  // namespace fulmarpoint::load
