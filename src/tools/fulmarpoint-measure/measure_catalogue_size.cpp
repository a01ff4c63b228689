#include <malloc.h>

#include <nlohmann/json.hpp>

#include "coordination/catalogue_replica.h"
#include "measure.h"
#include "measure_control_plane.h"

namespace fulmarpoint {

namespace {

constexpr int kServices = 29;
constexpr int kChanges = 20;

std::string KeyHash(int organisation) {
  std::string hash;
  for (int part = 0; part < 4; ++part) {
    char text[17];
    std::snprintf(text, sizeof text, "%016llx",
                  static_cast<unsigned long long>(
                      StableHash(std::to_string(organisation), static_cast<std::uint64_t>(part))));
    hash += text;
  }
  return hash;
}

/// Spreads the organisations over the services; each uses one.
std::vector<CatalogueEntry> Entries(int organisations) {
  std::vector<CatalogueEntry> entries(kServices);
  for (int i = 0; i < kServices; ++i) {
    CatalogueEntry& entry = entries[static_cast<std::size_t>(i)];
    entry.service = "service-" + std::to_string(i);
    entry.owner = "ops";
    entry.model = "model";
    entry.version = "v1";
    entry.versions = {"v1"};
  }
  for (int i = 0; i < organisations; ++i) {
    OrganisationAccess access;
    access.organisation = "organisation-" + std::to_string(i);
    access.key_hashes = {KeyHash(i)};
    entries[static_cast<std::size_t>(i % kServices)].organisations.push_back(std::move(access));
  }
  return entries;
}

CatalogueDelta DeltaOf(const std::vector<CatalogueEntry>& entries) {
  CatalogueDelta delta{0, 1, {}};
  for (const CatalogueEntry& entry : entries) {
    for (auto& [key, value] : ItemsOf(entry)) delta.items.push_back({key, 1, 1, value});
  }
  return delta;
}

std::size_t HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

double Apply(CatalogueReplica& replica, CatalogueDelta delta) {
  std::vector<CatalogueReplica::Action> actions;
  const double before = ProcessCpuMicroseconds();
  replica.Handle(CatalogueReplica::PeerDelta{true, {"peer", 1}, std::move(delta)},
                 TimePoint(std::chrono::hours(1)), actions);
  return ProcessCpuMicroseconds() - before;
}

nlohmann::json MeasureSize(int organisations, std::uint64_t seed) {
  std::vector<CatalogueEntry> entries = Entries(organisations);
  CatalogueDelta initial = DeltaOf(entries);
  std::size_t bytes = 0;
  for (const CatalogueItem& item : initial.items) bytes += item.key.size() + item.value.size();
  const std::size_t heap_before = HeapBytes();
  CatalogueReplica replica({"d0", 1}, {}, seed);
  // The delta is moved into the replica's items, so that only the entries add to the heap here.
  const double load = Apply(replica, initial);
  const std::size_t heap = HeapBytes() - heap_before;
  double change = 0;
  std::size_t change_bytes = 0;
  for (int i = 0; i < kChanges; ++i) {
    CatalogueEntry& entry = entries[static_cast<std::size_t>(i % kServices)];
    if (entry.organisations.empty()) continue;
    entry.organisations.front().weight = 2 + i;
    const std::uint64_t revision = static_cast<std::uint64_t>(i) + 2;
    CatalogueDelta delta{revision - 1, revision, {}};
    for (auto& [key, value] : ItemsOf(entry)) {
      if (replica.Items().at(key).value == value) continue;
      change_bytes += key.size() + value.size();
      delta.items.push_back({key, revision, revision, value});
    }
    change += Apply(replica, std::move(delta));
  }
  return {{"organisations", organisations},
          {"items", initial.items.size()},
          {"full_transfer_bytes", bytes},
          {"heap_bytes", heap},
          {"state_bytes_estimate", replica.StateBytes()},
          {"cpu_ms_full_load", load / 1e3},
          {"cpu_ms_per_change", change / 1e3 / kChanges},
          {"bytes_per_change", change_bytes / kChanges}};
}

}  // namespace

nlohmann::json MeasureCatalogueSize(const MeasureOptions& options) {
  const std::vector<int> sizes =
      options.sizes.empty() ? std::vector<int>{100, 10000, 46000} : options.sizes;
  nlohmann::json replicas = nlohmann::json::array();
  for (const int size : sizes) replicas.push_back(MeasureSize(size, options.seed));
  return {{"measurement", "catalogue-size"}, {"seed", options.seed}, {"replicas", replicas}};
}

}  // namespace fulmarpoint
