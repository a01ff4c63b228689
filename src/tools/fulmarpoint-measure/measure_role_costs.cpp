#include "measure_role_costs.h"

#include <malloc.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "coordination/admission.h"
#include "coordination/burn_counters.h"
#include "coordination/claim_batcher.h"
#include "coordination/crash_suspects.h"
#include "coordination/generation.h"
#include "coordination/key_issuer.h"
#include "coordination/rollout_aggregator.h"
#include "coordination/rollout_controller.h"
#include "coordination/rollout_participant.h"
#include "coordination/router.h"
#include "linear_fit.h"
#include "measure.h"
#include "protocol/body_codec.h"

namespace fulmarpoint {

namespace {

/// Bytes in use on the heap, including blocks that were mapped on their own.
double HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

TimePoint At(double seconds) {
  return TimePoint(Duration(static_cast<Duration::rep>(seconds * 1e6)));
}

/// Returns the growth of the heap while `build` runs; what it builds is kept alive until then.
template <typename Build>
double HeapGrowth(Build build) {
  const double before = HeapBytes();
  const auto kept = build();
  const double growth = HeapBytes() - before;
  return kept ? growth : 0;
}

/// Returns processor microseconds of one call of `work`, over `repetitions` calls.
double CpuPerCall(int repetitions, const std::function<void(int)>& work) {
  const double before = ProcessCpuMicroseconds();
  for (int i = 0; i < repetitions; ++i) work(i);
  return (ProcessCpuMicroseconds() - before) / repetitions;
}

using Generations = std::vector<std::unique_ptr<Generation>>;

std::unique_ptr<Generation> StartGeneration(std::uint64_t seed) {
  GenerationConfig config;
  config.model = "draft";
  config.max_tokens = 100'000;
  std::unique_ptr<Generation> generation = std::make_unique<Generation>(config, Random(seed));
  std::vector<Generation::Action> actions;
  generation->Handle(generation::Start{}, At(0), actions);
  const std::uint32_t selection = std::get<generation::SelectEndpoint>(actions.front()).selection;
  generation->Handle(generation::EndpointSelected{selection, "engine-1", "v1", {}, At(0)}, At(0),
                     actions);
  return generation;
}

void FeedTokens(Generation& generation, int from, int count) {
  std::vector<Generation::Action> actions;
  for (int i = from; i < from + count; ++i) {
    actions.clear();
    generation.Handle(generation::TokenReceived{1, static_cast<std::uint64_t>(i), "token"},
                      At(0.1 + i * 0.027), actions);
  }
}

Slope GenerationMemory() {
  Slope slope{"resumption", "memory of one generation", "tokens delivered", "bytes", {}};
  constexpr int kGenerations = 50;
  for (const int tokens : {0, 500, 2000, 8000}) {
    const double growth = HeapGrowth([tokens] {
      std::unique_ptr<Generations> all = std::make_unique<Generations>();
      for (int i = 0; i < kGenerations; ++i) {
        all->push_back(StartGeneration(static_cast<std::uint64_t>(i)));
        FeedTokens(*all->back(), 0, tokens);
      }
      return all;
    });
    slope.points.push_back({static_cast<double>(tokens), growth / kGenerations});
  }
  return slope;
}

Slope GenerationCpu() {
  Slope slope{"resumption", "processor time of one generation", "tokens delivered", "us", {}};
  for (const int tokens : {500, 2000, 8000}) {
    const double cpu = CpuPerCall(20, [tokens](int i) {
      const std::unique_ptr<Generation> generation = StartGeneration(static_cast<std::uint64_t>(i));
      FeedTokens(*generation, 0, tokens);
    });
    slope.points.push_back({static_cast<double>(tokens), cpu});
  }
  return slope;
}

Slope RouterCpu(std::uint64_t seed) {
  Slope slope{"entry and routing", "processor time of one choice", "candidates", "us", {}};
  for (const int count : {8, 40, 160, 640}) {
    std::vector<RouteCandidate> candidates(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
      candidates[static_cast<std::size_t>(i)].endpoint = "engine-" + std::to_string(i);
      candidates[static_cast<std::size_t>(i)].version = "v1";
      candidates[static_cast<std::size_t>(i)].failure_domain = "domain-" + std::to_string(i % 6);
    }
    Random random(seed);
    RouteRequest request;
    request.version = "v1";
    request.failure_domain = "domain-1";
    const double cpu = CpuPerCall(2000, [&](int) { ChooseEndpoint(candidates, request, random); });
    slope.points.push_back({static_cast<double>(count), cpu});
  }
  return slope;
}

std::unique_ptr<Admission> FillAdmission(int organisations, Admission::Actions& actions) {
  std::unique_ptr<Admission> admission = std::make_unique<Admission>();
  admission->Handle(AdmissionSlotsChanged{organisations}, At(0), actions);
  for (int i = 0; i < organisations; ++i) {
    AdmissionRequested request;
    request.request = static_cast<std::uint64_t>(i) + 1;
    request.organisation = "organisation-" + std::to_string(i);
    request.deadline = At(600);
    admission->Handle(request, At(1), actions);
  }
  return admission;
}

Slope AdmissionMemory() {
  Slope slope{"limits and credits",
              "memory of admission",
              "organisations with running requests",
              "bytes",
              {}};
  for (const int count : {100, 1000, 10'000}) {
    Admission::Actions actions;
    actions.reserve(static_cast<std::size_t>(count) * 2);
    slope.points.push_back(
        {static_cast<double>(count), HeapGrowth([&] { return FillAdmission(count, actions); })});
  }
  return slope;
}

Slope AdmissionCpu() {
  Slope slope{"limits and credits",
              "processor time of one admitted and ended request",
              "organisations with running requests",
              "us",
              {}};
  for (const int count : {100, 1000, 10'000}) {
    Admission::Actions actions;
    const std::unique_ptr<Admission> admission = FillAdmission(count, actions);
    const double cpu = CpuPerCall(20'000, [&](int i) {
      actions.clear();
      const std::uint64_t ended = static_cast<std::uint64_t>(i) + 1;
      admission->Handle(AdmissionEnded{ended}, At(2 + i * 1e-4), actions);
      AdmissionRequested request;
      request.request = ended + static_cast<std::uint64_t>(count);
      request.organisation = "organisation-" + std::to_string(i % count);
      request.deadline = At(600);
      admission->Handle(request, At(2 + i * 1e-4), actions);
    });
    slope.points.push_back({static_cast<double>(count), cpu});
  }
  return slope;
}

Slope BurnMemory() {
  Slope slope{"metrics and reports", "memory of burn counters", "organisations seen", "bytes", {}};
  for (const int count : {100, 300, 1000}) {
    slope.points.push_back(
        {static_cast<double>(count), HeapGrowth([count] {
           std::unique_ptr<BurnCounters> counters = std::make_unique<BurnCounters>();
           for (int i = 0; i < count; ++i) {
             FinishedRequest request{"organisation-" + std::to_string(i), "assistant"};
             counters->Add(request, {}, At(1));
           }
           return counters;
         })});
  }
  return slope;
}

Slope BurnCpu() {
  Slope slope{"metrics and reports",
              "processor time of one counted request",
              "organisations seen",
              "us",
              {}};
  for (const int count : {100, 10'000, 46'000}) {
    BurnCounters counters;
    const double cpu = CpuPerCall(50'000, [&](int i) {
      counters.Add({"organisation-" + std::to_string(i * 7919 % count), "assistant"}, {}, At(1));
    });
    slope.points.push_back({static_cast<double>(count), cpu});
  }
  return slope;
}

struct ClaimLoad {
  double transactions = 0;
  double cpu_us = 0;
};

/// Offers `rate` claims a second for ten seconds to one batcher, whose transactions take 5 ms.
ClaimLoad OfferClaims(int rate) {
  constexpr int kSeconds = 10;
  constexpr double kStoreSeconds = 0.005;
  ClaimBatcher batcher{ClaimBatcherConfig{}};
  std::vector<ClaimBatcher::Action> actions;
  std::vector<std::pair<double, std::uint64_t>> in_flight;
  ClaimLoad load;
  const double before = ProcessCpuMicroseconds();
  for (int i = 0; i < rate * kSeconds; ++i) {
    const double now = static_cast<double>(i) / rate;
    while (!in_flight.empty() && in_flight.front().first <= now) {
      const std::pair<double, std::uint64_t> done = in_flight.front();
      in_flight.erase(in_flight.begin());
      batcher.Handle(claim_batcher::Committed{done.second, 1}, At(done.first), actions);
    }
    claim_batcher::ClaimRequested request;
    request.id = static_cast<std::uint64_t>(i) + 1;
    request.key = "organisation/orders/key-" + std::to_string(i);
    request.record.claim_token = "0123456789abcdef0123456789abcdef";
    request.deadline = At(now + 2);
    batcher.Handle(request, At(now), actions);
    for (const ClaimBatcher::Action& action : actions) {
      const auto* write = std::get_if<claim_batcher::WriteTransaction>(&action);
      if (write == nullptr) continue;
      ++load.transactions;
      in_flight.emplace_back(now + kStoreSeconds, write->transaction);
    }
    actions.clear();
  }
  load.cpu_us = (ProcessCpuMicroseconds() - before) / (rate * kSeconds);
  load.transactions /= kSeconds;
  return load;
}

void AddClaimSlopes(std::vector<Slope>& slopes) {
  Slope writes{"at-most-once claims", "claims of one transaction", "claims/s", "claims", {}};
  Slope cpu{"at-most-once claims", "processor time of one claim", "claims/s", "us", {}};
  for (const int rate : {100, 1000, 4000}) {
    const ClaimLoad load = OfferClaims(rate);
    writes.points.push_back({static_cast<double>(rate), rate / load.transactions});
    cpu.points.push_back({static_cast<double>(rate), load.cpu_us});
  }
  slopes.push_back(writes);
  slopes.push_back(cpu);
}

Slope IssuedKeyMemory() {
  Slope slope{"at-most-once claims", "memory of daemon-issued keys", "calls kept", "bytes", {}};
  for (const int count : {100, 1000, 10'000}) {
    slope.points.push_back({static_cast<double>(count), HeapGrowth([count] {
                              std::unique_ptr<KeyIssuer> issuer = std::make_unique<KeyIssuer>(
                                  InstanceId{"daemon-1", 1}, KeyIssuerConfig{});
                              const std::string prefix = issuer->Issue(At(1));
                              for (int i = 0; i < count; ++i) {
                                const std::string key = prefix + "-" + std::to_string(i);
                                issuer->Begin("acme/orders", key, 1, At(1));
                                ClaimRecord outcome;
                                outcome.state = ClaimState::kDone;
                                outcome.answer.body = std::string(256, 'x');
                                issuer->Finish("acme/orders", key, outcome, At(1));
                              }
                              return issuer;
                            })});
  }
  return slope;
}

Slope SuspectMemory() {
  Slope slope{"crash suspicion", "memory of crash suspicion", "running requests", "bytes", {}};
  for (const int count : {100, 1000, 10'000}) {
    slope.points.push_back(
        {static_cast<double>(count), HeapGrowth([count] {
           std::unique_ptr<CrashSuspects> suspects = std::make_unique<CrashSuspects>();
           CrashSuspects::Actions actions;
           for (int i = 0; i < count; ++i) {
             const std::uint64_t run = static_cast<std::uint64_t>(i) + 1;
             suspects->Handle(RunStarted{run, run, "engine-" + std::to_string(i % 40), 1}, At(1),
                              actions);
           }
           return suspects;
         })});
  }
  return slope;
}

/// One of 29 services that share 3,000 requests/s.
constexpr double kServiceRequestsPerSecond = 3000.0 / 29;

/// Counts the encoded bytes of one rollout's reports and directives for ten seconds.
class RolloutTraffic {
 public:
  RolloutTraffic(int daemons, bool grouped)
      : m_controller({"controller", 1}, "assistant", kRollout, 1, At(600), {}) {
    m_due.resize(static_cast<std::size_t>(daemons));
    for (int i = 0; i < daemons; ++i) m_daemons.emplace_back(Name(i), "assistant", kRollout);
    const int groups = grouped ? static_cast<int>(std::lround(std::sqrt(daemons))) : 0;
    for (int i = 0; i < groups; ++i) m_groups.emplace_back(Name(1000 + i), kRollout.id);
    Control(RolloutController::Tick{}, 0);
    Control(RolloutController::RowRead{0, std::nullopt}, 0);
    Control(RolloutController::RowWritten{1}, 0);
  }

  /// Returns bytes a second, in and out, at the busiest process.
  double Run() {
    for (int tick = 0; tick < 100; ++tick) {
      const double now = tick * 0.1;
      for (std::size_t i = 0; i < m_daemons.size(); ++i) TickDaemon(i, now);
      for (std::size_t i = 0; i < m_groups.size(); ++i) TickGroup(i, now);
    }
    double busiest = m_controller_bytes;
    for (const double bytes : m_group_bytes) busiest = std::max(busiest, bytes);
    return busiest / 10;
  }

 private:
  static inline const RolloutRequest kRollout{"assistant-2026-12-04", "v1", "v2", 0};

  static InstanceId Name(int number) { return {"daemon-" + std::to_string(number), 1}; }

  void TickDaemon(std::size_t index, double now) {
    RolloutParticipant& daemon = m_daemons[index];
    std::vector<RolloutParticipant::Action> actions;
    m_due[index] += kServiceRequestsPerSecond / static_cast<double>(m_daemons.size()) / 10;
    for (; m_due[index] >= 1; m_due[index] -= 1) {
      RequestOutcome outcome;
      outcome.route = "route";
      outcome.failure_domain = std::string(1, static_cast<char>('a' + m_random() % 6));
      outcome.latency = std::chrono::milliseconds(100);
      daemon.Handle(RolloutParticipant::OutcomeSeen{outcome}, At(now), actions);
    }
    daemon.ChooseNewVersion(4, At(now));
    daemon.Handle(RolloutParticipant::Tick{}, At(now), actions);
    for (const RolloutParticipant::Action& action : actions) {
      const auto* send = std::get_if<RolloutParticipant::SendReport>(&action);
      if (send == nullptr) continue;
      if (m_groups.empty()) {
        AnswerFromController(send->report, now);
      } else {
        AnswerFromGroup(index % m_groups.size(), send->report, now);
      }
    }
  }

  void AnswerFromGroup(std::size_t group, const RolloutReport& report, double now) {
    m_group_bytes.resize(m_groups.size());
    m_group_bytes[group] += static_cast<double>(internal::EncodeBody(report).size());
    std::vector<RolloutAggregator::Action> actions;
    m_groups[group].Handle(RolloutAggregator::ReportReceived{report}, At(now), actions);
    for (const RolloutAggregator::Action& action : actions) {
      const auto* send = std::get_if<RolloutAggregator::SendDirective>(&action);
      if (send == nullptr) continue;
      m_group_bytes[group] += static_cast<double>(internal::EncodeBody(send->directive).size());
    }
  }

  void TickGroup(std::size_t group, double now) {
    std::vector<RolloutAggregator::Action> actions;
    m_groups[group].Handle(RolloutAggregator::Tick{}, At(now), actions);
    for (const RolloutAggregator::Action& action : actions) {
      const auto* send = std::get_if<RolloutAggregator::SendReport>(&action);
      if (send == nullptr) continue;
      m_group_bytes[group] += static_cast<double>(internal::EncodeBody(send->report).size());
      const RolloutDirective directive = AnswerFromController(send->report, now);
      m_group_bytes[group] += static_cast<double>(internal::EncodeBody(directive).size());
      std::vector<RolloutAggregator::Action> ignored;
      m_groups[group].Handle(RolloutAggregator::DirectiveReceived{directive}, At(now), ignored);
    }
  }

  RolloutDirective AnswerFromController(const RolloutReport& report, double now) {
    m_controller_bytes += static_cast<double>(internal::EncodeBody(report).size());
    const std::vector<RolloutController::Action> actions =
        Control(RolloutController::ReportReceived{report}, now);
    for (const RolloutController::Action& action : actions) {
      const auto* send = std::get_if<RolloutController::SendDirective>(&action);
      if (send == nullptr) continue;
      m_controller_bytes += static_cast<double>(internal::EncodeBody(send->directive).size());
      return send->directive;
    }
    return {};
  }

  std::vector<RolloutController::Action> Control(const RolloutController::Event& event,
                                                 double now) {
    std::vector<RolloutController::Action> actions;
    m_controller.Handle(event, At(now), actions);
    return actions;
  }

  RolloutController m_controller;
  Random m_random;
  std::vector<double> m_due;
  std::vector<RolloutParticipant> m_daemons;
  std::vector<RolloutAggregator> m_groups;
  std::vector<double> m_group_bytes;
  double m_controller_bytes = 0;
};

Slope RolloutBytes(bool grouped) {
  Slope slope{"evidence for rollouts",
              grouped ? "bytes at the busiest process, grouped" : "bytes at the controller, direct",
              "daemons",
              "bytes/s",
              {}};
  for (const int daemons : {8, 64, 350}) {
    slope.points.push_back({static_cast<double>(daemons), RolloutTraffic(daemons, grouped).Run()});
  }
  return slope;
}

Slope RolloutCpu() {
  Slope slope{"evidence for rollouts", "processor time of one outcome", "routes", "us", {}};
  for (const int routes : {1, 8, 32}) {
    RolloutParticipant participant({"daemon", 1}, "assistant", {"move-1", "v1", "v2", 0});
    const double cpu = CpuPerCall(20'000, [&](int i) {
      std::vector<RolloutParticipant::Action> actions;
      RequestOutcome outcome;
      outcome.route = "route-" + std::to_string(i % routes);
      outcome.failure_domain = "a";
      outcome.endpoint = "engine-1";
      outcome.latency = std::chrono::milliseconds(100);
      participant.Handle(RolloutParticipant::OutcomeSeen{outcome}, At(i * 0.001), actions);
      if (i % 1000 == 0) participant.Handle(RolloutParticipant::Tick{}, At(i * 0.001), actions);
    });
    slope.points.push_back({static_cast<double>(routes), cpu});
  }
  return slope;
}

}  // namespace

nlohmann::json MeasureRoleCosts(const MeasureOptions& options) {
  std::vector<Slope> slopes = {
      RouterCpu(options.seed), GenerationMemory(),  GenerationCpu(),    AdmissionMemory(),
      AdmissionCpu(),          BurnMemory(),        BurnCpu(),          IssuedKeyMemory(),
      SuspectMemory(),         RolloutBytes(false), RolloutBytes(true), RolloutCpu()};
  AddClaimSlopes(slopes);
  nlohmann::json list = nlohmann::json::array();
  for (const Slope& slope : slopes) list.push_back(ToJson(slope));
  return {{"measurement", "role-costs"}, {"seed", options.seed}, {"slopes", list}};
}

}  // namespace fulmarpoint
