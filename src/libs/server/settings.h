#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/parse_error.h"
#include "utils/time.h"

namespace fulmarpoint {

/// Who this daemon is and where it runs.
struct DaemonSettings {
  std::string name;
  std::string failure_domain;
  std::string region;
  int workers = 2;
};

struct ListenSettings {
  /// "ip:port" of the HTTP service for callers and operators.
  std::string http;
  /// "ip:port" of the peer service, UDP and TCP.
  std::string peer;
};

/// Addresses of the platform's services.
struct PlatformSettings {
  std::string tables;
  std::string objects;
  std::string weights;
  std::string instances;
  Duration timeout = std::chrono::milliseconds(1500);
};

struct SecretSettings {
  /// Shared by all daemons: authenticates messages between daemons and event ids.
  std::string shared_key;
  /// Accepted beside `shared_key` while the key is being replaced; may be empty.
  std::string previous_shared_key;
  /// Lower-case hexadecimal SHA-256 of the operators' keys.
  std::vector<std::string> operator_key_hashes;
};

struct LimitSettings {
  std::size_t connections = 4096;
  std::size_t connections_per_address = 2048;
  std::size_t body_bytes = std::size_t{1024} * 1024;
  std::size_t total_body_bytes = std::size_t{128} * 1024 * 1024;
  Duration head_timeout = std::chrono::seconds(10);
  /// Requests that run or wait at the same time.
  std::size_t requests = 8192;
};

struct BufferSettings {
  std::size_t daemon_bytes = std::size_t{64} * 1024 * 1024;
  std::size_t organisation_bytes = std::size_t{16} * 1024 * 1024;
  std::size_t stream_bytes = std::size_t{64} * 1024;
};

struct PollingSettings {
  Duration instance_list = std::chrono::milliseconds(2000);
  Duration load = std::chrono::milliseconds(1000);
  Duration load_timeout = std::chrono::milliseconds(800);
};

struct DrainSettings {
  /// Added to `keep_seconds`, for clocks and answers that are on the way.
  Duration margin = std::chrono::milliseconds(2000);
  /// Streams that still run after this time are handed off to another daemon.
  Duration limit = std::chrono::seconds(60);
};

/// Settings of one daemon. docs/settings.md lists all keys.
struct Settings {
  DaemonSettings daemon;
  ListenSettings listen;
  PlatformSettings platform;
  SecretSettings secrets;
  LimitSettings limits;
  BufferSettings buffers;
  PollingSettings polling;
  DrainSettings drain;
  /// How long callers keep a lookup answer.
  int keep_seconds = 10;
  /// Whether requests need credits of the endpoints' owners. Without them, a daemon relies on the
  /// load that the endpoints report.
  bool use_credits = true;
  /// Requests whose decisions are kept for operators.
  std::size_t request_records = 2048;
};

/// Parses settings in TOML. Unknown keys, wrong types and values out of range are errors.
/// Thread-safe.
Parsed<Settings> ParseSettings(std::string_view text);

/// Reads and parses a settings file. Thread-safe.
Parsed<Settings> LoadSettings(const std::string& path);

}  // namespace fulmarpoint
