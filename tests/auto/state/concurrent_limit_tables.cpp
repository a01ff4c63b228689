#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

#include "state/admission_table.h"
#include "state/buffer_table.h"
#include "state/credit_table.h"
#include "state/suspect_table.h"
#include "utils/random.h"

using namespace fulmarpoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int kThreads = 4;
constexpr int kSteps = 3000;
constexpr std::uint64_t kSeed = 20261204;

/// Virtual time that all threads advance.
std::atomic<std::int64_t> g_now{1'000'000'000};

TimePoint Now() { return TimePoint(Duration(g_now.fetch_add(10))); }

void Require(bool condition, const char* what) {
  if (condition) return;
  std::fprintf(stderr, "failed: %s, seed %lu\n", what, static_cast<unsigned long>(kSeed));
  std::abort();
}

template <typename Work>
void RunThreads(Work work) {
  std::vector<std::thread> threads;
  for (int index = 0; index < kThreads; ++index) {
    threads.emplace_back([&work, index] {
      Random random(kSeed + static_cast<std::uint64_t>(index));
      work(index, random);
    });
  }
  for (std::thread& thread : threads) thread.join();
}

// Guards against more admitted requests than slots, and against requests that are admitted twice or
// never answered, when workers race. Actions of one call may concern requests of other threads.
void CheckAdmission() {
  constexpr int kSlots = 8;
  AdmissionTable table;
  CatalogueEntry entry;
  entry.service = "drafts";
  std::mutex mutex;
  std::vector<std::uint64_t> running;
  std::atomic<int> admitted{0};
  std::atomic<int> refused{0};
  std::atomic<int> ended{0};
  const auto carry_out = [&](const std::vector<AdmissionAction>& actions) {
    for (const AdmissionAction& action : actions) {
      if (const auto* admit = std::get_if<Admit>(&action)) {
        ++admitted;
        const std::lock_guard<std::mutex> lock(mutex);
        running.push_back(admit->request);
      } else {
        ++refused;
      }
    }
  };
  const auto end_one = [&] {
    std::uint64_t request = 0;
    {
      const std::lock_guard<std::mutex> lock(mutex);
      if (running.empty()) return false;
      request = running.back();
      running.pop_back();
    }
    ++ended;
    carry_out(table.Handle("drafts", AdmissionEnded{request}, Now()));
    return true;
  };
  RunThreads([&](int index, Random& random) {
    for (int step = 0; step < kSteps; ++step) {
      const std::uint64_t request = static_cast<std::uint64_t>(index) * kSteps + step + 1;
      const AdmissionRequested event{
          request, "org-" + std::to_string(random() % 5), 1,
          1000,    static_cast<Priority>(random() % 3),   Now() + seconds(60)};
      carry_out(table.Request(entry, event, kSlots, Now()));
      Require(table.LoadOf("drafts").running <= kSlots, "no more than the slots are admitted");
      if (random() % 4 != 0) end_one();
    }
  });
  while (end_one()) {
  }
  Require(table.LoadOf("drafts").running == 0 && table.LoadOf("drafts").waiting == 0, "all ended");
  Require(admitted == ended, "each admitted request ends once");
  Require(admitted + refused == kThreads * kSteps, "each request is answered once");
}

// Guards against two threads that take the same last credit.
void CheckCredits() {
  const InstanceId self{"daemon", 1};
  CreditTable table(self);
  std::atomic<int> in_use{0};
  const auto exchange = [&](const std::vector<CreditHolderAction>& actions) {
    for (const CreditHolderAction& action : actions) {
      const auto* send = std::get_if<SendCreditRequest>(&action);
      if (send == nullptr) continue;
      for (const CreditOwnerAction& grant :
           table.Handle(CreditRequestReceived{send->request}, Now())) {
        table.Handle(CreditGrantReceived{std::get<SendCreditGrant>(grant).grant}, Now());
      }
    }
  };
  const EndpointHash endpoint = StableHash("e1");
  table.Handle(CreditOwnerEvent(OwnedEndpointsChanged{{endpoint}}), Now());
  table.Handle(CreditOwnerEvent(OwnedLoadReported{endpoint, 16, 0, 0}), Now());
  exchange(table.Handle(SubsetChanged{{{"e1", "drafts", self}}}, Now()));
  g_now += Duration(seconds(6)).count();
  std::atomic<int> taken{0};
  RunThreads([&](int, Random& random) {
    int mine = 0;
    for (int step = 0; step < kSteps; ++step) {
      // Without reports for a while the owner would take this for a pause of the process.
      table.Handle(CreditOwnerEvent(OwnedLoadReported{endpoint, 16, in_use, 0}), Now());
      if (random() % 8 == 0) {
        g_now += Duration(milliseconds(100)).count();
        exchange(table.Handle(CreditTimerFired{}, Now()));
        exchange(table.Handle(CreditDemandChanged{"drafts", 4}, Now()));
      }
      if (random() % 2 == 0 && table.Take("e1", Now())) {
        ++mine;
        ++taken;
        Require(++in_use <= 16, "no more credits than slots are in use");
      } else if (mine > 0) {
        --mine;
        --in_use;
        table.Return("e1");
      }
    }
    for (; mine > 0; --mine) {
      --in_use;
      table.Return("e1");
    }
  });
  Require(taken > 0, "credits were granted");
}

// Guards against two workers that place suspects at the same endpoint at the same time.
void CheckSuspects() {
  SuspectTable table;
  constexpr int kEndpoints = 3;
  for (Fingerprint fingerprint = 1; fingerprint <= 40; ++fingerprint) {
    table.Handle(AttemptStarted{fingerprint, fingerprint, "lost", 1}, Now());
  }
  table.Handle(EndpointProcessLost{"lost", 1}, Now());
  for (Fingerprint fingerprint = 1; fingerprint <= 40; ++fingerprint) {
    table.Handle(AttemptEnded{fingerprint, AttemptEnd::kLost}, Now());
  }
  std::vector<std::atomic<int>> present(kEndpoints);
  std::atomic<std::uint64_t> next_run{1000};
  std::atomic<int> started{0};
  RunThreads([&](int, Random& random) {
    for (int step = 0; step < kSteps; ++step) {
      const int endpoint = static_cast<int>(random() % kEndpoints);
      const Fingerprint fingerprint = 1 + random() % 40;
      const std::uint64_t run = ++next_run;
      std::vector<CrashSuspectsAction> actions;
      const AttemptStarted start{run, fingerprint, "e" + std::to_string(endpoint), 1};
      if (!table.TryStart(start, true, Duration{}, Now(), actions)) continue;
      ++started;
      Require(++present[endpoint] == 1, "one suspect at an endpoint");
      std::this_thread::yield();
      --present[endpoint];
      table.Handle(AttemptEnded{run, AttemptEnd::kCancelled}, Now());
    }
  });
  Require(started > 0, "suspects were started");
}

// Guards against budgets that are exceeded, or accounts that drift, when streams race.
void CheckBuffers() {
  CallerBuffersSettings settings;
  settings.stream_high_water = 1000;
  settings.stream_low_water = 200;
  settings.organisation_budget = 10000;
  settings.daemon_budget = 20000;
  BufferTable table(settings);
  RunThreads([&](int index, Random& random) {
    const auto stream_of = [&] { return static_cast<std::uint64_t>(index) * 100 + random() % 50; };
    for (int step = 0; step < kSteps; ++step) {
      const std::uint64_t stream = stream_of();
      table.Handle(StreamOpened{stream, "org-" + std::to_string(stream % 3), true}, Now());
      table.Handle(StreamAppended{stream, random() % 400}, Now());
      Require(table.HeldBytes() <= 20000, "the daemon's budget holds");
      if (random() % 3 == 0) table.Handle(StreamDrained{stream_of(), random() % 400}, Now());
      if (random() % 5 == 0) table.Handle(BufferTimerFired{}, Now());
      if (random() % 7 == 0) table.Handle(StreamClosed{stream_of()}, Now());
    }
    for (int stream = 0; stream < 50; ++stream) {
      const std::uint64_t id = static_cast<std::uint64_t>(index) * 100 + stream;
      table.Handle(StreamClosed{id}, Now());
    }
  });
  Require(table.HeldBytes() == 0, "all bytes are accounted for");
}

}  // namespace

int main() {
  CheckAdmission();
  CheckCredits();
  CheckSuspects();
  CheckBuffers();
  std::printf("limit tables: no failure, seed %lu\n", static_cast<unsigned long>(kSeed));
  return 0;
}
