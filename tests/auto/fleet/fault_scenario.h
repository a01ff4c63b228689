#pragma once

#include <array>
#include <map>
#include <string>
#include <vector>

#include "fleet_recorder.h"

namespace fulmarpoint {

/// Step of a change at which a fault begins.
enum class ChangeStep { kPropose, kCommit, kDistribute, kInEffect };

inline constexpr std::array<EnumName<ChangeStep>, 4> kChangeStepNames = {{
    {ChangeStep::kPropose, "propose"},
    {ChangeStep::kCommit, "commit"},
    {ChangeStep::kDistribute, "distribute"},
    {ChangeStep::kInEffect, "in_effect"},
}};

enum class Fault {
  kStoreDown,
  kStoreSlow,
  kWriteAnswerLost,
  kWriterCrashes,
  kOtherCrashes,
  kWriterPauses,
  kOtherPauses,
  kWriterReplaced,
  kOtherReplaced,
  kWriterCutFromStore,
  kWriterCutFromPeers,
  kWriterCutFromBoth,
  kRegionsPartitioned,
  kRegionsPartitionedStoreWithWriter,
  kRegionsPartitionedStoreWithOthers,
  kRacingOperator,
  kListFrozen,
  kDatagramsLost,
  kStoreStale,
};

inline constexpr std::array<EnumName<Fault>, 19> kFaultNames = {{
    {Fault::kStoreDown, "store_down"},
    {Fault::kStoreSlow, "store_slow"},
    {Fault::kWriteAnswerLost, "write_answer_lost"},
    {Fault::kWriterCrashes, "writer_crashes"},
    {Fault::kOtherCrashes, "other_crashes"},
    {Fault::kWriterPauses, "writer_pauses"},
    {Fault::kOtherPauses, "other_pauses"},
    {Fault::kWriterReplaced, "writer_replaced"},
    {Fault::kOtherReplaced, "other_replaced"},
    {Fault::kWriterCutFromStore, "writer_cut_from_store"},
    {Fault::kWriterCutFromPeers, "writer_cut_from_peers"},
    {Fault::kWriterCutFromBoth, "writer_cut_from_both"},
    {Fault::kRegionsPartitioned, "regions_parted"},
    {Fault::kRegionsPartitionedStoreWithWriter, "regions_parted_store_with_writer"},
    {Fault::kRegionsPartitionedStoreWithOthers, "regions_parted_store_with_others"},
    {Fault::kRacingOperator, "racing_operator"},
    {Fault::kListFrozen, "list_frozen"},
    {Fault::kDatagramsLost, "datagrams_lost"},
    {Fault::kStoreStale, "store_stale"},
}};

struct Injection {
  Fault fault;
  ChangeStep step;
};

/// Runs changes of the catalogue with injected faults. Daemon 0 is the writer; faults that name the
/// "other" daemon apply to daemon 5. Each fault lasts `kFaultDuration`. Afterwards the fleet must
/// accept a change and have it in effect everywhere.
class FaultScenario {
 public:
  static constexpr Duration kFaultDuration = std::chrono::seconds(45);

  FaultScenario(std::vector<Injection> injections, std::uint64_t seed, Fleet::Options options = {})
      : m_injections(std::move(injections)), m_fleet(options, seed), m_recorder(m_fleet) {
    m_fleet.is_partitioned = [this](int a, int b) { return IsCut(a, b); };
    m_fleet.read_fault = [this](int index) { return FaultOf(index, false); };
    m_fleet.write_fault = [this](int index) { return FaultOf(index, true); };
    const auto record = m_fleet.on_action;
    m_fleet.on_action = [this, record](int index, const ControlPlane::Action& action) {
      record(index, action);
      DetectStep(index, action);
    };
  }

  std::vector<std::string> Run() {
    m_fleet.AddMany(7);
    m_fleet.RunFor(std::chrono::seconds(50));
    m_fleet.SnapshotTableForStaleReads();
    m_recorder.Apply(1, ExampleEntry("assistant", 1));
    m_fleet.RunFor(std::chrono::seconds(30));
    m_is_changing = true;
    ReachStep(ChangeStep::kPropose);
    m_recorder.Apply(kWriter, ExampleEntry("assistant", 2));
    m_fleet.RunFor(std::chrono::seconds(20));
    m_recorder.Apply(3, ExampleEntry("assistant", 3));
    m_fleet.RunFor(2 * kFaultDuration + std::chrono::seconds(40));
    return CheckRecovery();
  }

 private:
  static constexpr int kWriter = 0;
  static constexpr int kOther = 5;

  static bool IsWithWriter(int index) { return index % 4 < 2; }

  bool IsActive(Fault fault) const { return m_active.contains(fault); }

  bool IsCut(int a, int b) const {
    const bool partitioned = IsActive(Fault::kRegionsPartitioned) ||
                             IsActive(Fault::kRegionsPartitionedStoreWithWriter) ||
                             IsActive(Fault::kRegionsPartitionedStoreWithOthers);
    if (partitioned && IsWithWriter(a) != IsWithWriter(b)) return true;
    const bool isolated =
        IsActive(Fault::kWriterCutFromPeers) || IsActive(Fault::kWriterCutFromBoth);
    if (isolated && (a == kWriter || b == kWriter)) return true;
    return IsActive(Fault::kDatagramsLost) && (++m_datagrams % 4) != 0;
  }

  StoreFault FaultOf(int index, bool write) const {
    if (IsActive(Fault::kStoreDown)) return StoreFault::kDown;
    if (IsActive(Fault::kRegionsPartitionedStoreWithWriter) && !IsWithWriter(index))
      return StoreFault::kDown;
    if (IsActive(Fault::kRegionsPartitionedStoreWithOthers) && IsWithWriter(index))
      return StoreFault::kDown;
    const bool isolated =
        IsActive(Fault::kWriterCutFromStore) || IsActive(Fault::kWriterCutFromBoth);
    if (isolated && index == kWriter) return StoreFault::kDown;
    if (write && IsActive(Fault::kWriteAnswerLost)) return StoreFault::kAnswerLost;
    if (!write && IsActive(Fault::kStoreStale)) return StoreFault::kStale;
    return IsActive(Fault::kStoreSlow) ? StoreFault::kSlow : StoreFault::kNone;
  }

  void DetectStep(int index, const ControlPlane::Action& action) {
    if (!m_is_changing) return;
    if (index == kWriter && std::holds_alternative<ControlPlane::WriteRows>(action)) {
      ReachStep(ChangeStep::kCommit);
    }
    if (!std::holds_alternative<CatalogueReplica::RevisionChanged>(action)) return;
    ReachStep(index == kWriter ? ChangeStep::kDistribute : ChangeStep::kInEffect);
  }

  void ReachStep(ChangeStep step) {
    if (!m_reached.insert(step).second) return;
    for (const Injection& injection : m_injections) {
      if (injection.step != step) continue;
      // The fault begins after the current event.
      m_fleet.Schedule(Duration(0), [this, fault = injection.fault] { Begin(fault); });
    }
  }

  void Begin(Fault fault) {
    m_active.insert(fault);
    switch (fault) {
      case Fault::kWriterCrashes:
        m_fleet.Crash(kWriter);
        break;
      case Fault::kOtherCrashes:
        m_fleet.Crash(kOther);
        break;
      case Fault::kWriterPauses:
        m_fleet.Pause(kWriter);
        break;
      case Fault::kOtherPauses:
        m_fleet.Pause(kOther);
        break;
      case Fault::kWriterReplaced:
        m_fleet.Replace(kWriter);
        break;
      case Fault::kOtherReplaced:
        m_fleet.Replace(kOther);
        break;
      case Fault::kRacingOperator:
        m_recorder.Apply(2, ExampleEntry("assistant", 9));
        break;
      case Fault::kListFrozen:
        m_fleet.instance_list_is_unavailable = true;
        break;
      default:
        break;
    }
    m_fleet.Schedule(kFaultDuration, [this, fault] { End(fault); });
  }

  void End(Fault fault) {
    m_active.erase(fault);
    switch (fault) {
      case Fault::kWriterCrashes:
        if (!m_fleet.At(kWriter).running) m_fleet.Replace(kWriter);
        break;
      case Fault::kOtherCrashes:
        if (!m_fleet.At(kOther).running) m_fleet.Replace(kOther);
        break;
      case Fault::kWriterPauses:
        m_fleet.Resume(kWriter);
        break;
      case Fault::kOtherPauses:
        m_fleet.Resume(kOther);
        break;
      case Fault::kListFrozen:
        m_fleet.instance_list_is_unavailable = false;
        break;
      default:
        break;
    }
  }

  std::vector<std::string> CheckRecovery() {
    // From here on no fault begins, because it would affect the change that must succeed.
    m_is_changing = false;
    const std::uint64_t id = m_recorder.Apply(2, ExampleEntry("assistant", 99));
    m_fleet.RunFor(std::chrono::seconds(20));
    std::vector<std::string> failures = m_recorder.Failures();
    const ApplyStatus status = m_recorder.StatusOf(id);
    if (status != ApplyStatus::kAccepted) {
      failures.push_back("status of the change after the faults: " +
                         std::string(NameOf(kApplyStatusNames, status)));
    }
    for (int i = 0; i < m_fleet.Size(); ++i) {
      const CatalogueEntryPtr entry = m_fleet.Of(i).Replica().Entry("assistant");
      const bool is_current = entry && entry->limits.max_concurrent == 99;
      if (is_current && m_fleet.Of(i).AcceptsWork(m_fleet.Now())) continue;
      failures.push_back(m_fleet.At(i).self.id.name + ": not current after the faults");
    }
    return failures;
  }

  std::vector<Injection> m_injections;
  Fleet m_fleet;
  FleetRecorder m_recorder;
  std::set<Fault> m_active;
  std::set<ChangeStep> m_reached;
  bool m_is_changing = false;
  mutable std::uint64_t m_datagrams = 0;
};

inline std::string Describe(const std::vector<Injection>& injections) {
  std::string text;
  for (const Injection& injection : injections) {
    text += std::string(NameOf(kFaultNames, injection.fault)) + " at " +
            std::string(NameOf(kChangeStepNames, injection.step)) + "; ";
  }
  return text;
}

}  // namespace fulmarpoint
