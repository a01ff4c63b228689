#include "server/call_session.h"

#include <utility>

#include "server/problem_reply.h"

namespace fulmarpoint {

Task<SessionResult> RunCall(Services&, CallRequest request, HttpExchange& exchange) {
  SessionResult result;
  result.code = ResultCode::kNoEndpoint;
  HttpReply reply = ProblemReply(
      result.code, "this daemon does not forward calls to " + request.entry->service + " yet");
  co_await exchange.Respond(std::move(reply));
  co_return result;
}

}  // namespace fulmarpoint
