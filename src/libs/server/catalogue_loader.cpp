#include "server/catalogue_loader.h"

#include <atomic>
#include <optional>
#include <utility>
#include <vector>

#include "server/metrics.h"
#include "server/table_client.h"
#include "utils/logging.h"

namespace fulmarpoint {

namespace {

constexpr char kTable[] = "catalogue";
constexpr Duration kInterval = std::chrono::seconds(1);
constexpr Duration kProofLimit = std::chrono::seconds(10);

}  // namespace

struct CatalogueLoader::State : std::enable_shared_from_this<CatalogueLoader::State> {
  explicit State(Services& shared) : services(shared) {}

  Task<void> Run();
  void Apply(const RowsRead& read);

  Services& services;
  std::atomic<bool> stopped{false};
  std::atomic<Duration::rep> proof{0};
  std::uint64_t version = 0;
};

Task<void> CatalogueLoader::State::Run() {
  const std::shared_ptr<State> self = shared_from_this();
  while (!stopped) {
    const TimePoint start = SteadyNow();
    const RowsRead read = co_await services.tables.ListSince(kTable, version);
    if (stopped) break;
    services.metrics.Count("catalogue_reads", read.error ? "failed" : "ok");
    if (!read.error) {
      Apply(read);
      proof = start.time_since_epoch().count();
    }
    co_await Sleep(kInterval);
  }
}

void CatalogueLoader::State::Apply(const RowsRead& read) {
  if (read.version <= version) return;
  std::vector<std::shared_ptr<const CatalogueEntry>> changed;
  std::vector<ServiceName> removed;
  for (const StoredRow& row : read.rows) {
    if (!row.value) {
      removed.push_back(row.key);
      continue;
    }
    Parsed<CatalogueEntry> entry = ParseCatalogueEntryJson(*row.value);
    if (entry) changed.push_back(std::make_shared<const CatalogueEntry>(std::move(entry.Value())));
  }
  version = read.version;
  services.catalogue.Apply(read.version, changed, removed);
  Log(LogLevel::kInfo, "catalogue_in_effect", "revision=" + std::to_string(read.version));
}

CatalogueLoader::CatalogueLoader(Services& services) : m_state(std::make_shared<State>(services)) {}

CatalogueLoader::~CatalogueLoader() { Stop(); }

void CatalogueLoader::Start() {
  m_state->services.catalogue.SetFreshness([state = m_state](const CatalogueEntry& entry) {
    const TimePoint proof(Duration(state->proof.load()));
    return entry.when_stale == StalePolicy::kServe || SteadyNow() - proof <= kProofLimit;
  });
  Spawn(MakeStrand(m_state->services.executor), [state = m_state]() { return state->Run(); });
}

void CatalogueLoader::Stop() { m_state->stopped = true; }

}  // namespace fulmarpoint
