#include "server/generation_session.h"

#include <nlohmann/json.hpp>
#include <utility>
#include <variant>

#include "server/dispatcher.h"
#include "server/metrics.h"
#include "server/problem_reply.h"
#include "transport/http_client.h"

namespace fulmarpoint {

namespace {

using Json = nlohmann::json;

// Time in which the engine must answer with the head of its stream.
constexpr Duration kOpenTimeout = std::chrono::seconds(5);

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

HttpClientRequest ToEngineRequest(const GenerationRequest& request, const DispatchChoice& choice) {
  const Json body = {{"stream", ToString(request.id)},
                     {"model", request.entry->model},
                     {"version", choice.version},
                     {"adapter", request.adapter},
                     {"prompt", request.prompt},
                     {"prefix_tokens", request.prefix_tokens},
                     {"seed", request.seed},
                     {"max_tokens", request.max_tokens},
                     {"priority", "normal"}};
  HttpClientRequest open;
  open.address = choice.address;
  open.method = "POST";
  open.target = "/v1/streams";
  open.headers.push_back({"Content-Type", "application/json"});
  open.body = Dump(body);
  open.timeout = kOpenTimeout;
  return open;
}

/// Forwards the tokens of one stream. Returns the result of the request.
Task<SessionResult> Forward(Services& services, const GenerationRequest& request,
                            HttpExchange& exchange, HttpEventStream& stream,
                            const DispatchChoice& choice) {
  SessionResult result;
  ResumePoint point;
  point.request = request.id;
  point.endpoint = choice.endpoint;
  point.stream = ToString(request.id);
  point.version = choice.version;
  point.seed = request.seed;
  while (true) {
    const HttpEvent event = co_await stream.Next();
    const Json data = Json::parse(event.data, nullptr, false);
    if (event.error || event.end || !data.is_object()) {
      result.code = ResultCode::kCannotContinue;
      co_return result;
    }
    std::string text;
    const bool done = data.value("done", false);
    if (done) {
      text = "event: done\ndata: " + Dump(Json{{"total", data.value("total", std::uint64_t{0})}});
    } else {
      const std::string token = data.value("token", std::string());
      point.token_hash = ChainTokenHash(point.token_hash, token);
      ++point.position;
      services.metrics.CountToken();
      text =
          "id: " + services.event_ids.Encode(point, request.organisation) + "\ndata: " + Dump(data);
    }
    text += "\n\n";
    if (co_await exchange.WriteChunk(text)) {
      result.caller_gone = true;
      co_return result;
    }
    if (done) co_return result;
  }
}

}  // namespace

Task<SessionResult> RunGeneration(Services& services, GenerationRequest request,
                                  HttpExchange& exchange) {
  SessionResult result;
  DispatchRequest wanted;
  wanted.id = request.id;
  wanted.organisation = request.organisation;
  wanted.entry = request.entry;
  wanted.fingerprint = request.fingerprint;
  const DispatchResult chosen = services.dispatcher.Choose(wanted);
  if (const DispatchRefusal* refusal = std::get_if<DispatchRefusal>(&chosen)) {
    result.code = refusal->code;
    HttpReply reply = ProblemReply(refusal->code, refusal->reason, refusal->retry_after);
    co_await exchange.Respond(std::move(reply));
    co_return result;
  }
  const DispatchChoice& choice = std::get<DispatchChoice>(chosen);
  HttpClientRequest open = ToEngineRequest(request, choice);
  HttpStreamResult opened = co_await services.http.OpenStream(std::move(open));
  RunResult run;
  if (!opened.stream) {
    run.end = opened.nothing_written ? DispatchEnd::kNotConnected : DispatchEnd::kLost;
    services.dispatcher.Ended(choice.run, run);
    result.code = opened.nothing_written ? ResultCode::kNoEndpoint : ResultCode::kEndpointFailed;
    HttpReply reply = ProblemReply(result.code, "engine " + choice.endpoint + " did not answer");
    co_await exchange.Respond(std::move(reply));
    co_return result;
  }
  HttpHeaders headers = {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-store"}};
  if (co_await exchange.StartStream(200, std::move(headers))) result.caller_gone = true;
  if (!result.caller_gone) {
    result = co_await Forward(services, request, exchange, *opened.stream, choice);
  }
  if (result.code != ResultCode::kOk) {
    std::string text = "event: error\ndata: " +
                       ProblemDocument(result.code, "engine " + choice.endpoint + " failed") +
                       "\n\n";
    co_await exchange.WriteChunk(std::move(text));
  }
  co_await exchange.FinishStream();
  run.end = result.caller_gone               ? DispatchEnd::kCancelled
            : result.code == ResultCode::kOk ? DispatchEnd::kCompleted
                                             : DispatchEnd::kLost;
  services.dispatcher.Ended(choice.run, run);
  co_return result;
}

}  // namespace fulmarpoint
