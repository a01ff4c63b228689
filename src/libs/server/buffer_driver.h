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

/// Brings the decisions on buffers to the strands of the streams concerned. Thread-safe.
class BufferDriver {
 public:
  using Listener = std::function<void(const CallerBuffersAction&)>;

  BufferDriver(Executor executor, CallerBuffersSettings settings);
  BufferDriver(const BufferDriver&) = delete;
  BufferDriver& operator=(const BufferDriver&) = delete;

  /// Starts the timer of the module.
  void Start();
  void Stop();
  bool MayOpen(const OrganisationId& organisation) const;
  /// Returns the output that is buffered for all callers.
  std::size_t HeldBytes() const;

  /// Returns the number of a new stream; `listener` is called on `strand`.
  std::uint64_t Open(const OrganisationId& organisation, bool can_regenerate,
                     const Executor& strand, Listener listener);
  /// Passes `StreamAppended`, `StreamDrained` or `StreamEnded` to the module.
  void Handle(const CallerBuffersEvent& event);
  /// Call on the strand of the stream: its listener is not called any more.
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
