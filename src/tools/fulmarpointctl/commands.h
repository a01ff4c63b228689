#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "admin_client.h"

namespace fulmarpoint::ctl {

/// Exit statuses; docs/fulmarpointctl.md lists them.
inline constexpr int kSuccess = 0;
/// A daemon rejected the command.
inline constexpr int kRefused = 1;
/// The command line or a local file is invalid; nothing was sent.
inline constexpr int kUsage = 2;
/// No daemon could be reached; nothing was changed.
inline constexpr int kUnreachable = 3;
/// A daemon may have executed the command, but its response was lost or inconclusive.
inline constexpr int kUnknownOutcome = 4;

/// Connection settings, output format and arguments of a command.
struct CommandContext {
  std::vector<std::string> daemons;
  std::string key;
  Duration timeout = std::chrono::seconds(5);
  bool json = false;
  /// Arguments after the name of the command.
  std::vector<std::string> arguments;
};

struct Command {
  /// For example "requests explain".
  std::string name;
  /// Synopsis of the arguments, for the help text.
  std::string arguments;
  std::string help;
  std::size_t min_arguments = 0;
  std::size_t max_arguments = 0;
  int (*run)(const CommandContext& context);
  /// False for a command that works without a daemon.
  bool needs_daemon = true;
};

const std::vector<Command>& Commands();

/// Prints the reason if the command failed, and returns the exit status. A status below 300 is a
/// success: nothing is printed.
int ReportFailure(const AdminResponse& response);

/// Prints the body of the response unchanged if `--json` was given. Returns whether it was.
bool PrintIfJson(const CommandContext& context, const AdminResponse& response);

/// Parses the body of the response. Returns an empty object if it is not a JSON object.
nlohmann::json ParseBody(const AdminResponse& response);

}  // namespace fulmarpoint::ctl
