#include <criterion/criterion.h>

#include <thread>

#include "fake_platform.h"
#include "server/dispatcher.h"
#include "server/endpoint_registry.h"
#include "server/request_log.h"
#include "state/credit_table.h"
#include "state/rollout_table.h"
#include "state/suspect_table.h"
#include "transport/http_client.h"
#include "utils/metrics.h"

using namespace fulmarpoint;

namespace {

struct Fixture {
  Fixture() {
    endpoints.Start(pool.GetExecutor());
    entry = std::make_shared<CatalogueEntry>();
    entry->service = "assistant";
    entry->model = "draft";
    entry->version = "v1";
    entry->versions = {"v1", "v2"};
    while (endpoints.Candidates(*entry).empty()) std::this_thread::yield();
  }
  ~Fixture() {
    endpoints.Stop();
    pool.Stop();
  }

  DispatchRequest MakeRequest() const {
    DispatchRequest request;
    request.entry = entry;
    request.fingerprint = 1;
    return request;
  }
  DispatchRejection ExpectRejection(const DispatchRequest& request) {
    const DispatchResult result = dispatcher.Choose(request);
    cr_assert(std::holds_alternative<DispatchRejection>(result));
    return std::get<DispatchRejection>(result);
  }
  DispatchChoice ExpectChoice(const DispatchRequest& request) {
    const DispatchResult result = dispatcher.Choose(request);
    cr_assert(std::holds_alternative<DispatchChoice>(result));
    return std::get<DispatchChoice>(result);
  }

  FakePlatform platform;
  WorkerPool pool{1};
  HttpClient http{pool.GetExecutor(), {}};
  InstanceListClient list{http, platform.Address(), std::chrono::seconds(5)};
  Metrics metrics;
  RequestLog log{16};
  RolloutTable rollouts{{"d1", 1}};
  SuspectTable suspects;
  EndpointRegistry endpoints{http, list, platform.MakeSettings().polling, metrics};
  Dispatcher dispatcher{endpoints, rollouts, suspects, metrics, log, "a"};
  std::shared_ptr<CatalogueEntry> entry;
};

}  // namespace

Test(dispatcher, chooses_an_endpoint_of_the_entry) {
  Fixture fixture;
  const DispatchChoice choice = fixture.ExpectChoice(fixture.MakeRequest());
  cr_assert_eq(choice.endpoint, "engine-1");
  cr_assert_eq(choice.version, "v1");
  cr_assert_eq(choice.address, fixture.platform.Address());
  fixture.dispatcher.Ended(choice.attempt, {DispatchEnd::kCompleted, {}, {}});
  // A second report of the same attempt has no effect.
  fixture.dispatcher.Ended(choice.attempt, {DispatchEnd::kLost, {}, {}});
}

// Guards against a generation that continues on another version because its own has none left.
Test(dispatcher, missing_version_is_reported_as_gone) {
  Fixture fixture;
  DispatchRequest request = fixture.MakeRequest();
  request.version = "v2";
  const DispatchRejection rejection = fixture.ExpectRejection(request);
  cr_assert(rejection.version_gone);
  cr_assert_eq(rejection.code, ResultCode::kNoEndpoint);
  request.version = "v1";
  request.excluded = {"engine-1"};
  cr_assert_not(fixture.ExpectRejection(request).version_gone);
}

// Guards against an attempt without a credit, which would exceed the slots of the endpoint.
Test(dispatcher, nothing_is_sent_without_a_credit) {
  Fixture fixture;
  CreditTable credits({"d1", 1});
  fixture.dispatcher.SetCredits(credits);
  const DispatchRejection rejection = fixture.ExpectRejection(fixture.MakeRequest());
  cr_assert_eq(rejection.code, ResultCode::kOverloaded);
  cr_assert_not(rejection.version_gone);
}

// Guards against a crash suspect that runs beside other requests, and against one that is held
// forever.
Test(dispatcher, suspect_is_held_until_it_may_run) {
  Fixture fixture;
  const DispatchChoice choice = fixture.ExpectChoice(fixture.MakeRequest());
  fixture.dispatcher.HandleSuspects(EndpointProcessLost{choice.endpoint, choice.incarnation});
  // Not `kLost`, which would also make the router avoid the endpoint.
  fixture.dispatcher.Ended(choice.attempt, {DispatchEnd::kCancelled, {}, {}});
  fixture.dispatcher.SetOwnership([](const EndpointId&) { return false; });
  const DispatchRejection held = fixture.ExpectRejection(fixture.MakeRequest());
  cr_assert(held.held);
  cr_assert_not(held.version_gone);
  // The endpoint is not owned, so the suspect runs there when it has been held for long enough.
  while (
      std::holds_alternative<DispatchRejection>(fixture.dispatcher.Choose(fixture.MakeRequest()))) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  DispatchRequest other = fixture.MakeRequest();
  other.fingerprint = 2;
  fixture.ExpectChoice(other);
}
