#include "run_context.h"

#include <nlohmann/json.hpp>

namespace fulmarpoint::load {

std::string ChooseApiKey(RunContext& context, const std::string& api_key, int callers) {
  if (callers <= 1) return api_key;
  const std::uint64_t caller = context.random() % static_cast<std::uint64_t>(callers);
  return api_key + "-" + std::to_string(caller + 1);
}

Problem ParseProblem(const std::string& body) {
  Problem problem;
  const nlohmann::json json = nlohmann::json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object() || !json.contains("code") || !json["code"].is_number()) return problem;
  problem.code = static_cast<ResultCode>(json["code"].get<int>());
  problem.execution =
      ValueOf(kExecutionNames, json.value("execution", std::string())).value_or(problem.execution);
  if (json.contains("retry_after") && json["retry_after"].is_number()) {
    const double seconds = json["retry_after"].get<double>();
    problem.retry_after = Duration(static_cast<Duration::rep>(seconds * 1e6));
  }
  return problem;
}

void RecordProblem(RunContext& context, const std::string& request, int send,
                   const Problem& problem, const std::string& address) {
  context.Record(
      RefusalReceived{request, send, problem.code, problem.execution, context.DaemonName(address)});
  ++context.measurements.errors[std::string(InfoOf(problem.code).name)];
}

}  // namespace fulmarpoint::load
