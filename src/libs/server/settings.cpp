#include "server/settings.h"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

#include "protocol/field_reader.h"
#include "protocol/result_code.h"
#include "protocol/toml_json.h"
#include "transport/address.h"

namespace fulmarpoint {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kMinKeyBytes = 32;
constexpr std::size_t kHashDigits = 64;
constexpr std::int64_t kMaxConnections = 1'000'000;
constexpr std::int64_t kMaxBytes = std::int64_t{1} << 34;

void ReadAddress(FieldReader& reader, const std::string& key, bool required, std::string& value) {
  reader.String(key, required, value);
  if (!value.empty() && !ParseSocketAddress(value)) {
    reader.Fail(key, "must be an IP address with a port, for example \"127.0.0.1:8080\"");
  }
}

void ReadDaemon(FieldReader& reader, DaemonSettings& daemon) {
  reader.String("name", true, daemon.name);
  reader.String("failure_domain", true, daemon.failure_domain);
  reader.String("region", false, daemon.region);
  reader.Int("workers", 1, 64, daemon.workers);
}

void ReadListen(FieldReader& reader, ListenSettings& listen) {
  ReadAddress(reader, "http", true, listen.http);
  ReadAddress(reader, "peer", true, listen.peer);
}

void ReadPlatform(FieldReader& reader, PlatformSettings& platform) {
  ReadAddress(reader, "tables", true, platform.tables);
  ReadAddress(reader, "objects", true, platform.objects);
  ReadAddress(reader, "weights", false, platform.weights);
  ReadAddress(reader, "instances", true, platform.instances);
  reader.Milliseconds("timeout_ms", 10, 60'000, platform.timeout);
}

void ReadSecrets(FieldReader& reader, SecretSettings& secrets) {
  reader.String("shared_key", true, secrets.shared_key, kMinKeyBytes);
  reader.String("previous_shared_key", false, secrets.previous_shared_key, kMinKeyBytes);
  reader.Strings("operator_key_hashes", secrets.operator_key_hashes);
  const bool valid =
      std::all_of(secrets.operator_key_hashes.begin(), secrets.operator_key_hashes.end(),
                  [](const std::string& hash) {
                    return hash.size() == kHashDigits &&
                           hash.find_first_not_of("0123456789abcdef") == std::string::npos;
                  });
  if (!valid) {
    reader.Fail("operator_key_hashes",
                "must hold SHA-256 hashes of 64 lower-case hexadecimal digits");
  }
}

void ReadLimits(FieldReader& reader, LimitSettings& limits) {
  reader.Size("connections", 1, kMaxConnections, limits.connections);
  reader.Size("connections_per_address", 1, kMaxConnections, limits.connections_per_address);
  reader.Size("body_bytes", 1, std::int64_t{64} << 20, limits.body_bytes);
  reader.Size("total_body_bytes", 1, kMaxBytes, limits.total_body_bytes);
  reader.Milliseconds("request_time_ms", 100, 600'000, limits.head_timeout);
  reader.Size("requests", 1, kMaxConnections, limits.requests);
}

void ReadBuffers(FieldReader& reader, BufferSettings& buffers) {
  reader.Size("daemon_bytes", 1, kMaxBytes, buffers.daemon_bytes);
  reader.Size("organisation_bytes", 1, kMaxBytes, buffers.organisation_bytes);
  reader.Size("stream_bytes", 1, kMaxBytes, buffers.stream_bytes);
}

// P7 allows 5 s from the first signal that an endpoint leaves, and a report older than 4 s counts
// as missing; both bound the polling intervals.
void ReadPolling(FieldReader& reader, PollingSettings& polling) {
  reader.Milliseconds("instance_list_ms", 100, 4000, polling.instance_list);
  reader.Milliseconds("load_ms", 50, 2000, polling.load);
  reader.Milliseconds("load_timeout_ms", 10, 2000, polling.load_timeout);
}

void ReadDrain(FieldReader& reader, DrainSettings& drain) {
  reader.Milliseconds("margin_ms", 0, 60'000, drain.margin);
  reader.Milliseconds("limit_ms", 0, 86'400'000, drain.limit);
}

template <typename Section>
void ReadSection(FieldReader& root, const std::string& key, bool required, Section& section,
                 void (*read)(FieldReader&, Section&)) {
  const Json* object = root.Object(key);
  if (object == nullptr) {
    if (required) root.Fail(key, "is required");
    return;
  }
  FieldReader reader(*object, key, root.Lines());
  read(reader, section);
  root.Adopt(reader.Finish());
}

}  // namespace

Parsed<Settings> ParseSettings(std::string_view text) {
  const Parsed<TomlDocument> document = ParseToml(text);
  if (!document) return document.Error();
  const Json json = Json::parse(document.Value().json);
  FieldReader root(json, "", &document.Value().lines);
  Settings settings;
  ReadSection(root, "daemon", true, settings.daemon, ReadDaemon);
  ReadSection(root, "listen", true, settings.listen, ReadListen);
  ReadSection(root, "platform", true, settings.platform, ReadPlatform);
  ReadSection(root, "secrets", true, settings.secrets, ReadSecrets);
  ReadSection(root, "limits", false, settings.limits, ReadLimits);
  ReadSection(root, "buffers", false, settings.buffers, ReadBuffers);
  ReadSection(root, "polling", false, settings.polling, ReadPolling);
  ReadSection(root, "drain", false, settings.drain, ReadDrain);
  root.Int("keep_seconds", 1, 300, settings.keep_seconds);
  root.Bool("use_credits", settings.use_credits);
  root.Size("request_records", 1, 1'000'000, settings.request_records);
  if (const std::optional<ParseError>& error = root.Finish()) return *error;
  return settings;
}

Parsed<Settings> LoadSettings(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (file) text << file.rdbuf();
  if (!file) {
    return ParseError{make_error_code(ResultCode::kNotFound), path, 0, "must be a readable file"};
  }
  return ParseSettings(text.str());
}

}  // namespace fulmarpoint
