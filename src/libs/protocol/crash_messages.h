#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "protocol/bounded_serialization.h"
#include "protocol/suspect_messages.h"
#include "utils/time.h"

namespace fulmarpoint {

/// An endpoint process crashed during an attempt. Sent to the owner of the fingerprint, the daemon
/// that counts its crashes: one report for the whole request and one for each part of its prompt.
struct CrashReport {
  Fingerprint fingerprint = 0;
  /// Fingerprint of the whole request; the same as `fingerprint` in the report for it.
  Fingerprint request = 0;
  /// In the report for a part of the prompt: the fingerprints of the other parts.
  std::vector<Fingerprint> companions;
  /// Identifies the endpoint process, not only the endpoint.
  std::string endpoint;
  /// Duration of the attempt in microseconds.
  std::uint32_t ran_us = 0;
  /// Microseconds from the end of the attempt to the sending of this message.
  std::uint32_t ended_us_ago = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(fingerprint, request, ran_us, ended_us_ago);
    internal::SerializeList(archive, companions);
    internal::SerializeText(archive, endpoint);
  }
};

/// Completion query: queries all daemons whether a request with this fingerprint, of the whole or
/// of a part of its prompt, has completed lately.
struct CompletionQuery {
  Fingerprint fingerprint = 0;
  /// How long ago the completion may have been, in milliseconds.
  std::uint32_t lookback_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(fingerprint, lookback_ms);
  }
};

/// An endpoint completed a request with this fingerprint without crashing. Replies to a completion
/// query, or clears a quarantine.
struct CompletionReport {
  Fingerprint fingerprint = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(fingerprint);
  }
};

/// Quarantines the requests with this fingerprint, of the whole or of a part of the prompt, because
/// they crash the endpoints that run them, or clears the quarantine.
struct QuarantineUpdate {
  Fingerprint fingerprint = 0;
  /// Remaining duration of the quarantine; 0 clears it.
  std::uint32_t quarantine_ms = 0;
  /// Only requests that have all these parts too are in quarantine: it is not known which of the
  /// parts crashes endpoints.
  std::vector<Fingerprint> companions;

  /// Returns a quarantine for `time`, rounded up: it must expire at the fingerprint's owner first,
  /// because the owner notifies the other daemons of the first crash after that. Thread-safe.
  static QuarantineUpdate WithDuration(Fingerprint fingerprint, Duration time);
  /// Returns how long the quarantine lasts; zero if it is cleared. Thread-safe.
  Duration QuarantineTime() const { return std::chrono::milliseconds(quarantine_ms); }

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(fingerprint, quarantine_ms);
    internal::SerializeList(archive, companions);
  }
};

/// What a daemon knows of a quarantine, which may have expired or been cleared.
struct QuarantineRecord {
  Fingerprint fingerprint = 0;
  /// Remaining duration of the quarantine, rounded up; 0 if it has expired.
  std::uint32_t quarantine_ms = 0;
  /// Milliseconds since the quarantine began or was cleared.
  std::uint32_t age_ms = 0;
  /// Number of quarantines of the fingerprint, this one included; 0 if it was cleared.
  std::uint32_t count = 0;
  /// As in `QuarantineUpdate`.
  std::vector<Fingerprint> companions;

  /// Returns the record of a quarantine that lasts for `time` more. Thread-safe.
  static QuarantineRecord Of(Fingerprint fingerprint, std::uint32_t count, Duration time,
                             Duration age);
  /// Returns the record of a quarantine that was cleared `age` ago. Thread-safe.
  static QuarantineRecord Cleared(Fingerprint fingerprint, Duration age);
  bool IsCleared() const { return count == 0; }
  Duration QuarantineTime() const { return std::chrono::milliseconds(quarantine_ms); }
  Duration Age() const { return std::chrono::milliseconds(age_ms); }

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(fingerprint, quarantine_ms, age_ms, count);
    internal::SerializeList(archive, companions);
  }
};

/// Asks a daemon for the quarantines that it knows, if the digest of its own differs (see
/// `QuarantineTable`). Answered by one `QuarantineRecord` for each.
struct QuarantineQuery {
  std::uint64_t digest = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(digest);
  }
};

/// Messages between daemons about poison requests, which crash the endpoints that run them. Sent
/// over UDP; a daemon that has missed a quarantine, or was not there when it began, receives it in
/// reply to its next `QuarantineQuery` or `CrashReport`.
using CrashMessage = std::variant<CrashReport, CompletionQuery, CompletionReport, QuarantineUpdate,
                                  QuarantineQuery, QuarantineRecord>;

}  // namespace fulmarpoint
