#include "utils/soft_assert.h"

#include <string>

#include "utils/logging.h"

namespace fulmarpoint::internal {

void ReportSoftAssert(const char* condition, const char* file, int line) {
  Log(LogLevel::kError, "soft_assert",
      {{"condition", condition}, {"at", std::string(file) + ":" + std::to_string(line)}});
}

}  // namespace fulmarpoint::internal
