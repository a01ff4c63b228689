#include <criterion/criterion.h>

#include <future>
#include <memory>
#include <nlohmann/json.hpp>

#include "application_standin.h"
#include "engine_standin.h"
#include "platform_standin.h"
#include "transport/http_client.h"
#include "transport/worker_pool.h"
#include "verification/token_function.h"

using namespace fulmarpoint;
using namespace fulmarpoint::standin;

namespace {

constexpr Duration kPollInterval = std::chrono::milliseconds(5);

/// A simulated service and its client, on one thread.
template <typename Standin, typename Options>
struct TestEnvironment {
  explicit TestEnvironment(Options options) {
    Run([this, options]() -> Task<void> {
      if constexpr (std::is_same_v<Standin, PlatformStandin>) {
        standin = std::make_unique<Standin>(pool.GetExecutor(), "s", options);
      } else {
        standin = std::make_unique<Standin>(pool.GetExecutor(), "s", false, options);
      }
      failed = static_cast<bool>(standin->Server().Listen("127.0.0.1:0"));
      co_return;
    });
    cr_assert_not(failed);
  }
  ~TestEnvironment() { pool.Stop(); }

  void Run(std::function<Task<void>()> body) {
    std::promise<void> done;
    Spawn(pool.GetExecutor(), [&]() -> Task<void> {
      co_await body();
      done.set_value();
    });
    done.get_future().get();
  }

  HttpResult Send(const std::string& method, const std::string& target, const std::string& body) {
    HttpResult result;
    Run([&]() -> Task<void> {
      HttpClientRequest request;
      request.address = standin->Server().Address();
      request.method = method;
      request.target = target;
      request.body = body;
      result = co_await client.Send(std::move(request));
    });
    return result;
  }
  nlohmann::json Json(const std::string& method, const std::string& target,
                      const std::string& body) {
    return nlohmann::json::parse(Send(method, target, body).reply.body, nullptr, false);
  }

  WorkerPool pool{1};
  HttpClient client{pool.GetExecutor(), HttpClientOptions()};
  std::unique_ptr<Standin> standin;
  bool failed = false;
};

using EngineEnvironment = TestEnvironment<EngineStandin, EngineOptions>;
using ApplicationEnvironment = TestEnvironment<ApplicationStandin, ApplicationOptions>;
using PlatformEnvironment = TestEnvironment<PlatformStandin, PlatformOptions>;

EngineOptions FastEngine() {
  EngineOptions options;
  options.token_interval = std::chrono::milliseconds(1);
  options.load_report_delay = Duration::zero();
  return options;
}

std::string StreamRequest(const std::string& id, const std::vector<std::string>& prefix) {
  const nlohmann::json request = {{"stream", id},           {"model", "draft"}, {"version", "v1"},
                                  {"prompt", "r1 hi"},      {"seed", 5},        {"max_tokens", 6},
                                  {"prefix_tokens", prefix}};
  return request.dump();
}

/// Returns the tokens of a complete reply, in the order of their positions from `first`.
std::vector<std::string> TokensOf(const std::string& body, std::uint64_t first) {
  std::vector<std::string> tokens;
  std::size_t begin = 0;
  while ((begin = body.find("data: ", begin)) != std::string::npos) {
    begin += 6;
    const nlohmann::json data =
        nlohmann::json::parse(body.substr(begin, body.find('\n', begin) - begin));
    if (data.contains("done")) {
      cr_assert_eq(data["total"].get<std::uint64_t>(), 6U);
      return tokens;
    }
    cr_assert_eq(data["position"].get<std::uint64_t>(), first + tokens.size());
    tokens.push_back(data["token"]);
  }
  cr_assert_fail("no end of the stream");
  return tokens;
}

std::vector<std::string> Expected(std::uint64_t first) {
  std::vector<std::string> tokens;
  for (std::uint64_t i = first; i < 6; ++i) tokens.push_back(TokenAt("draft", "v1", "r1 hi", 5, i));
  return tokens;
}

}  // namespace

// A resumed stream must consist of exactly the remaining tokens. Otherwise the simulated engine
// would hide a loss of tokens or cause one.
Test(standin, engine_resumes_by_stream_and_by_prefix) {
  EngineEnvironment environment(FastEngine());
  const std::string all =
      environment.Send("POST", "/v1/streams", StreamRequest("a", {})).reply.body;
  cr_assert(TokensOf(all, 0) == Expected(0));
  cr_assert(TokensOf(environment.Send("GET", "/v1/streams/a?from=4", "").reply.body, 4) ==
            Expected(4));
  const std::vector<std::string> prefix = {Expected(0)[0], Expected(0)[1]};
  const std::string resumed =
      environment.Send("POST", "/v1/streams", StreamRequest("b", prefix)).reply.body;
  cr_assert(TokensOf(resumed, 2) == Expected(2));
  cr_assert_eq(environment.Send("GET", "/v1/streams/none?from=0", "").reply.status, 404);
  cr_assert_eq(environment.Send("DELETE", "/v1/streams/a", "").reply.status, 204);
  cr_assert_eq(environment.Send("GET", "/v1/streams/a?from=4", "").reply.status, 404);
}

// Guards against a malformed request being reported as a failure of the engine.
Test(standin, malformed_requests_are_refused) {
  EngineEnvironment environment(FastEngine());
  cr_assert_eq(environment.Send("POST", "/v1/streams", "{").reply.status, 400);
  cr_assert_eq(environment.Send("POST", "/v1/streams", R"({"stream":"a","model":5})").reply.status,
               400);
  cr_assert_eq(environment.Send("POST", "/control", R"({"action":"none"})").reply.status, 400);
}

// Guards against a resumption from a wrong prefix that continues with the correct tokens, so that
// tests would not detect the wrong prefix.
Test(standin, wrong_prefix_gives_other_tokens) {
  EngineEnvironment environment(FastEngine());
  const std::string body =
      environment.Send("POST", "/v1/streams", StreamRequest("a", {"x"})).reply.body;
  cr_assert(TokensOf(body, 1) != Expected(1));
}

// Guards against a simulated crash that keeps state which a real process would lose.
Test(standin, restarted_engine_has_a_new_incarnation_and_no_streams) {
  EngineEnvironment environment(FastEngine());
  environment.Send("POST", "/v1/streams", StreamRequest("a", {}));
  const auto before = environment.Json("GET", "/v1/load", "")["incarnation"].get<std::uint64_t>();
  cr_assert_eq(environment.Send("POST", "/control", R"({"action":"crash","restart_after_ms":1})")
                   .reply.status,
               200);
  nlohmann::json load;
  while (!load.is_object() || load["incarnation"].get<std::uint64_t>() == before) {
    environment.Run([]() { return Sleep(kPollInterval); });
    load = environment.Json("GET", "/v1/load", "");
  }
  cr_assert_eq(environment.Send("GET", "/v1/streams/a?from=0", "").reply.status, 404);
}

// Guards against an engine that never or always checks fencing tokens, which would make the tests
// of fencing meaningless.
Test(standin, stale_fencing_token_is_refused_only_if_obeyed) {
  EngineEnvironment environment(FastEngine());
  const std::string newer = R"({"order":"o","fencing_token":5,"action":"unload","version":"v9"})";
  const std::string older = R"({"order":"o","fencing_token":4,"action":"unload","version":"v9"})";
  cr_assert_eq(environment.Send("POST", "/v1/orders", newer).reply.status, 200);
  cr_assert_eq(environment.Send("POST", "/v1/orders", older).reply.status, 409);
  environment.Send("POST", "/control", R"({"action":"fencing","obey":false})");
  cr_assert_eq(environment.Send("POST", "/v1/orders", older).reply.status, 200);
}

// Guards against a lost reply whose request had no effect.
Test(standin, application_loses_a_reply_after_the_effect) {
  ApplicationOptions options;
  options.service_time = std::chrono::milliseconds(2);
  ApplicationEnvironment environment(options);
  environment.Send("POST", "/control", R"({"action":"lose_replies","count":1})");
  const HttpResult lost = environment.Send("POST", "/orders", "order-1");
  cr_assert(lost.error);
  cr_assert_not(lost.nothing_written);
  const HttpResult answered = environment.Send("POST", "/orders", "order-2");
  cr_assert_eq(answered.reply.body, AnswerTo("POST", "/orders", "order-2"));
  environment.Send("GET", "/orders", "");
  const nlohmann::json effects = environment.Json("GET", "/control/effects", "")["effects"];
  cr_assert_eq(effects.size(), 2U);
  cr_assert_eq(effects[0]["text"].get<std::string>(), "order-1");
}

// Guards against a table service without compare-and-set, and against a lost reply whose write was
// not applied.
Test(standin, platform_applies_transactions_atomically) {
  PlatformEnvironment environment(PlatformOptions{});
  const std::string insert =
      R"({"operations":[{"table":"t","key":"a","expect":0,"value":1},{"table":"t","key":"b/c","expect":0,"value":2}]})";
  cr_assert_eq(environment.Send("POST", "/transactions", insert).reply.status, 200);
  const HttpResult conflict = environment.Send(
      "POST", "/transactions",
      R"({"operations":[{"table":"t","key":"new","expect":0,"value":1},{"table":"t","key":"a","expect":0,"value":9}]})");
  cr_assert_eq(conflict.reply.status, 409);
  cr_assert_eq(environment.Send("GET", "/tables/t/rows/new", "").reply.status, 404);
  cr_assert_eq(environment.Json("GET", "/tables/t/rows/b%2Fc", "")["value"].get<int>(), 2);
  environment.Send("POST", "/control", R"({"action":"store","service":"tables","state":"lose"})");
  const std::string remove = R"({"operations":[{"table":"t","key":"a","expect":1,"value":null}]})";
  cr_assert(environment.Send("POST", "/transactions", remove).error);
  environment.Send("POST", "/control", R"({"action":"store","service":"tables","state":"up"})");
  cr_assert_eq(environment.Send("GET", "/tables/t/rows/a", "").reply.status, 404);
  cr_assert_eq(environment.Json("GET", "/tables/t/rows?since=1", "")["rows"].size(), 1U);
  cr_assert_eq(environment.Send("POST", "/transactions", insert.substr(0, insert.find(",{")) + "]}")
                   .reply.status,
               200);
}

// Guards against an instance list that shows changes without the configured delay.
Test(standin, instance_list_lags) {
  PlatformOptions options;
  options.list_lag = std::chrono::hours(1);
  PlatformEnvironment environment(options);
  environment.Send("POST", "/control",
                   R"({"action":"instances","list":[{"name":"e1","state":"live"}]})");
  environment.Send("POST", "/control", R"({"action":"instance","name":"e1","state":"leaving"})");
  cr_assert_eq(environment.Json("GET", "/instances", "")[0]["state"].get<std::string>(), "live");
  environment.Send("POST", "/control", R"({"action":"list_lag","ms":0})");
  cr_assert_eq(environment.Json("GET", "/instances", "")[0]["state"].get<std::string>(), "leaving");
}
