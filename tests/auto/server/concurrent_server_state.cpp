// Guards against data races and lost updates in the state that the workers of a daemon share.
#include <atomic>
#include <cstdio>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "server/catalogue_view.h"
#include "server/lookup.h"
#include "server/request_checks.h"
#include "server/request_log.h"
#include "server/running_requests.h"
#include "transport/worker_pool.h"
#include "utils/metrics.h"

using namespace fulmarpoint;

namespace {

constexpr int kThreads = 4;
constexpr int kRounds = 2000;

std::atomic<int> failures{0};

void Expect(bool condition, const char* what) {
  if (condition) return;
  std::printf("failed: %s\n", what);
  ++failures;
}

void RunInThreads(const std::function<void(int)>& work) {
  std::vector<std::thread> threads;
  for (int i = 0; i < kThreads; ++i) threads.emplace_back(work, i);
  for (std::thread& thread : threads) thread.join();
}

std::shared_ptr<const CatalogueEntry> MakeEntry(const std::string& service,
                                                std::uint64_t revision) {
  const std::shared_ptr<CatalogueEntry> entry = std::make_shared<CatalogueEntry>();
  entry->service = service;
  entry->revision = revision;
  entry->organisations.push_back({"org", {"hash-" + service}, 1, 1});
  return entry;
}

void TestCatalogueOnlyAdvances() {
  CatalogueView view;
  std::atomic<std::uint64_t> last_listened{0};
  view.SetListener([&](const CatalogueSnapshot& snapshot) {
    Expect(snapshot.revision > last_listened.exchange(snapshot.revision),
           "listener is called in order of revision");
  });
  std::atomic<std::uint64_t> next{1};
  RunInThreads([&](int) {
    std::uint64_t seen = 0;
    for (int i = 0; i < kRounds; ++i) {
      const std::uint64_t revision = next++;
      view.Apply(revision, {MakeEntry("s", revision)}, {});
      const std::shared_ptr<const CatalogueSnapshot> current = view.Current();
      Expect(current->revision >= seen, "revision does not decrease");
      Expect(current->Find("s")->entry->revision == current->revision, "snapshot is consistent");
      seen = current->revision;
      view.SetFreshness([](const CatalogueEntry&) { return true; });
      Expect(view.MayServe(*current->Find("s")->entry), "fresh entry may be served");
    }
  });
}

void TestRunningRequestsAreCounted() {
  WorkerPool pool(2);
  RunningRequests running(kThreads);
  std::atomic<int> hand_offs{0};
  RunInThreads([&](int index) {
    const Executor strand = MakeStrand(pool.GetExecutor());
    for (int i = 0; i < kRounds; ++i) {
      RunningRequests::Entry entry = running.Begin();
      Expect(entry.IsAccepted(), "ended requests do not count towards the limit");
      entry.OnHandOff(strand, [&]() { ++hand_offs; });
      if (index == 0 && i % 100 == 0) running.HandOffAll();
    }
  });
  Expect(running.Count() == 0, "all requests have ended");
  Expect(hand_offs > 0, "hand-offs are delivered");
}

void TestRequestLogIsBounded() {
  RequestLog log(64);
  RunInThreads([&](int) {
    for (int i = 0; i < kRounds; ++i) {
      const RequestId id = NewRequestId();
      log.Begin(id, "org", "service");
      log.Add(id, "what", "reason");
      log.End(id, "ok");
      const std::optional<RequestRecord> record = log.Find(ToString(id));
      if (record) Expect(record->decisions.size() == 1, "decision is recorded once");
    }
  });
}

void TestMetricsAreCounted() {
  Metrics metrics;
  RunInThreads([&](int) {
    for (int i = 0; i < kRounds; ++i) {
      metrics.Count("events", i % 2 == 0 ? "even" : "odd");
      // Values from outside must not grow the metrics without bound.
      metrics.Count("labels", std::to_string(i));
      metrics.Observe("wait", "", std::chrono::milliseconds(1));
      if (i % 500 == 0) metrics.Text();
    }
  });
  const std::string text = metrics.Text();
  const std::string expected = std::to_string(kThreads * kRounds / 2);
  Expect(text.find("fulmarpoint_events_total{kind=\"even\"} " + expected) != std::string::npos,
         "events are counted");
  Expect(text.size() < 20'000, "labels are bounded");
}

void TestLookupDirectory() {
  LookupDirectory directory;
  RunInThreads([&](int) {
    for (int i = 0; i < kRounds; ++i) {
      directory.SetDaemons([]() { return std::vector<EntryDaemon>{{"d", "a", "f", false}}; });
      Expect(directory.Daemons().size() == 1, "source is complete");
    }
  });
}

}  // namespace

int main() {
  TestCatalogueOnlyAdvances();
  TestRunningRequestsAreCounted();
  TestRequestLogIsBounded();
  TestMetricsAreCounted();
  TestLookupDirectory();
  std::printf("%d failures\n", failures.load());
  return failures == 0 ? 0 : 1;
}
