#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace fulmarpoint {

/// Writes lines to a file descriptor without blocking. Lines that its reader does not accept yet
/// are buffered up to a limit; further lines are dropped. Not thread-safe.
class LogOutput {
 public:
  /// Neither closes the descriptor nor changes its flags.
  explicit LogOutput(int descriptor, std::size_t max_pending_bytes = std::size_t{64} * 1024)
      : m_descriptor(descriptor), m_max_pending_bytes(max_pending_bytes) {}

  /// Writes or buffers a line. Returns false if the line is dropped because the buffer is full.
  bool Write(std::string_view line);
  /// Writes as many buffered bytes as the descriptor accepts without blocking.
  void Flush();
  std::size_t PendingBytes() const { return m_pending.size(); }

 private:
  int m_descriptor;
  std::size_t m_max_pending_bytes;
  std::string m_pending;
};

}  // namespace fulmarpoint
