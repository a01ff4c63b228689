#include <criterion/criterion.h>

#include <future>
#include <nlohmann/json.hpp>

#include "call_caller.h"
#include "generation_caller.h"
#include "transport/http_server.h"
#include "transport/worker_pool.h"
#include "verification/checker.h"
#include "verification/token_function.h"

using namespace fulmarpoint;
using namespace fulmarpoint::load;

namespace {

constexpr std::uint64_t kTokens = 8;

/// Daemon that fails the first attempt of each request and can deliver tokens twice after a
/// resumption.
class FakeDaemon {
 public:
  explicit FakeDaemon(const Executor& executor)
      : m_server(
            executor, HttpServerLimits(),
            [this](HttpExchange& exchange) { return Handle(exchange); },
            [](HttpRejection) {
              return HttpReply{400, {}, ""};
            }) {
    cr_assert_not(m_server.Listen("127.0.0.1:0"));
  }

  std::string Address() const { return m_server.Address(); }

  /// Number of tokens that a resumption delivers again.
  std::uint64_t redelivered_tokens = 0;
  std::vector<nlohmann::json> completions;
  std::vector<std::string> event_ids;
  std::vector<std::string> keys;

 private:
  Task<void> Handle(HttpExchange& exchange) {
    const std::string& target = exchange.Request().target;
    if (target.starts_with("/v1/lookup")) {
      HttpReply reply;
      reply.body = R"({"daemons":[{"address":")" + Address() + R"("}],"keep_seconds":10})";
      co_await exchange.Respond(std::move(reply));
    } else if (target == "/v1/completions") {
      co_await Complete(exchange);
    } else {
      co_await Call(exchange);
    }
  }

  Task<void> Complete(HttpExchange& exchange) {
    const nlohmann::json body = nlohmann::json::parse(exchange.Request().body);
    completions.push_back(body);
    const HttpHeaders& headers = exchange.Request().headers;
    event_ids.emplace_back(FindHeader(headers, "Last-Event-ID").value_or(""));
    const bool first = completions.size() == 1;
    std::uint64_t position = 0;
    if (!first) position = std::stoull(event_ids.back().substr(1)) + 1 - redelivered_tokens;
    HttpHeaders reply_headers;
    reply_headers.push_back({"Content-Type", "text/event-stream"});
    co_await exchange.StartStream(200, std::move(reply_headers));
    const std::uint64_t end = first ? kTokens / 2 : kTokens;
    for (; position < end; ++position) {
      const nlohmann::json data = TokenData(body, position);
      const std::string event =
          "id: p" + std::to_string(position) + "\ndata: " + data.dump() + "\n\n";
      co_await exchange.WriteChunk(event);
    }
    if (first) co_return;
    std::string done = "event: done\ndata: {\"total\":8}\n\n";
    co_await exchange.WriteChunk(std::move(done));
    co_await exchange.FinishStream();
  }

  static nlohmann::json TokenData(const nlohmann::json& body, std::uint64_t position) {
    const std::string token = TokenAt("draft", "v1", body["prompt"].get<std::string>(),
                                      body["seed"].get<std::uint64_t>(), position);
    return {{"position", position}, {"token", token}};
  }

  Task<void> Call(HttpExchange& exchange) {
    keys.emplace_back(FindHeader(exchange.Request().headers, "Idempotency-Key").value_or(""));
    HttpReply reply;
    if (keys.size() == 1) {
      reply.status = 502;
      reply.body = R"({"code":301,"name":"outcome_unknown","execution":"may_have_run"})";
    } else {
      reply.body = AnswerTo("POST", "/orders", exchange.Request().body);
    }
    co_await exchange.Respond(std::move(reply));
  }

  HttpServer m_server;
};

/// Runs one simulated caller against a fake daemon.
struct TestEnvironment {
  ~TestEnvironment() { pool.Stop(); }

  template <typename Caller, typename Load>
  std::vector<Violation> Run(const Load& load) {
    Caller caller(context, load, "r1");
    std::promise<void> done;
    Spawn(pool.GetExecutor(), [&]() -> Task<void> {
      co_await caller.Run();
      done.set_value();
    });
    done.get_future().get();
    context.Record(RequestStarted{"r1", "engine", "assistant", "v1"});
    return CheckHistory(context.history);
  }

  WorkerPool pool{1};
  FakeDaemon daemon{pool.GetExecutor()};
  RunContext context{pool.GetExecutor(), 5, {daemon.Address()}, {{daemon.Address(), "d1"}}};
};

GenerationLoad Generations() {
  GenerationLoad load;
  load.service = "assistant";
  load.model = "draft";
  return load;
}

}  // namespace

// Guards against callers that restart a generation instead of resuming it.
Test(load, caller_resumes_with_event_id_and_tokens) {
  TestEnvironment environment;
  const std::vector<Violation> violations = environment.Run<GenerationCaller>(Generations());
  cr_assert(violations.empty(), "%s",
            Describe(violations.front(), environment.context.history).c_str());
  cr_assert_eq(environment.daemon.completions.size(), 2U);
  cr_assert_eq(environment.daemon.event_ids[0], "");
  cr_assert_eq(environment.daemon.event_ids[1], "p3");
  cr_assert_eq(environment.daemon.completions[1]["prefix_tokens"].size(), kTokens / 2);
  cr_assert_eq(environment.context.measurements.tokens, kTokens);
}

// Guards against callers that drop tokens which a daemon delivers twice, so that no check sees
// them.
Test(load, repeated_token_is_reported) {
  TestEnvironment environment;
  environment.daemon.redelivered_tokens = 1;
  const std::vector<Violation> violations = environment.Run<GenerationCaller>(Generations());
  cr_assert_eq(violations.size(), 1U);
  cr_assert_eq(violations.front().guarantee, Guarantee::kP1);
}

// Guards against a retry with another idempotency key, which would place a second order.
Test(load, call_is_retried_with_the_same_key) {
  TestEnvironment environment;
  CallLoad load;
  load.service = "orders";
  const std::vector<Violation> violations = environment.Run<CallCaller>(load);
  cr_assert(violations.empty());
  cr_assert_eq(environment.daemon.keys.size(), 2U);
  cr_assert_not(environment.daemon.keys[0].empty());
  cr_assert_eq(environment.daemon.keys[0], environment.daemon.keys[1]);
}
