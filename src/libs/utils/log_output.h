#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace fulmarpoint {

/// Writes lines to a file descriptor without ever waiting for its reader: what the reader does not
/// take is kept up to a limit, and further lines are not accepted. Not thread-safe.
class LogOutput {
 public:
  /// The descriptor stays open and is not changed.
  explicit LogOutput(int descriptor, std::size_t max_pending_bytes = std::size_t{64} * 1024)
      : m_descriptor(descriptor), m_max_pending_bytes(max_pending_bytes) {}

  /// Writes a line, or keeps it until the reader goes on. Returns false if it is left out because
  /// too much is waiting.
  bool Write(std::string_view line);
  /// Writes what is waiting as far as the reader takes it at once.
  void Flush();
  std::size_t PendingBytes() const { return m_pending.size(); }

 private:
  int m_descriptor;
  std::size_t m_max_pending_bytes;
  std::string m_pending;
};

}  // namespace fulmarpoint
