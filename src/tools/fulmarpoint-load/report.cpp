#include "report.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <sstream>

namespace fulmarpoint::load {

namespace {

// Requests of different daemons may reach the engines in another order than they were permitted.
constexpr std::uint64_t kCanarySlack = 2;
// The revision in effect is polled, so the history records it late.
constexpr Duration kObservationDelay = std::chrono::seconds(1);
constexpr std::size_t kMaxPrintedViolations = 20;
constexpr int kHistogramBuckets = 16;
constexpr std::size_t kBarWidth = 50;

double Milliseconds(Duration duration) { return static_cast<double>(duration.count()) / 1000.0; }

double Percentile(const std::vector<Duration>& sorted, double share) {
  if (sorted.empty()) return 0;
  const auto last = static_cast<double>(sorted.size() - 1);
  return Milliseconds(sorted[static_cast<std::size_t>(std::lround(share * last))]);
}

/// Returns a histogram whose bucket limits double, starting at 1 ms.
std::vector<std::uint64_t> Buckets(const std::vector<Duration>& values) {
  std::vector<std::uint64_t> buckets(kHistogramBuckets, 0);
  for (const Duration value : values) {
    std::size_t bucket = 0;
    while (bucket + 1 < buckets.size() &&
           Milliseconds(value) >= static_cast<double>(1U << bucket)) {
      ++bucket;
    }
    ++buckets[bucket];
  }
  return buckets;
}

nlohmann::json Summary(std::vector<Duration> values) {
  std::sort(values.begin(), values.end());
  return {{"count", values.size()},
          {"p50_ms", Percentile(values, 0.50)},
          {"p95_ms", Percentile(values, 0.95)},
          {"p99_ms", Percentile(values, 0.99)},
          {"max_ms", Percentile(values, 1.0)},
          {"buckets_doubling_from_1_ms", Buckets(values)}};
}

/// Returns, for each resumption, the time between the last token before it and the first after it.
std::vector<Duration> ResumeLatencies(const History& history,
                                      const std::multimap<RequestName, TimePoint>& resumptions) {
  std::map<RequestName, std::vector<TimePoint>> tokens;
  for (const HistoryRecord& record : history) {
    const auto* token = std::get_if<TokenReceived>(&record.event);
    if (token != nullptr && resumptions.contains(token->request)) {
      tokens[token->request].push_back(record.at);
    }
  }
  std::set<std::pair<RequestName, TimePoint>> counted;
  std::vector<Duration> latencies;
  for (const auto& [request, at] : resumptions) {
    const std::vector<TimePoint>& times = tokens[request];
    const auto after = std::upper_bound(times.begin(), times.end(), at);
    if (after == times.begin() || after == times.end()) continue;
    // Several resumptions between the same two tokens count once.
    if (counted.emplace(request, *after).second) latencies.push_back(*after - *(after - 1));
  }
  return latencies;
}

/// Copies the service of each request from the callers' records to those of endpoints, which lack
/// it.
void FillInServices(History& history) {
  std::map<RequestName, ServiceName> services;
  for (const HistoryRecord& record : history) {
    if (const auto* sent = std::get_if<RequestSent>(&record.event)) {
      services.emplace(sent->request, sent->service);
    }
  }
  for (HistoryRecord& record : history) {
    auto* started = std::get_if<RequestStarted>(&record.event);
    if (started != nullptr) started->service = services[started->request];
  }
}

nlohmann::json ViolationCounts(const std::vector<Violation>& violations) {
  nlohmann::json counts = nlohmann::json::object();
  for (const auto& [guarantee, name] : kGuaranteeNames) {
    counts[std::string(name)] = std::count_if(
        violations.begin(), violations.end(),
        [value = guarantee](const Violation& violation) { return violation.guarantee == value; });
  }
  return counts;
}

void PrintSummary(std::ostream& out, const std::string& name, const nlohmann::json& summary) {
  out << name << ": n=" << summary["count"] << " p50=" << summary["p50_ms"]
      << " p95=" << summary["p95_ms"] << " p99=" << summary["p99_ms"]
      << " max=" << summary["max_ms"] << " (ms)\n";
  const auto buckets = summary["buckets_doubling_from_1_ms"].get<std::vector<std::uint64_t>>();
  const std::uint64_t highest = *std::max_element(buckets.begin(), buckets.end());
  for (std::size_t i = 0; i < buckets.size(); ++i) {
    if (buckets[i] == 0) continue;
    out << "  < " << (1U << i) << " ms: " << buckets[i] << " "
        << std::string(std::max<std::size_t>(buckets[i] * kBarWidth / highest, 1), '#') << "\n";
  }
}

}  // namespace

Report MakeReport(LoadRun& run) {
  Report report;
  RunContext& context = run.Context();
  const Measurements& measured = context.measurements;
  report.history = context.history;
  SortByTime(report.history);
  FillInServices(report.history);
  CheckerOptions options;
  options.canary_slack = kCanarySlack;
  options.catalogue_limit += kObservationDelay;
  report.violations = CheckHistory(report.history, options);
  const EndpointObserver& observer = run.Endpoints();
  const std::uint64_t generated = observer.Counter("tokens");
  report.json = {
      {"seed", run.Settings().seed},
      {"requests", context.requests},
      {"answers", measured.answers},
      {"unfinished", run.UnfinishedRequests()},
      {"repeated_sends", measured.retries},
      {"errors", measured.errors},
      {"tokens_received", measured.tokens},
      {"tokens_generated", generated},
      {"extra_tokens",
       static_cast<std::int64_t>(generated) - static_cast<std::int64_t>(measured.tokens)},
      {"resumed_streams", observer.Counter("resumed_streams")},
      {"reconnects", observer.Counter("reconnects")},
      {"prefill_tokens", observer.Counter("prefill_tokens")},
      {"cached_prefill_tokens", observer.Counter("cached_prefill_tokens")},
      {"peak_" + run.Settings().memory_metric, run.Daemons().PeakMemory()},
      {"first_token", Summary(measured.time_to_first_token)},
      {"token_gap", Summary(measured.inter_token_latency)},
      {"call", Summary(measured.call)},
      {"resume", Summary(ResumeLatencies(report.history, observer.Resumptions()))},
      {"violations", ViolationCounts(report.violations)},
  };
  return report;
}

std::string ToText(const Report& report) {
  std::ostringstream out;
  for (const auto& [key, value] : report.json.items()) {
    if (value.is_object() && value.contains("p50_ms")) {
      PrintSummary(out, key, value);
    } else {
      out << key << ": " << value.dump() << "\n";
    }
  }
  const std::size_t shown = std::min(report.violations.size(), kMaxPrintedViolations);
  for (std::size_t i = 0; i < shown; ++i) {
    out << Describe(report.violations[i], report.history) << "\n";
  }
  if (shown < report.violations.size()) {
    out << report.violations.size() - shown << " more violations\n";
  }
  return out.str();
}

}  // namespace fulmarpoint::load
