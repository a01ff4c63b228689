#include "verification/history.h"

#include <algorithm>

#include "utils/overloaded.h"

namespace fulmarpoint {

namespace {

std::string DescribeEvent(const HistoryEvent& event) {
  return std::visit(
      Overloaded{
          [](const RequestSent& e) {
            return "request_sent request=" + e.request + " send=" + std::to_string(e.send) +
                   " service=" + e.service;
          },
          [](const TokenReceived& e) {
            return "token_received request=" + e.request +
                   " position=" + std::to_string(e.position) + " token=" + e.token;
          },
          [](const AnswerReceived& e) {
            return "answer_received request=" + e.request + " total=" + std::to_string(e.total) +
                   " body=" + e.body;
          },
          [](const RefusalReceived& e) {
            return "refusal_received request=" + e.request + " send=" + std::to_string(e.send) +
                   " code=" + std::string(InfoOf(e.code).name) +
                   " execution=" + std::string(NameOf(kExecutionNames, e.execution)) +
                   " daemon=" + e.daemon;
          },
          [](const ConnectionLost& e) {
            return "connection_lost request=" + e.request + " daemon=" + e.daemon +
                   " moved=" + (e.moved ? "true" : "false");
          },
          [](const RequestAbandoned& e) { return "request_abandoned request=" + e.request; },
          [](const RequestAdmitted& e) {
            return "request_admitted request=" + e.request + " daemon=" + e.daemon +
                   " revision=" + std::to_string(e.revision);
          },
          [](const RequestStarted& e) {
            const char* work = e.work == WorkKind::kNew       ? "new"
                               : e.work == WorkKind::kResumed ? "resumed"
                                                              : "reconnected";
            return "request_started request=" + e.request + " endpoint=" + e.endpoint +
                   " version=" + e.version + " work=" + work;
          },
          [](const EffectApplied& e) {
            return "effect_applied request=" + e.request + " endpoint=" + e.endpoint;
          },
          [](const EndpointCrashed& e) { return "endpoint_crashed endpoint=" + e.endpoint; },
          [](const EndpointLeaving& e) {
            return "endpoint_leaving endpoint=" + e.endpoint +
                   " signal=" + std::string(NameOf(kLeavingSignalNames, e.signal));
          },
          [](const EndpointLive& e) { return "endpoint_live endpoint=" + e.endpoint; },
          [](const DaemonStarted& e) { return "daemon_started daemon=" + e.daemon; },
          [](const DaemonStopped& e) { return "daemon_stopped daemon=" + e.daemon; },
          [](const DaemonPaused& e) { return "daemon_paused daemon=" + e.daemon; },
          [](const DaemonUnpaused& e) { return "daemon_unpaused daemon=" + e.daemon; },
          [](const DaemonFenced& e) { return "daemon_fenced daemon=" + e.daemon; },
          [](const DaemonUnfenced& e) { return "daemon_unfenced daemon=" + e.daemon; },
          [](const DrainStarted& e) { return "drain_started daemon=" + e.daemon; },
          [](const RevisionAccepted& e) {
            return "revision_accepted revision=" + std::to_string(e.revision);
          },
          [](const RevisionInEffect& e) {
            return "revision_in_effect daemon=" + e.daemon +
                   " revision=" + std::to_string(e.revision);
          },
          [](const RolloutStarted& e) {
            return "rollout_started service=" + e.service + " version=" + e.version;
          },
          [](const VersionProven& e) {
            return "version_proven service=" + e.service + " version=" + e.version;
          },
          [](const VersionDeclaredBad& e) {
            return "version_declared_bad service=" + e.service + " version=" + e.version +
                   " daemon=" + e.daemon;
          },
      },
      event);
}

}  // namespace

void SortByTime(History& history) {
  std::stable_sort(history.begin(), history.end(),
                   [](const HistoryRecord& a, const HistoryRecord& b) { return a.at < b.at; });
}

std::string Describe(const HistoryRecord& record) {
  return std::to_string(record.at.time_since_epoch().count()) + " " + DescribeEvent(record.event);
}

}  // namespace fulmarpoint
