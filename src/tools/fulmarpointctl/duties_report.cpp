#include "duties_report.h"

#include <chrono>
#include <cstdint>
#include <ctime>

#include "table_printer.h"

namespace fulmarpoint::ctl {

namespace {

/// Returns a time in UTC; "-" for 0, which stands for an unknown time.
std::string FormatTime(std::int64_t unix_ms) {
  if (unix_ms == 0) return "-";
  const std::time_t seconds = unix_ms / 1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[sizeof "2026-12-06T08:40:15Z"];
  const std::size_t size = std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &parts);
  return std::string(text, size);
}

/// Returns the status of the holder with the highest token; null if no daemon holds the lease. A
/// daemon that was paused may still consider itself the holder.
const nlohmann::json* FindHolder(const nlohmann::json& statuses) {
  const nlohmann::json* found = nullptr;
  std::uint64_t highest = 0;
  for (const nlohmann::json& status : statuses) {
    const std::uint64_t token = status.value("fencing_token", std::uint64_t{0});
    if (!status.value("is_holder", false) || token < highest) continue;
    found = &status;
    highest = token;
  }
  return found;
}

}  // namespace

std::string FormatDuties(const nlohmann::json& statuses) {
  nlohmann::json rows = statuses;
  for (nlohmann::json& row : rows) {
    row["since"] = FormatTime(row.value("since_unix_ms", std::int64_t{0}));
  }
  std::string text = FormatTable(rows, {"daemon", "enabled", "is_holder", "holder", "fencing_token",
                                        "since", "last_reported_window"});
  const nlohmann::json* holder = FindHolder(statuses);
  if (holder == nullptr) {
    return text + "\nnone of these daemons holds the lease; ask the holder for its orders\n";
  }
  const nlohmann::json orders = holder->value("orders", nlohmann::json::array());
  if (orders.empty()) return text + "\nno engines were ordered by this holder\n";
  return text + "\n" + FormatTable(orders, {"service", "failure_domain", "desired"});
}

}  // namespace fulmarpoint::ctl
