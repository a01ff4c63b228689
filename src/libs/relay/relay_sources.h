#pragma once

#include <functional>
#include <optional>
#include <string>

#include "protocol/endpoint_record.h"
#include "protocol/relay_configuration.h"
#include "protocol/rollout_order.h"
#include "protocol/store_messages.h"

namespace fulmarpoint {

/// Where the store holds the operator's configuration and orders and the endpoints, and how their
/// rows are encoded. The parse functions return nothing for a row that must be ignored.
struct RelaySources {
  std::string configuration_table;
  std::string configuration_key;
  std::function<std::optional<RelayConfiguration>(const std::string& value)> parse_configuration;
  std::string endpoint_table;
  std::function<std::optional<EndpointRecord>(const std::string& key, const std::string& value)>
      parse_endpoint;
  /// Parses a rollout order in the configuration's table.
  std::function<std::optional<RolloutOrder>(const std::string& key, const std::string& value)>
      parse_rollout;
  /// Returns the row that reports a rollout's state to the operator.
  std::function<StoreRow(const RolloutStatus& status)> encode_rollout_status;
};

}  // namespace fulmarpoint
