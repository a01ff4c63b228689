#include <cmath>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "verification/checker.h"

namespace fulmarpoint {

namespace {

using ServiceVersion = std::pair<ServiceName, VersionName>;

/// Requests of a service, and of the version in rollout, since the rollout began.
struct CanaryTraffic {
  std::size_t started_record = 0;
  std::uint64_t service_requests = 0;
  std::uint64_t version_requests = 0;
  bool proven = false;
  bool reported = false;
};

/// State of a daemon at a point of the history.
struct DaemonView {
  bool running = false;
  bool paused = false;
  bool fenced = false;
  TimePoint running_since;
  std::uint64_t revision = 0;
  std::size_t revision_record = 0;
};

struct AcceptedRevision {
  std::uint64_t revision = 0;
  TimePoint at;
  std::size_t record = 0;
};

void ApplyDaemonEvent(const HistoryRecord& record, std::map<std::string, DaemonView>& daemons) {
  const HistoryEvent& event = record.event;
  if (const auto* started = std::get_if<DaemonStarted>(&event)) {
    daemons[started->daemon] = DaemonView{.running = true, .running_since = record.at};
  } else if (const auto* stopped = std::get_if<DaemonStopped>(&event)) {
    daemons[stopped->daemon].running = false;
  } else if (const auto* paused = std::get_if<DaemonPaused>(&event)) {
    daemons[paused->daemon].paused = true;
  } else if (const auto* unpaused = std::get_if<DaemonUnpaused>(&event)) {
    daemons[unpaused->daemon].paused = false;
    daemons[unpaused->daemon].running_since = record.at;
  } else if (const auto* fenced = std::get_if<DaemonFenced>(&event)) {
    daemons[fenced->daemon].fenced = true;
  } else if (const auto* unfenced = std::get_if<DaemonUnfenced>(&event)) {
    daemons[unfenced->daemon].fenced = false;
  }
}

/// Reports daemons that still accept work under a revision older than `accepted` at `deadline`.
void CheckRevisionDeadline(const AcceptedRevision& accepted, TimePoint deadline,
                           const CheckerOptions& options,
                           const std::map<std::string, DaemonView>& daemons,
                           std::vector<Violation>& violations) {
  for (const auto& [name, view] : daemons) {
    if (!view.running || view.paused || view.fenced) continue;
    // A daemon that started or was unpaused after the change has the whole limit from that time on.
    // Until then only its `RequestAdmitted` records are checked.
    if (view.running_since + options.catalogue_limit > deadline) continue;
    if (view.revision >= accepted.revision) continue;
    violations.push_back({Guarantee::kP9,
                          name + ": revision " + std::to_string(view.revision) + " instead of " +
                              std::to_string(accepted.revision) + " after the limit",
                          {accepted.record, view.revision_record}});
  }
}

}  // namespace

std::vector<Violation> CheckRolloutTraffic(const History& history, const CheckerOptions& options) {
  std::vector<Violation> violations;
  std::map<ServiceVersion, CanaryTraffic> canaries;
  std::map<ServiceVersion, std::size_t> bad;
  for (std::size_t i = 0; i < history.size(); ++i) {
    const HistoryEvent& event = history[i].event;
    if (const auto* rollout = std::get_if<RolloutStarted>(&event)) {
      canaries[{rollout->service, rollout->version}] = CanaryTraffic{.started_record = i};
    } else if (const auto* proven = std::get_if<VersionProven>(&event)) {
      canaries[{proven->service, proven->version}].proven = true;
    } else if (const auto* declared = std::get_if<VersionDeclaredBad>(&event)) {
      bad.emplace(ServiceVersion{declared->service, declared->version}, i);
    }
    const auto* started = std::get_if<RequestStarted>(&event);
    if (started == nullptr || started->work != WorkKind::kNew) continue;
    const auto declared_bad = bad.find({started->service, started->version});
    if (declared_bad != bad.end() &&
        history[i].at > history[declared_bad->second].at + options.bad_version_limit) {
      violations.push_back({Guarantee::kP3,
                            started->version + ": new work after it was declared bad",
                            {declared_bad->second, i}});
    }
    for (auto& [key, canary] : canaries) {
      if (key.first != started->service || canary.proven) continue;
      ++canary.service_requests;
      if (key.second == started->version) ++canary.version_requests;
      const double allowed =
          std::floor(options.canary_share * static_cast<double>(canary.service_requests) + 1e-9);
      const bool exceeded =
          canary.version_requests > static_cast<std::uint64_t>(allowed) + options.canary_slack;
      if (!exceeded || canary.reported) continue;
      canary.reported = true;
      violations.push_back({Guarantee::kP3,
                            key.second + ": " + std::to_string(canary.version_requests) + " of " +
                                std::to_string(canary.service_requests) +
                                " requests while unproven",
                            {canary.started_record, i}});
    }
  }
  return violations;
}

std::vector<Violation> CheckLeavingEndpoints(const History& history,
                                             const CheckerOptions& options) {
  std::vector<Violation> violations;
  std::map<EndpointId, std::size_t> leaving;
  for (std::size_t i = 0; i < history.size(); ++i) {
    const HistoryEvent& event = history[i].event;
    if (const auto* signal = std::get_if<EndpointLeaving>(&event)) {
      leaving.emplace(signal->endpoint, i);
    } else if (const auto* live = std::get_if<EndpointLive>(&event)) {
      leaving.erase(live->endpoint);
    }
    const auto* started = std::get_if<RequestStarted>(&event);
    if (started == nullptr || started->work == WorkKind::kReconnected) continue;
    const auto signal = leaving.find(started->endpoint);
    if (signal == leaving.end()) continue;
    if (history[i].at <= history[signal->second].at + options.leaving_limit) continue;
    violations.push_back({Guarantee::kP7,
                          started->endpoint + ": new work after it announced that it is leaving",
                          {signal->second, i}});
  }
  return violations;
}

std::vector<Violation> CheckPlannedShutdown(const History& history) {
  std::vector<Violation> violations;
  std::map<std::string, std::size_t> draining;
  std::set<RequestName> with_tokens;
  for (std::size_t i = 0; i < history.size(); ++i) {
    const HistoryEvent& event = history[i].event;
    if (const auto* drain = std::get_if<DrainStarted>(&event)) {
      draining.emplace(drain->daemon, i);
    } else if (const auto* started = std::get_if<DaemonStarted>(&event)) {
      draining.erase(started->daemon);
    } else if (const auto* token = std::get_if<TokenReceived>(&event)) {
      with_tokens.insert(token->request);
    } else if (const auto* lost = std::get_if<ConnectionLost>(&event)) {
      const auto drain_record = draining.find(lost->daemon);
      if (lost->moved || drain_record == draining.end()) continue;
      violations.push_back(
          {Guarantee::kP8,
           lost->request + ": connection lost in a planned shutdown of " + lost->daemon,
           {drain_record->second, i}});
    } else if (const auto* refusal = std::get_if<RefusalReceived>(&event)) {
      const auto drain_record = draining.find(refusal->daemon);
      if (refusal->code != ResultCode::kDraining || drain_record == draining.end()) continue;
      if (!with_tokens.contains(refusal->request)) continue;
      violations.push_back(
          {Guarantee::kP8,
           refusal->request + ": ended by a planned shutdown of " + refusal->daemon,
           {drain_record->second, i}});
    }
  }
  return violations;
}

std::vector<Violation> CheckCatalogue(const History& history, const CheckerOptions& options) {
  std::vector<Violation> violations;
  std::map<std::string, DaemonView> daemons;
  std::map<std::uint64_t, AcceptedRevision> accepted;
  std::vector<AcceptedRevision> pending;
  for (std::size_t i = 0; i < history.size(); ++i) {
    const HistoryRecord& record = history[i];
    std::erase_if(pending, [&](const AcceptedRevision& entry) {
      const TimePoint deadline = entry.at + options.catalogue_limit;
      if (deadline >= record.at) return false;
      CheckRevisionDeadline(entry, deadline, options, daemons, violations);
      return true;
    });
    ApplyDaemonEvent(record, daemons);
    if (const auto* change = std::get_if<RevisionAccepted>(&record.event)) {
      const AcceptedRevision entry{change->revision, record.at, i};
      const auto [earlier, is_first] = accepted.emplace(change->revision, entry);
      if (!is_first) {
        violations.push_back(
            {Guarantee::kP9,
             "two changes were accepted as revision " + std::to_string(change->revision),
             {earlier->second.record, i}});
      }
      pending.push_back(entry);
    } else if (const auto* effect = std::get_if<RevisionInEffect>(&record.event)) {
      DaemonView& view = daemons[effect->daemon];
      if (effect->revision < view.revision) {
        violations.push_back(
            {Guarantee::kP9,
             effect->daemon + ": went back to revision " + std::to_string(effect->revision),
             {view.revision_record, i}});
      }
      view.revision = effect->revision;
      view.revision_record = i;
    } else if (const auto* admitted = std::get_if<RequestAdmitted>(&record.event)) {
      for (auto newer = accepted.upper_bound(admitted->revision); newer != accepted.end();
           ++newer) {
        if (record.at <= newer->second.at + options.catalogue_limit) continue;
        violations.push_back({Guarantee::kP9,
                              admitted->daemon + ": new work under revision " +
                                  std::to_string(admitted->revision) + " instead of " +
                                  std::to_string(newer->first),
                              {newer->second.record, i}});
        break;
      }
    }
  }
  return violations;
}

std::vector<Violation> CheckHistory(const History& history, const CheckerOptions& options) {
  std::vector<Violation> all;
  const auto add = [&all](const std::vector<Violation>& violations) {
    all.insert(all.end(), violations.begin(), violations.end());
  };
  add(CheckTokenSequence(history));
  add(CheckSingleGeneration(history));
  add(CheckRolloutTraffic(history, options));
  add(CheckAnswers(history, options));
  add(CheckNotRunRefusals(history));
  add(CheckAtMostOnce(history));
  add(CheckLeavingEndpoints(history, options));
  add(CheckPlannedShutdown(history));
  add(CheckCatalogue(history, options));
  return all;
}

std::string Describe(const Violation& violation, const History& history) {
  std::string text =
      std::string(NameOf(kGuaranteeNames, violation.guarantee)) + " " + violation.detail;
  for (const std::size_t record : violation.records) text += "\n  " + Describe(history[record]);
  return text;
}

}  // namespace fulmarpoint
