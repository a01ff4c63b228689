#include "http_api/problem_reply.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace fulmarpoint {

namespace {

using Json = nlohmann::json;

constexpr Duration kRetryWhenFull = std::chrono::seconds(1);

double Seconds(Duration duration) {
  return std::ceil(std::chrono::duration<double>(duration).count() * 1000) / 1000;
}

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace

std::string ProblemDocument(ResultCode code, const std::string& detail, Duration retry_after) {
  const ResultCodeInfo& info = InfoOf(code);
  Json json = {{"type", "about:blank"},
               {"title", info.meaning},
               {"status", info.http_status},
               {"code", static_cast<int>(code)},
               {"name", info.name},
               {"execution", NameOf(kExecutionNames, info.execution)},
               {"detail", detail}};
  if (retry_after > Duration::zero()) json["retry_after"] = Seconds(retry_after);
  return Dump(json);
}

HttpReply ProblemReply(ResultCode code, const std::string& detail, Duration retry_after) {
  HttpReply reply;
  reply.status = InfoOf(code).http_status;
  reply.headers.push_back({"Content-Type", "application/problem+json"});
  if (retry_after > Duration::zero()) {
    const auto seconds = static_cast<std::int64_t>(std::ceil(Seconds(retry_after)));
    reply.headers.push_back({"Retry-After", std::to_string(seconds)});
  }
  reply.body = ProblemDocument(code, detail, retry_after);
  return reply;
}

HttpReply JsonReply(int status, const Json& body) {
  HttpReply reply;
  reply.status = status;
  reply.headers.push_back({"Content-Type", "application/json"});
  reply.body = Dump(body);
  return reply;
}

HttpReply RejectionReply(HttpRejection rejection) {
  switch (rejection) {
    case HttpRejection::kMalformed:
      return ProblemReply(ResultCode::kBadRequest, "the request is not valid HTTP/1.1");
    case HttpRejection::kHeadTooLarge:
      return ProblemReply(ResultCode::kTooLarge, "the request head exceeds 16 KiB");
    case HttpRejection::kUrlTooLong:
      return ProblemReply(ResultCode::kTooLarge, "the URL exceeds 8 KiB");
    case HttpRejection::kBodyTooLarge:
      return ProblemReply(ResultCode::kTooLarge, "the request body exceeds the daemon's limit");
    case HttpRejection::kTimeout:
      return ProblemReply(ResultCode::kRequestTimeout, "the request did not arrive in time");
    case HttpRejection::kTooManyConnections:
      return ProblemReply(ResultCode::kOverloaded,
                          "this daemon has no connection left; use another of the lookup",
                          kRetryWhenFull);
    case HttpRejection::kBodyMemoryLimit:
      return ProblemReply(ResultCode::kMemoryLimit,
                          "this daemon has no memory left for request bodies; use another one",
                          kRetryWhenFull);
    case HttpRejection::kHandlerFailed:
      break;
  }
  return ProblemReply(ResultCode::kInternal, "the daemon's log names the reason");
}

}  // namespace fulmarpoint
