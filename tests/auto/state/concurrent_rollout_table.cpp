// Guards against data races between workers that choose versions, report outcomes and receive
// directives, and against permits that are used twice. Runs under ThreadSanitizer.

#include <atomic>
#include <cstdio>
#include <thread>
#include <vector>

#include "state/burn_table.h"
#include "state/rollout_table.h"

using namespace fulmarpoint;

namespace {

constexpr int kThreads = 4;
constexpr int kRequestsPerThread = 5000;
constexpr std::uint32_t kPermits = 100;

CatalogueEntry MakeEntry() {
  CatalogueEntry entry;
  entry.service = "assistant";
  entry.version = "v1";
  entry.versions = {"v1", "v2"};
  entry.rollout = RolloutRequest{"move-1", "v1", "v2", 1};
  return entry;
}

}  // namespace

int main() {
  RolloutTable table({"daemon", 1});
  BurnTable burn;
  const CatalogueEntry entry = MakeEntry();
  const TimePoint now{};
  table.SetEntries({entry});
  const std::vector<RolloutReport> reports = table.Tick(now);
  RolloutDirective directive;
  directive.rollout = "move-1";
  directive.sequence = reports.at(0).sequence;
  directive.permits = kPermits;
  table.AddDirective(directive, now);
  std::atomic<std::uint32_t> chosen{0};
  std::vector<std::thread> threads;
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&] {
      for (int request = 0; request < kRequestsPerThread; ++request) {
        const VersionName version = table.ChooseVersion(entry, 2, now);
        if (version == "v2") ++chosen;
        VersionOutcome outcome;
        outcome.endpoint = "engine-1";
        outcome.latency = std::chrono::milliseconds(100);
        table.AddOutcome("assistant", version, outcome, now);
        burn.Add({"acme", "assistant"}, entry.objectives, now);
        if (request % 100 == 0) table.SetEntries({entry});
        if (request % 100 == 50) table.Tick(now + std::chrono::milliseconds(request));
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  const std::uint64_t counted = burn.Report("daemon", now).rows.at(0).windows[0].requests;
  std::printf("chosen %u of %u permits, counted %llu requests\n", chosen.load(), kPermits,
              static_cast<unsigned long long>(counted));
  const bool passed = chosen == kPermits && counted == kThreads * kRequestsPerThread;
  return passed ? 0 : 1;
}
