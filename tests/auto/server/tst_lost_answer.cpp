#include <criterion/criterion.h>

#include <thread>

#include "daemon_client.h"
#include "endpoints_fixture.h"
#include "expect_problem.h"
#include "fake_endpoints.h"
#include "server/daemon.h"

using namespace fulmarpoint;
using Json = nlohmann::json;

namespace {}  // namespace

// Guards against treating a call as not run because its answer was lost.
Test(lost_answer, lost_answer_may_have_run_and_is_not_retried) {
  EndpointsFixture fixture;
  fixture.endpoints.LoseAnswers(true);
  ExpectProblem(fixture.Order("k1", "one"), "endpoint_failed", "may_have_run");
  fixture.endpoints.LoseAnswers(false);
  // Admission rejects calls while the only endpoint is suspect; an idempotent call serves as its
  // trial. A rejection must not state `not_run` for a key whose call may have run.
  HttpReply reply = fixture.Order("k1", "one");
  for (int sends = 0; sends < 200; ++sends) {
    const Json json = Json::parse(reply.body);
    cr_assert_neq(json.value("execution", ""), "not_run", "%s", reply.body.c_str());
    if (json.value("name", "") != "refused_unchecked") break;
    fixture.client->Send("GET", "/v1/services/orders/items", "key-application");
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    reply = fixture.Order("k1", "one");
  }
  ExpectProblem(reply, "outcome_unknown", "may_have_run");
  cr_assert_eq(fixture.endpoints.Effects(), 1);
}
