#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "coordination/caller_buffers.h"
#include "transport/task.h"

namespace fulmarpoint {

/// Runs `CallerBuffers` and delivers its actions to the streams concerned, each on its strand.
/// Thread-safe.
class BufferDriver {
 public:
  using Listener = std::function<void(const CallerBuffersAction&)>;

  BufferDriver(Executor executor, CallerBuffersSettings settings);
  BufferDriver(const BufferDriver&) = delete;
  BufferDriver& operator=(const BufferDriver&) = delete;

  /// Starts the timer of `CallerBuffers`.
  void Start();
  void Stop();
  bool MayOpen(const OrganisationId& organisation) const;
  /// Returns the number of output bytes that are buffered for all callers.
  std::size_t HeldBytes() const;

  /// Registers a stream and returns its number. `listener` receives its actions on `strand`.
  std::uint64_t Open(const OrganisationId& organisation, bool can_regenerate,
                     const Executor& strand, Listener listener);
  /// Handles `StreamAppended`, `StreamDrained` or `StreamEnded`.
  void Handle(const CallerBuffersEvent& event);
  /// Removes a stream; its listener is not called again. Call on the strand of the stream.
  void Close(std::uint64_t stream);

 private:
  struct Stream {
    Executor strand;
    Listener listener;
  };

  struct State;
  static Task<void> RunTimer(std::shared_ptr<State> state, BufferDriver& driver);
  void Distribute(const std::vector<CallerBuffersAction>& actions);

  Executor m_executor;
  std::shared_ptr<State> m_state;
  mutable std::mutex m_mutex;
  CallerBuffers m_buffers;
  std::uint64_t m_last_stream = 0;
  std::map<std::uint64_t, std::shared_ptr<Stream>> m_streams;
};

}  // namespace fulmarpoint
