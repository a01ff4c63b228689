#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "admin_client.h"

namespace fulmarpoint::ctl {

/// Exit statuses; docs/fulmarpointctl.md lists them.
inline constexpr int kSuccess = 0;
/// A daemon refused the command.
inline constexpr int kRefused = 1;
/// The command line or a local file is invalid; nothing was sent.
inline constexpr int kUsage = 2;
/// No daemon could be reached; nothing was changed.
inline constexpr int kUnreachable = 3;
/// A daemon may have carried out the command; its answer was lost.
inline constexpr int kUnknownOutcome = 4;

/// What a command works with.
struct CommandContext {
  std::vector<std::string> daemons;
  std::string key;
  Duration timeout = std::chrono::seconds(5);
  bool json = false;
  /// Words after the name of the command.
  std::vector<std::string> arguments;
};

struct Command {
  /// For example "requests explain".
  std::string name;
  /// Names of the arguments, for the help.
  std::string arguments;
  std::string help;
  std::size_t min_arguments = 0;
  std::size_t max_arguments = 0;
  int (*run)(const CommandContext& context);
  /// False for a command that works without a daemon.
  bool needs_daemon = true;
};

const std::vector<Command>& Commands();

/// Prints why an answer is no success and returns the exit status. Returns `kSuccess` and prints
/// nothing for a status below 300.
int ReportFailure(const AdminAnswer& answer);

/// Prints the answer as it is if the operator asked for JSON. Returns whether it did.
bool PrintedAsJson(const CommandContext& context, const AdminAnswer& answer);

/// Returns the body as JSON; an empty object if it is none.
nlohmann::json ParseBody(const AdminAnswer& answer);

}  // namespace fulmarpoint::ctl
