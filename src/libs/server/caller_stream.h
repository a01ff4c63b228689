#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "transport/http_server.h"
#include "transport/notification.h"
#include "transport/task.h"

namespace fulmarpoint {

/// Buffer between a generation and its caller: writes server-sent events in order, so that a slow
/// caller does not hold up the session. Use it only on the strand of the exchange, which outlives
/// it; `Finish` must complete before it is destroyed.
class CallerStream {
 public:
  /// `on_written` receives the bytes that the kernel has accepted, or 0 when a write has failed.
  CallerStream(HttpExchange& exchange, const Executor& strand,
               std::function<void(std::size_t)> on_written);

  /// Adds the event of a token.
  void AppendToken(std::uint64_t position, std::string text);
  /// Adds an event that is never dropped.
  void Append(std::string text);
  /// Forgets the tokens that have not been handed to the kernel; returns the first position of
  /// them.
  std::optional<std::uint64_t> DropTokens();
  /// Returns whether nothing waits or is being written.
  bool Idle() const { return m_queue.empty() && !m_writing; }
  bool Failed() const { return m_failed; }
  bool Started() const { return m_started; }
  /// Completes when all is written or the caller has gone.
  Task<void> Finish();

 private:
  struct Item {
    std::optional<std::uint64_t> position;
    std::string text;
  };

  void Start();
  Task<void> Write();
  Task<void> WriteQueue();

  HttpExchange& m_exchange;
  Executor m_strand;
  std::function<void(std::size_t)> m_on_written;
  std::deque<Item> m_queue;
  Notification m_wake;
  Notification m_done;
  bool m_started = false;
  bool m_closing = false;
  bool m_writing = false;
  bool m_failed = false;
};

}  // namespace fulmarpoint
