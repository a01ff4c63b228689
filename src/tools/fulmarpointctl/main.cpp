#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>
#include <sstream>

#include "commands.h"
#include "transport/address.h"
#include "utils/logging.h"

namespace fulmarpoint::ctl {

namespace {

namespace po = boost::program_options;

using StringList = std::vector<std::string>;

po::options_description Options() {
  po::options_description options("Options");
  auto add = options.add_options();
  add("help", "print this text");
  add("daemon", po::value<StringList>()->composing(),
      "ip:port of a daemon; may be repeated, the next is used if one can't be reached. "
      "Default: FULMARPOINT_DAEMONS, separated by commas");
  add("timeout-ms", po::value<int>()->default_value(15'000), "time limit for one daemon to answer");
  add("json", "print the daemon's answer as JSON");
  add("words", po::value<StringList>(), "command and arguments");
  return options;
}

std::string FromEnvironment(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? "" : value;
}

StringList SplitAtCommas(const std::string& text) {
  StringList parts;
  std::istringstream input(text);
  for (std::string part; std::getline(input, part, ',');) parts.push_back(part);
  return parts;
}

void PrintHelp(std::ostream& out) {
  out << "fulmarpointctl [options] COMMAND\n\n"
         "The operator's key is read from FULMARPOINT_OPERATOR_KEY.\n\nCommands\n";
  for (const Command& command : Commands()) {
    const std::string words =
        command.name + (command.arguments.empty() ? "" : " " + command.arguments);
    out << "  " << words << std::string(words.size() < 36 ? 36 - words.size() : 1, ' ')
        << command.help << "\n";
  }
  out << "\n" << Options();
}

/// Returns the command that `words` begin with and removes its name from them. Returns null if
/// there is none.
const Command* TakeCommand(StringList& words) {
  for (const Command& command : Commands()) {
    std::istringstream input(command.name);
    StringList name;
    for (std::string word; input >> word;) name.push_back(word);
    if (name.size() > words.size() || !std::equal(name.begin(), name.end(), words.begin())) {
      continue;
    }
    words.erase(words.begin(), words.begin() + static_cast<std::ptrdiff_t>(name.size()));
    return &command;
  }
  return nullptr;
}

int Run(const po::variables_map& values) {
  CommandContext context;
  context.daemons = values.contains("daemon")
                        ? values["daemon"].as<StringList>()
                        : SplitAtCommas(FromEnvironment("FULMARPOINT_DAEMONS"));
  context.key = FromEnvironment("FULMARPOINT_OPERATOR_KEY");
  context.timeout = std::chrono::milliseconds(values["timeout-ms"].as<int>());
  context.json = values.contains("json");
  context.arguments = values.contains("words") ? values["words"].as<StringList>() : StringList();
  const Command* command = TakeCommand(context.arguments);
  if (command == nullptr) {
    PrintHelp(std::cerr);
    return kUsage;
  }
  const std::size_t count = context.arguments.size();
  if (count < command->min_arguments || count > command->max_arguments) {
    std::cerr << "usage: fulmarpointctl " << command->name << " " << command->arguments << "\n";
    return kUsage;
  }
  if (!command->needs_daemon) return command->run(context);
  const bool valid = std::all_of(
      context.daemons.begin(), context.daemons.end(),
      [](const std::string& address) { return ParseSocketAddress(address).has_value(); });
  if (!valid || context.daemons.empty()) {
    std::cerr << "--daemon: give the ip:port of at least one daemon\n";
    return kUsage;
  }
  return command->run(context);
}

}  // namespace

int Main(int argc, char** argv) {
  InitLogging();
  po::positional_options_description positional;
  positional.add("words", -1);
  try {
    po::variables_map values;
    po::store(po::command_line_parser(argc, argv).options(Options()).positional(positional).run(),
              values);
    po::notify(values);
    if (values.contains("help")) {
      PrintHelp(std::cout);
      return kSuccess;
    }
    return Run(values);
  } catch (const po::error& error) {
    std::cerr << error.what() << "; see --help\n";
    return kUsage;
  }
}

}  // namespace fulmarpoint::ctl

int main(int argc, char** argv) { return fulmarpoint::ctl::Main(argc, argv); }
