#include <algorithm>
#include <map>
#include <optional>
#include <set>

#include "verification/checker.h"
#include "verification/token_function.h"

namespace fulmarpoint {

namespace {

/// Returns the index of the first `RequestSent` record of each request.
std::map<RequestName, std::size_t> FirstSends(const History& history) {
  std::map<RequestName, std::size_t> sends;
  for (std::size_t i = 0; i < history.size(); ++i) {
    if (const auto* sent = std::get_if<RequestSent>(&history[i].event)) {
      sends.emplace(sent->request, i);
    }
  }
  return sends;
}

const RequestSent& SentAt(const History& history, std::size_t index) {
  return std::get<RequestSent>(history[index].event);
}

/// Returns the versions of each service that occur anywhere in the history.
std::map<ServiceName, std::set<VersionName>> KnownVersions(const History& history) {
  std::map<ServiceName, std::set<VersionName>> versions;
  for (const HistoryRecord& record : history) {
    if (const auto* started = std::get_if<RequestStarted>(&record.event)) {
      versions[started->service].insert(started->version);
    } else if (const auto* rollout = std::get_if<RolloutStarted>(&record.event)) {
      versions[rollout->service].insert(rollout->version);
    }
  }
  return versions;
}

/// Returns the versions whose generation has `token` at its position.
std::set<VersionName> MatchingVersions(const TokenReceived& token, const RequestSent& sent,
                                       const std::set<VersionName>& versions) {
  std::set<VersionName> matching;
  for (const VersionName& version : versions) {
    if (TokenAt(sent.model, version, sent.prompt, sent.seed, token.position) == token.token) {
      matching.insert(version);
    }
  }
  return matching;
}

/// Tokens that the caller of a request has received so far.
struct Received {
  std::uint64_t next_position = 0;
  std::size_t last_record = 0;
};

}  // namespace

std::vector<Violation> CheckTokenSequence(const History& history) {
  std::vector<Violation> violations;
  std::map<RequestName, Received> received;
  for (std::size_t i = 0; i < history.size(); ++i) {
    if (const auto* token = std::get_if<TokenReceived>(&history[i].event)) {
      Received& state = received[token->request];
      if (token->position != state.next_position) {
        const bool repeated = token->position < state.next_position;
        violations.push_back({Guarantee::kP1,
                              token->request + (repeated ? ": token repeated" : ": token missing") +
                                  ", expected position " + std::to_string(state.next_position),
                              {state.last_record, i}});
      }
      state.next_position = std::max(state.next_position, token->position + 1);
      state.last_record = i;
    } else if (const auto* answer = std::get_if<AnswerReceived>(&history[i].event)) {
      const auto state = received.find(answer->request);
      const std::uint64_t count = state == received.end() ? 0 : state->second.next_position;
      if (answer->total != count) {
        violations.push_back({Guarantee::kP1,
                              answer->request + ": " + std::to_string(count) + " tokens of " +
                                  std::to_string(answer->total),
                              {i}});
      }
    }
  }
  return violations;
}

std::vector<Violation> CheckSingleGeneration(const History& history) {
  std::vector<Violation> violations;
  const std::map<RequestName, std::size_t> sends = FirstSends(history);
  const std::map<ServiceName, std::set<VersionName>> known = KnownVersions(history);
  std::map<RequestName, std::set<VersionName>> candidates;
  std::set<RequestName> reported;
  for (std::size_t i = 0; i < history.size(); ++i) {
    const auto* token = std::get_if<TokenReceived>(&history[i].event);
    if (token == nullptr || reported.contains(token->request)) continue;
    const auto send = sends.find(token->request);
    if (send == sends.end()) continue;
    const RequestSent& sent = SentAt(history, send->second);
    const auto versions = known.find(sent.service);
    if (versions == known.end()) continue;
    const std::set<VersionName> matching = MatchingVersions(*token, sent, versions->second);
    const auto [entry, first] = candidates.emplace(token->request, matching);
    if (!first) {
      std::erase_if(entry->second,
                    [&](const VersionName& version) { return !matching.contains(version); });
    }
    if (!entry->second.empty()) continue;
    reported.insert(token->request);
    violations.push_back(
        {Guarantee::kP2,
         token->request + (matching.empty() ? ": token of no generation of this request"
                                            : ": token of another version than those before"),
         {send->second, i}});
  }
  return violations;
}

std::vector<Violation> CheckAnswers(const History& history, const CheckerOptions& options) {
  std::vector<Violation> violations;
  const std::map<RequestName, std::size_t> sends = FirstSends(history);
  const std::map<ServiceName, std::set<VersionName>> known = KnownVersions(history);
  std::set<RequestName> ended;
  for (std::size_t i = 0; i < history.size(); ++i) {
    const HistoryEvent& event = history[i].event;
    if (const auto* refusal = std::get_if<RefusalReceived>(&event)) {
      ended.insert(refusal->request);
    } else if (const auto* abandoned = std::get_if<RequestAbandoned>(&event)) {
      ended.insert(abandoned->request);
    } else if (const auto* token = std::get_if<TokenReceived>(&event)) {
      const auto send = sends.find(token->request);
      if (send == sends.end()) {
        violations.push_back(
            {Guarantee::kP4, token->request + ": token for a request that was not sent", {i}});
        continue;
      }
      const RequestSent& sent = SentAt(history, send->second);
      const auto versions = known.find(sent.service);
      if (versions != known.end() && MatchingVersions(*token, sent, versions->second).empty()) {
        violations.push_back({Guarantee::kP4,
                              token->request + ": token of another request or prompt",
                              {send->second, i}});
      }
    } else if (const auto* answer = std::get_if<AnswerReceived>(&event)) {
      ended.insert(answer->request);
      const auto send = sends.find(answer->request);
      if (send == sends.end()) {
        violations.push_back(
            {Guarantee::kP4, answer->request + ": answer to a request that was not sent", {i}});
        continue;
      }
      const RequestSent& sent = SentAt(history, send->second);
      if (!sent.expected_answer.empty() && sent.expected_answer != answer->body) {
        violations.push_back(
            {Guarantee::kP4, answer->request + ": answer to another request", {send->second, i}});
      }
    }
  }
  if (!options.require_outcomes) return violations;
  for (const auto& [request, index] : sends) {
    if (ended.contains(request)) continue;
    violations.push_back({Guarantee::kP4, request + ": no answer and no error", {index}});
  }
  return violations;
}

std::vector<Violation> CheckNotRunRefusals(const History& history) {
  // A refusal applies to one send. Work at an endpoint is legitimate if any earlier send was not
  // refused as *not run*; otherwise one of the refusals was false.
  struct Send {
    std::size_t sent;
    std::optional<std::size_t> not_run;
  };
  std::map<RequestName, std::map<int, Send>> sends;
  for (std::size_t i = 0; i < history.size(); ++i) {
    if (const auto* sent = std::get_if<RequestSent>(&history[i].event)) {
      sends[sent->request].emplace(sent->send, Send{i, std::nullopt});
    } else if (const auto* refusal = std::get_if<RefusalReceived>(&history[i].event)) {
      if (refusal->execution != Execution::kNotRun) continue;
      const auto send = sends[refusal->request].find(refusal->send);
      if (send != sends[refusal->request].end()) send->second.not_run = i;
    }
  }
  std::vector<Violation> violations;
  for (std::size_t i = 0; i < history.size(); ++i) {
    const RequestName* request = nullptr;
    if (const auto* started = std::get_if<RequestStarted>(&history[i].event)) {
      request = &started->request;
    } else if (const auto* effect = std::get_if<EffectApplied>(&history[i].event)) {
      request = &effect->request;
    }
    if (request == nullptr || !sends.contains(*request)) continue;
    std::optional<std::size_t> refusal;
    bool has_legitimate_send = false;
    for (const auto& [number, send] : sends[*request]) {
      if (send.sent > i) continue;
      if (send.not_run.has_value()) {
        refusal = send.not_run;
      } else {
        has_legitimate_send = true;
      }
    }
    if (has_legitimate_send || !refusal.has_value()) continue;
    violations.push_back({Guarantee::kP5,
                          *request + ": refused as not run, but it reached an endpoint",
                          {*refusal, i}});
  }
  return violations;
}

std::vector<Violation> CheckAtMostOnce(const History& history) {
  const std::map<RequestName, std::size_t> sends = FirstSends(history);
  std::map<RequestName, std::vector<std::size_t>> starts;
  std::map<RequestName, std::vector<std::size_t>> effects;
  for (std::size_t i = 0; i < history.size(); ++i) {
    if (const auto* started = std::get_if<RequestStarted>(&history[i].event)) {
      starts[started->request].push_back(i);
    } else if (const auto* effect = std::get_if<EffectApplied>(&history[i].event)) {
      effects[effect->request].push_back(i);
    }
  }
  std::vector<Violation> violations;
  for (const auto& [request, index] : sends) {
    const RequestSent& sent = SentAt(history, index);
    if (sent.kind != RequestKind::kCall || sent.idempotent) continue;
    if (starts[request].size() > 1) {
      violations.push_back(
          {Guarantee::kP6, request + ": sent to endpoints more than once", starts[request]});
    }
    if (effects[request].size() > 1) {
      violations.push_back(
          {Guarantee::kP6, request + ": took effect more than once", effects[request]});
    }
  }
  return violations;
}

}  // namespace fulmarpoint
