#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "transport/http_client.h"
#include "transport/task.h"
#include "utils/enum_names.h"

namespace fulmarpoint {

enum class InstanceKind { kDaemon, kEngine, kApplication };

inline constexpr std::array<EnumName<InstanceKind>, 3> kInstanceKindNames = {{
    {InstanceKind::kDaemon, "daemon"},
    {InstanceKind::kEngine, "engine"},
    {InstanceKind::kApplication, "application"},
}};

/// One row of the platform's instance list.
struct ListedInstance {
  std::string name;
  std::string address;
  InstanceKind kind = InstanceKind::kEngine;
  bool leaving = false;
  std::string failure_domain;
  std::string region;
};

struct InstanceList {
  std::error_code error;
  std::vector<ListedInstance> instances;
};

/// Parses the list. A malformed row is an error, because a list without it would count the instance
/// as gone. Thread-safe.
std::optional<std::vector<ListedInstance>> ParseInstanceList(std::string_view json);

/// Client of the platform's instance list. Thread-safe; each call runs on the strand of its
/// coroutine.
class InstanceListClient {
 public:
  InstanceListClient(HttpClient& http, std::string address, Duration timeout);

  Task<InstanceList> Read();

 private:
  HttpClient& m_http;
  const std::string m_address;
  const Duration m_timeout;
};

}  // namespace fulmarpoint
