#pragma once

#include <set>
#include <string>
#include <vector>

#include "simulation/fleet.h"
#include "verification/checker.h"

namespace fulmarpoint {

inline CatalogueEntry ExampleEntry(const std::string& service, int max_concurrent) {
  CatalogueEntry entry;
  entry.service = service;
  entry.owner = "ops";
  entry.kind = ServiceKind::kModel;
  entry.model = "draft";
  entry.version = "v1";
  entry.versions = {"v1"};
  entry.limits.max_concurrent = max_concurrent;
  return entry;
}

/// Records the history of a fleet for the checker, and checks what operators are told.
class FleetRecorder {
 public:
  explicit FleetRecorder(Fleet& fleet) : m_fleet(fleet) {
    m_fleet.on_action = [this](int index, const ControlPlane::Action& action) {
      OnAction(index, action);
    };
    m_fleet.after_event = [this](int index) { Sample(index); };
  }

  /// Each change has an author of its own, by which its row is found in the history table.
  std::uint64_t Apply(int index, const CatalogueEntry& entry,
                      std::optional<std::uint64_t> expected = std::nullopt) {
    CatalogueWriter::Apply change;
    change.entries = {entry};
    change.expected_revision = expected;
    change.author = "operator " + std::to_string(m_authors.size() + 1);
    const std::string author = change.author;
    const std::uint64_t id = m_fleet.Apply(index, std::move(change));
    m_authors[id] = author;
    return id;
  }

  void Add(HistoryEvent event) { m_history.push_back({m_fleet.Now(), std::move(event)}); }

  /// Returns what is wrong in the history and in the answers to operators.
  std::vector<std::string> Failures() {
    std::vector<std::string> failures = m_failures;
    for (const Violation& violation : CheckCatalogue(m_history, {})) {
      failures.push_back(Describe(violation, m_history));
    }
    std::set<std::string> written;
    for (const TableRow& row : m_fleet.Table().ReadSince(kCatalogueHistoryTable, 0)) {
      const std::string author = ParseRevisionRecord(row.value).Value().author;
      if (author != "voters" && !written.insert(author).second) {
        failures.push_back(author + ": written twice");
      }
    }
    for (const auto& [id, report] : m_fleet.reports) CheckAnswer(id, report, written, failures);
    return failures;
  }

  ApplyStatus StatusOf(std::uint64_t id) const {
    const auto report = m_fleet.reports.find(id);
    return report == m_fleet.reports.end() ? ApplyStatus::kOutcomeUnknown : report->second.status;
  }

 private:
  std::string NameOf(int index) { return m_fleet.At(index).self.id.name; }

  void OnAction(int index, const ControlPlane::Action& action) {
    if (const auto* change = std::get_if<CatalogueReplica::RevisionChanged>(&action)) {
      Add(RevisionInEffect{ProcessOf(index), change->revision});
    }
    const auto* done = std::get_if<CatalogueWriter::ApplyFinished>(&action);
    if (done == nullptr) return;
    if (done->report.status == ApplyStatus::kAccepted) {
      Add(RevisionAccepted{done->report.revision});
    }
    for (const InstanceId& id : done->report.in_effect) {
      for (int i = 0; i < m_fleet.Size(); ++i) {
        if (m_fleet.At(i).self.id != id) continue;
        if (m_fleet.Of(i).Replica().Revision() < done->report.revision) {
          m_failures.push_back(id.name + ": reported in effect, but has an older revision");
        }
      }
    }
  }

  /// A process is a daemon of its own in the history: a new one starts without a catalogue.
  std::string ProcessOf(int index) { return ToString(m_fleet.At(index).self.id); }

  /// Lets every daemon that would take new work take one request.
  void Sample(int index) {
    TimePoint& last = m_sampled[index];
    if (m_fleet.Now() - last < std::chrono::milliseconds(200)) return;
    last = m_fleet.Now();
    if (!m_fleet.Of(index).AcceptsWork(m_fleet.Now())) return;
    Add(RequestAdmitted{"request", ProcessOf(index), m_fleet.Of(index).Replica().Revision()});
  }

  void CheckAnswer(std::uint64_t id, const ApplyReport& report,
                   const std::set<std::string>& written, std::vector<std::string>& failures) {
    const std::string& author = m_authors[id];
    const bool is_written = written.contains(author);
    const bool says_written = report.status == ApplyStatus::kAccepted ||
                              report.status == ApplyStatus::kCommittedNotAccepted;
    if (report.status == ApplyStatus::kOutcomeUnknown || is_written == says_written) return;
    failures.push_back(author + ": told " +
                       std::string(fulmarpoint::NameOf(kApplyStatusNames, report.status)) +
                       (is_written ? ", but it was written" : ", but it was not written"));
  }

  Fleet& m_fleet;
  History m_history;
  std::vector<std::string> m_failures;
  std::map<std::uint64_t, std::string> m_authors;
  std::map<int, TimePoint> m_sampled;
};

}  // namespace fulmarpoint
