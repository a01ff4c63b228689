#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>

#include "transport/task.h"

namespace fulmarpoint {

/// The requests that run at this daemon, for the limit on their number and for the planned
/// shutdown. Thread-safe.
class RunningRequests {
 public:
  explicit RunningRequests(std::size_t limit) : m_limit(limit) {}

  /// Counts one request for the lifetime of this object.
  class Entry {
   public:
    Entry(RunningRequests* requests, std::uint64_t number)
        : m_requests(requests), m_number(number) {}
    ~Entry();
    Entry(const Entry&) = delete;
    Entry& operator=(const Entry&) = delete;

    /// Returns false if the limit of running requests is reached.
    bool IsAccepted() const { return m_requests != nullptr; }
    /// `hand_off` is posted to `strand` when the daemon stops and the request is to continue at
    /// another daemon.
    void OnHandOff(const Executor& strand, std::function<void()> hand_off);

   private:
    RunningRequests* m_requests;
    std::uint64_t m_number;
  };

  Entry Begin();
  std::size_t Count() const;
  /// Notifies all requests that can continue at another daemon.
  void HandOffAll();

 private:
  struct Running {
    Executor strand;
    std::function<void()> hand_off;
  };

  const std::size_t m_limit;
  mutable std::mutex m_mutex;
  std::uint64_t m_next = 1;
  std::map<std::uint64_t, Running> m_running;
  bool m_handing_off = false;
};

}  // namespace fulmarpoint
