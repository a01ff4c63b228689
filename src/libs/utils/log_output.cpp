#include "utils/log_output.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>

namespace fulmarpoint {

namespace {

// A pipe that polls as writable accepts this many bytes without blocking.
constexpr std::size_t kMaxWriteBytes = PIPE_BUF;

bool IsWritable(int descriptor) {
  pollfd entry{descriptor, POLLOUT, 0};
  return ::poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

}  // namespace

bool LogOutput::Write(std::string_view line) {
  if (m_pending.size() + line.size() + 1 > m_max_pending_bytes) {
    Flush();
    if (m_pending.size() + line.size() + 1 > m_max_pending_bytes) return false;
  }
  m_pending.append(line).push_back('\n');
  Flush();
  return true;
}

void LogOutput::Flush() {
  std::size_t written = 0;
  while (written < m_pending.size() && IsWritable(m_descriptor)) {
    const std::size_t bytes = std::min(kMaxWriteBytes, m_pending.size() - written);
    const ssize_t result = ::write(m_descriptor, m_pending.data() + written, bytes);
    if (result < 0 && errno == EINTR) continue;
    if (result <= 0) break;
    written += static_cast<std::size_t>(result);
  }
  m_pending.erase(0, written);
}

}  // namespace fulmarpoint
