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

/// Queue of server-sent events for one caller. Writes them in order and asynchronously, so that a
/// slow caller does not block the session. Use it only on the strand of the exchange, which must
/// outlive it; `Finish` must complete before it is destroyed.
class CallerStream {
 public:
  /// `on_written` receives the number of bytes that the kernel has accepted, or 0 if a write
  /// failed.
  CallerStream(HttpExchange& exchange, const Executor& strand,
               std::function<void(std::size_t)> on_written);

  /// Appends the event of a token.
  void AppendToken(std::uint64_t position, std::string text);
  /// Appends an event that is never dropped.
  void Append(std::string text);
  /// Drops the tokens that have not been passed to the kernel; returns the position of the first
  /// one.
  std::optional<std::uint64_t> DropTokens();
  /// Returns whether the queue is empty and no write is in progress.
  bool Idle() const { return m_queue.empty() && !m_writing; }
  bool Failed() const { return m_failed; }
  bool Started() const { return m_started; }
  /// Completes when all events are written or a write has failed.
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
