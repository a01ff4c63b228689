#include "utils/logging.h"

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace fulmarpoint {

void InitLogging() {
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  configuration.setGlobally(el::ConfigurationType::Format,
                            "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
  el::Loggers::reconfigureLogger("default", configuration);
  el::Loggers::addFlag(el::LoggingFlag::DisableApplicationAbortOnFatalLog);
}

void Log(LogLevel level, std::string_view event, const std::string& fields) {
  std::string line = "event=";
  line.append(event);
  if (!fields.empty()) line.append(" ").append(fields);
  switch (level) {
    case LogLevel::kInfo:
      LOG(INFO) << line;
      return;
    case LogLevel::kWarning:
      LOG(WARNING) << line;
      return;
    case LogLevel::kError:
      LOG(ERROR) << line;
      return;
  }
}

}  // namespace fulmarpoint
