#include "protocol/parse_error.h"

namespace fulmarpoint {

std::string Describe(const ParseError& error) {
  std::string text;
  if (error.line > 0) text += "line " + std::to_string(error.line) + ": ";
  if (!error.key.empty()) text += error.key + ": ";
  return text + error.allowed;
}

}  // namespace fulmarpoint
