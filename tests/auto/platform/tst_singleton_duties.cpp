#include <criterion/criterion.h>

#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "duty_api_standin.h"
#include "platform_world.h"

using namespace fulmarpoint;

namespace {

constexpr char kOrganisation[] = "roastery";
constexpr char kUsageTable[] = "fulmarpoint-usage";
constexpr char kLeaseTable[] = "fulmarpoint-leases";
constexpr char kLeaseRow[] = "duties";
constexpr Duration kLeaseTime = std::chrono::seconds(1);
// For tests in which one daemon must not lose the lease, or the other must acquire it first.
constexpr Duration kLongLeaseTime = std::chrono::seconds(3);
constexpr Duration kWindow = std::chrono::seconds(2);
// Time within which traffic must bring about an order.
constexpr Duration kTrafficLimit = std::chrono::seconds(15);
// The epoch of the store is in the bits of a fencing token above these.
constexpr int kTokenVersionBits = 40;

const HttpHeaders kStreamHeaders = {{"Fulmarpoint-Model", "m"},
                                    {"Fulmarpoint-Token-Count", "600,80"},
                                    {"Fulmarpoint-Prompt-Prefix", "5c1e07a2:200,91bd3f06:400"}};

DutySettings UsageDuty(const DutyApiStandin& api) {
  DutySettings duties;
  duties.api_address = api.Address();
  duties.reports_usage = true;
  duties.lease_time = kLeaseTime;
  duties.usage_window = kWindow;
  duties.usage_due = 2 * kWindow;
  return duties;
}

UsageWindow WindowNow() { return std::chrono::milliseconds(WallNow()) / kWindow; }

UsageWindow WindowOf(const DutyApiCall& call) {
  return nlohmann::json::parse(call.body).at("window");
}

std::uint64_t CountOf(const DutyApiCall& call) {
  return nlohmann::json::parse(call.body).at("counts").value(kOrganisation, std::uint64_t{0});
}

/// Starts two daemons that perform the duties of the world's settings, and an endpoint for each
/// service.
Task<void> StartPair(PlatformWorld& world) {
  world.AddEndpoint("orders", "a");
  world.AddEndpoint("drafts", "a");
  co_await world.Start();
  world.peer = world.StartPeer("daemon-2");
  co_await PlatformWorld::WaitFor([&world]() { return world.peer->IsServing(); });
}

Task<void> Call(PlatformWorld& world, const RelayDaemon& daemon, std::string key, int status) {
  HttpClientRequest request;
  request.address = daemon.CallerAddress();
  request.method = "POST";
  request.target = "/place/x";
  request.host = "h.example";
  request.headers.push_back({"Fulmarpoint-Request-Id", "c" + std::to_string(++world.requests)});
  request.headers.push_back({"Fulmarpoint-Deadline-Ms", "5000"});
  request.headers.push_back({"Authorization", "Bearer " + key});
  request.timeout = std::chrono::seconds(10);
  const HttpResult result = co_await world.client->Send(std::move(request));
  cr_assert_eq(result.reply.status, status, "status %d", result.reply.status);
}

Task<void> CallTimes(PlatformWorld& world, const RelayDaemon& daemon, int times) {
  for (int i = 0; i < times; ++i) co_await Call(world, daemon, "key-1", 200);
}

/// Destroys the daemon with that name, as if its process had ended without a stop.
void Destroy(PlatformWorld& world, const std::string& name) {
  if (name == "daemon-1") world.daemon.reset();
  if (name == "daemon-2") world.peer.reset();
}

void AssertNoViolation(const DutyApiStandin& api) {
  cr_assert(api.Violation().empty(), "%s", api.Violation().c_str());
}

/// Waits until the API has received a report on a window in which requests began, and returns it.
Task<DutyApiCall> NonEmptyReport(DutyApiStandin& api) {
  const std::size_t seen = api.Calls().size();
  const auto find = [&api, seen]() {
    return std::find_if(api.Calls().begin() + static_cast<std::ptrdiff_t>(seen), api.Calls().end(),
                        [](const DutyApiCall& call) { return CountOf(call) > 0; });
  };
  co_await PlatformWorld::WaitFor([&api, &find]() { return find() != api.Calls().end(); });
  co_return *find();
}

Task<void> NothingWithoutDuties(PlatformWorld& world) {
  DutyApiStandin api(world.loop.GetExecutor());
  world.settings.duties = UsageDuty(api);
  world.settings.duties.reports_usage = false;
  co_await StartPair(world);
  co_await CallTimes(world, *world.daemon, 2);
  co_await Sleep(2 * kWindow);
  cr_assert(api.Calls().empty());
  cr_assert_not(world.store->Has(kLeaseTable, kLeaseRow));
}

Task<void> SumOfBothDaemons(PlatformWorld& world) {
  DutyApiStandin api(world.loop.GetExecutor());
  world.settings.duties = UsageDuty(api);
  co_await StartPair(world);
  co_await CallTimes(world, *world.daemon, 3);
  co_await CallTimes(world, *world.peer, 2);
  co_await Call(world, *world.peer, "unknown-key", 401);
  const HttpResult stream = co_await world.Send("POST", "/stream/x", kStreamHeaders);
  cr_assert_eq(stream.reply.status, 200);
  const UsageWindow last = WindowNow() + 1;
  co_await PlatformWorld::WaitFor([&api, last]() { return api.Reports().contains(last); });
  cr_assert_eq(api.Reported(kOrganisation), 6);
  std::set<UsageWindow> reported;
  for (const DutyApiCall& call : api.CallsWith(200)) {
    cr_assert(reported.insert(WindowOf(call)).second, "reported twice: %s", call.body.c_str());
  }
  for (UsageWindow window = *reported.begin(); window <= last; ++window) {
    cr_assert(reported.contains(window), "window %lld is missing", static_cast<long long>(window));
  }
  AssertNoViolation(api);
}

Task<void> SuccessorRepeatsTheReport(PlatformWorld& world) {
  DutyApiStandin api(world.loop.GetExecutor());
  world.settings.duties = UsageDuty(api);
  co_await StartPair(world);
  api.SetBehaviour(DutyApiBehaviour::kIgnore);
  co_await CallTimes(world, *world.daemon, 3);
  co_await CallTimes(world, *world.peer, 2);
  const DutyApiCall unanswered = co_await NonEmptyReport(api);
  Destroy(world, unanswered.holder);
  const UsageWindow window = WindowOf(unanswered);
  co_await PlatformWorld::WaitFor(
      [&api, &unanswered]() { return api.LastCall().holder != unanswered.holder; });
  api.SetBehaviour(DutyApiBehaviour::kExecute);
  co_await PlatformWorld::WaitFor([&api, window]() { return api.Reports().contains(window); });
  const std::vector<DutyApiCall> accepted = api.CallsWith(200);
  const auto repeat =
      std::find_if(accepted.begin(), accepted.end(),
                   [window](const DutyApiCall& call) { return WindowOf(call) == window; });
  cr_assert_eq(repeat->body, unanswered.body);
  cr_assert_neq(repeat->holder, unanswered.holder);
  cr_assert_gt(repeat->token, unanswered.token);
  AssertNoViolation(api);
}

Task<void> StoredCountsAreSent(PlatformWorld& world) {
  DutyApiStandin api(world.loop.GetExecutor());
  world.settings.duties = UsageDuty(api);
  co_await StartPair(world);
  const UsageWindow window = WindowNow() + 1;
  const UsageReport stored{window, {{kOrganisation, 41}}};
  world.store->Put(kUsageTable, RowKeyOf(window), ToJson(stored));
  co_await PlatformWorld::WaitFor([window]() { return WindowNow() == window; });
  co_await CallTimes(world, *world.daemon, 2);
  co_await PlatformWorld::WaitFor([&api, window]() { return api.Reports().contains(window); });
  cr_assert_eq(nlohmann::json::parse(api.Reports().at(window)).at(kOrganisation), 41);
  AssertNoViolation(api);
}

Task<void> HigherTokenAfterRestore(PlatformWorld& world) {
  DutyApiStandin api(world.loop.GetExecutor());
  world.settings.duties = UsageDuty(api);
  co_await StartPair(world);
  world.store->TakeCopy();
  co_await PlatformWorld::WaitFor([&api]() { return api.Reports().size() == 2; });
  const std::uint64_t before = api.LastCall().token;
  world.store->Restore();
  co_await PlatformWorld::WaitFor([&api, before]() { return api.LastCall().token != before; });
  const DutyApiCall call = api.LastCall();
  cr_assert_gt(call.token, before);
  cr_assert_gt(call.token >> kTokenVersionBits, before >> kTokenVersionBits);
  cr_assert_eq(call.status, 200);
  AssertNoViolation(api);
}

Task<void> RefusedHolderGivesUp(PlatformWorld& world) {
  DutyApiStandin api(world.loop.GetExecutor());
  world.settings.duties = UsageDuty(api);
  world.settings.duties.lease_time = kLongLeaseTime;
  co_await StartPair(world);
  api.SetBehaviour(DutyApiBehaviour::kFence);
  co_await PlatformWorld::WaitFor([&api]() { return !api.Calls().empty(); });
  api.SetBehaviour(DutyApiBehaviour::kExecute);
  const DutyApiCall refused = api.LastCall();
  co_await PlatformWorld::WaitFor([&api]() { return !api.Reports().empty(); });
  const DutyApiCall accepted = api.CallsWith(200).front();
  cr_assert_neq(accepted.holder, refused.holder);
  cr_assert_gt(accepted.token, refused.token);
  cr_assert_eq(accepted.body, refused.body);
  const std::size_t reports = api.Reports().size();
  co_await PlatformWorld::WaitFor([&api, reports]() { return api.Reports().size() > reports; });
  cr_assert_eq(api.CallsWith(409).size(), 1);
  AssertNoViolation(api);
}

/// Checks that a report is repeated with the same counts while the API behaves like this.
Task<void> Retried(PlatformWorld& world, DutyApiBehaviour behaviour) {
  DutyApiStandin api(world.loop.GetExecutor());
  world.settings.duties = UsageDuty(api);
  co_await StartPair(world);
  api.SetBehaviour(behaviour);
  co_await CallTimes(world, *world.daemon, 2);
  const DutyApiCall first = co_await NonEmptyReport(api);
  const UsageWindow window = WindowOf(first);
  const auto sent = [&api, window]() {
    return std::count_if(api.Calls().begin(), api.Calls().end(),
                         [window](const DutyApiCall& call) { return WindowOf(call) == window; });
  };
  co_await PlatformWorld::WaitFor([&sent]() { return sent() >= 2; });
  api.SetBehaviour(DutyApiBehaviour::kExecute);
  co_await PlatformWorld::WaitFor([&sent]() { return sent() >= 3; });
  co_await PlatformWorld::WaitFor([&api, window]() { return api.Reports().contains(window); });
  for (const DutyApiCall& call : api.Calls()) {
    if (WindowOf(call) == window) cr_assert_eq(call.body, first.body);
  }
  if (behaviour == DutyApiBehaviour::kExecuteLate) {
    co_await PlatformWorld::WaitFor([&api]() { return api.LateCalls() >= 2; });
  }
  AssertNoViolation(api);
}

Task<void> RetriedAfterThrottling(PlatformWorld& world) {
  return Retried(world, DutyApiBehaviour::kThrottle);
}

Task<void> RetriedAfterSilence(PlatformWorld& world) {
  return Retried(world, DutyApiBehaviour::kIgnore);
}

Task<void> RetriedBeforeLateExecution(PlatformWorld& world) {
  return Retried(world, DutyApiBehaviour::kExecuteLate);
}

Task<void> OneCallAtATime(PlatformWorld& world) {
  // A call without a reply ends after one second.
  constexpr Duration kMinInterval = std::chrono::milliseconds(700);
  constexpr std::size_t kCalls = 5;
  DutyApiStandin api(world.loop.GetExecutor());
  world.settings.duties = UsageDuty(api);
  world.settings.duties.lease_time = kLongLeaseTime;
  world.settings.duties.usage_window = std::chrono::milliseconds(500);
  world.settings.duties.usage_due = std::chrono::seconds(1);
  co_await StartPair(world);
  api.SetBehaviour(DutyApiBehaviour::kIgnore);
  const std::size_t before = api.Calls().size();
  co_await PlatformWorld::WaitFor([&]() { return api.Calls().size() == before + kCalls; });
  for (std::size_t i = before + 1; i < before + kCalls; ++i) {
    const Duration interval = api.Calls()[i].received - api.Calls()[i - 1].received;
    cr_assert_gt(interval.count(), kMinInterval.count());
  }
  AssertNoViolation(api);
}

Task<void> LeaseIsReleasedByAStop(PlatformWorld& world) {
  DutyApiStandin api(world.loop.GetExecutor());
  world.settings.duties = UsageDuty(api);
  world.AddEndpoint("orders", "a");
  co_await world.Start();
  co_await PlatformWorld::WaitFor([&api]() { return !api.Reports().empty(); });
  // The store executes the renewal that is in progress after the lease was released.
  world.store->Hang(true);
  co_await Sleep(kLeaseTime * 2 / 3);
  world.daemon->RequestStop([]() {});
  const std::uint64_t token = api.LastCall().token;
  world.store->Hang(false);
  co_await PlatformWorld::WaitFor(
      [&world]() { return world.store->Value(kLeaseTable, kLeaseRow) == "released"; });
  co_await Sleep(kLeaseTime);
  cr_assert_eq(world.store->Value(kLeaseTable, kLeaseRow), "released");
  cr_assert_eq(api.LastCall().token, token);
  AssertNoViolation(api);
}

/// Returns the configuration of `PlatformWorld` with limits for the engines of service "drafts".
/// New engines start so slowly that no order is decided again within the test.
std::string ScaledConfiguration() {
  std::string text = PlatformWorld::Configuration(2);
  const std::string before = R"("engine":{"slots":8)";
  text.insert(text.find(before), R"("scale":{"min":2,"max":6,"bootS":30.0},)");
  return text;
}

Task<void> EnginesAreOrdered(PlatformWorld& world) {
  DutyApiStandin api(world.loop.GetExecutor());
  world.settings.duties = UsageDuty(api);
  world.settings.duties.reports_usage = false;
  world.settings.duties.orders_engines = true;
  world.AddEndpoint("drafts", "b");
  co_await StartPair(world);
  world.store->Put("op", "config", ScaledConfiguration());
  api.SetBehaviour(DutyApiBehaviour::kIgnore);
  const TimePoint limit = SteadyNow() + kTrafficLimit;
  const auto has_ordered = [&api](const char* domain) {
    return std::any_of(api.Calls().begin(), api.Calls().end(), [domain](const DutyApiCall& call) {
      return call.subject == std::string("/scale/drafts/") + domain;
    });
  };
  while (!has_ordered("a") || !has_ordered("b")) {
    cr_assert(SteadyNow() < limit, "no engines were ordered");
    co_await world.Send("POST", "/stream/x", kStreamHeaders);
  }
  for (const DutyApiCall& call : api.Calls()) {
    cr_assert_eq(nlohmann::json::parse(call.body).at("desired"), 2, "%s", call.body.c_str());
  }
  api.SetBehaviour(DutyApiBehaviour::kExecute);
  co_await PlatformWorld::WaitFor([&api]() { return api.CallsWith(200).size() >= 2; });
  const std::vector<DutyApiCall> accepted = api.CallsWith(200);
  cr_assert_neq(accepted[0].subject, accepted[1].subject);
  AssertNoViolation(api);
}

Task<void> StatusNamesTheHolder(PlatformWorld& world) {
  DutyApiStandin api(world.loop.GetExecutor());
  world.settings.duties = UsageDuty(api);
  co_await StartPair(world);
  co_await PlatformWorld::WaitFor([&api]() { return !api.Reports().empty(); });
  const DutyApiCall call = api.LastCall();
  for (const RelayDaemon* daemon : {world.daemon.get(), world.peer.get()}) {
    HttpClientRequest request;
    request.address = daemon->MetricsAddress();
    request.target = "/duties";
    const HttpResult result = co_await world.client->Send(std::move(request));
    const nlohmann::json status = nlohmann::json::parse(result.reply.body);
    cr_assert_eq(status.at("holder"), call.holder);
    cr_assert_eq(status.at("fencing_token"), call.token);
  }
}

}  // namespace

// Guards against calls to the API and the store where a deployment has no duties.
Test(singleton_duties, nothing_is_called_without_duties) { RunTest(&NothingWithoutDuties); }

// Guards against windows that are reported twice, by one daemon only, or not at all.
Test(singleton_duties, usage_is_summed_over_the_daemons) { RunTest(&SumOfBothDaemons); }

// Guards against a second report on a window with other counts after the holder was lost.
Test(singleton_duties, a_successor_repeats_an_unanswered_report) {
  RunTest(&SuccessorRepeatsTheReport);
}

// Guards against a report with a daemon's own counts where others were decided before.
Test(singleton_duties, stored_counts_are_sent) { RunTest(&StoredCountsAreSent); }

// Guards against tokens that repeat because the rows of the store have earlier versions again.
Test(singleton_duties, the_token_increases_when_the_store_is_restored) {
  RunTest(&HigherTokenAfterRestore);
}

// Guards against a holder that goes on with a refused token.
Test(singleton_duties, a_refused_holder_gives_the_lease_up) { RunTest(&RefusedHolderGivesUp); }

// Guards against reports that are lost because the API did not accept them at once.
Test(singleton_duties, a_throttled_report_is_retried) { RunTest(&RetriedAfterThrottling); }
Test(singleton_duties, an_unanswered_report_is_retried) { RunTest(&RetriedAfterSilence); }

// Guards against a repeat that differs from a report that the API executes later.
Test(singleton_duties, a_late_report_is_a_duplicate) { RunTest(&RetriedBeforeLateExecution); }

// Guards against concurrent calls with the same fencing token when the API is slow.
Test(singleton_duties, reports_are_sent_one_after_the_other) { RunTest(&OneCallAtATime); }

// Guards against a successor that waits for the end of the lease after a planned stop.
Test(singleton_duties, a_stopped_holder_releases_the_lease) { RunTest(&LeaseIsReleasedByAStop); }

// Guards against orders outside the limits, for one failure domain only, or given up when the API
// does not reply.
Test(singleton_duties, engines_are_ordered_and_orders_repeated) { RunTest(&EnginesAreOrdered); }

// Guards against operators that cannot see who performs the duties.
Test(singleton_duties, the_status_names_the_holder) { RunTest(&StatusNamesTheHolder); }
