#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "protocol/bounded_serialization.h"
#include "protocol/suspect_messages.h"
#include "utils/time.h"

namespace fulmarpoint {

/// A run ended, and the process of its endpoint with it. Sent to the daemon that counts the crashes
/// of this fingerprint.
struct CrashReport {
  Fingerprint fingerprint = 0;
  std::string endpoint;
  /// Microseconds from the start of the run to its end, and from there to this message.
  std::uint32_t ran_us = 0;
  std::uint32_t ended_us_ago = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(fingerprint, ran_us, ended_us_ago);
    internal::SerializeText(archive, endpoint);
  }
};

/// Asks all daemons whether a request with this fingerprint has been completed lately.
struct CompletionQuery {
  Fingerprint fingerprint = 0;
  /// Milliseconds from the start of the first run that ended in a crash.
  std::uint32_t lookback_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(fingerprint, lookback_ms);
  }
};

/// An endpoint completed such a request and goes on. Answers an inquiry, or refutes a verdict.
struct CompletionReport {
  Fingerprint fingerprint = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(fingerprint);
  }
};

/// Requests with this fingerprint crash the endpoints that run them and get no run for some time;
/// or, with none, the verdict was refuted.
struct QuarantineUpdate {
  Fingerprint fingerprint = 0;
  std::uint32_t blocked_ms = 0;

  /// Returns a verdict that holds for `time`, rounded up: it must end at its home first, because
  /// the home tells the others of the first crash after that. Thread-safe.
  static QuarantineUpdate WithDuration(Fingerprint fingerprint, Duration time);
  /// Returns how long it holds; zero if it was refuted. Thread-safe.
  Duration QuarantineTime() const { return std::chrono::milliseconds(blocked_ms); }

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(fingerprint, blocked_ms);
  }
};

/// What daemons tell each other about requests that crash endpoints. Sent over UDP; a daemon that
/// has missed a verdict gets it once more in answer to its next report.
using CrashMessage = std::variant<CrashReport, CompletionQuery, CompletionReport, QuarantineUpdate>;

}  // namespace fulmarpoint
