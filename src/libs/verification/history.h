#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "protocol/identifiers.h"
#include "protocol/result_code.h"
#include "utils/enum_names.h"
#include "utils/time.h"

namespace fulmarpoint {

/// Name that a test or the load tool gives to one logical request. All sends of a request, with
/// the same idempotency key or event id, have the same name.
using RequestName = std::string;

enum class RequestKind { kGeneration, kCall };

/// Why work reached an endpoint.
enum class WorkKind {
  /// First attempt of a request.
  kNew,
  /// Another attempt of a generation that has begun.
  kResumed,
  /// Reconnection to a stream that the endpoint still holds.
  kReconnected,
};

enum class LeavingSignal { kList, kReport, kRefusal };

inline constexpr std::array<EnumName<LeavingSignal>, 3> kLeavingSignalNames = {{
    {LeavingSignal::kList, "list"},
    {LeavingSignal::kReport, "report"},
    {LeavingSignal::kRefusal, "refusal"},
}};

/// A caller sends a request. `send` is 0 for the first time and counts the repetitions.
struct RequestSent {
  RequestName request;
  int send = 0;
  RequestKind kind = RequestKind::kGeneration;
  ServiceName service;
  /// Of a generation, the arguments of `TokenAt`.
  std::string model;
  std::string prompt;
  std::uint64_t seed = 0;
  /// Of a call: whether it may run more than once.
  bool idempotent = false;
  /// Of a call: its only correct answer. Empty if unknown.
  std::string expected_answer;
};

/// A caller receives a token.
struct TokenReceived {
  RequestName request;
  std::uint64_t position = 0;
  std::string token;
};

/// A caller receives the end of a generation (`total`) or the answer to a call (`body`).
struct AnswerReceived {
  RequestName request;
  std::uint64_t total = 0;
  std::string body;
};

/// A caller receives an error, before or after tokens.
struct RefusalReceived {
  RequestName request;
  int send = 0;
  ResultCode code = ResultCode::kInternal;
  Execution execution = Execution::kMayHaveRun;
  std::string daemon;
};

/// A caller loses its connection before the end. `moved` is set if the daemon announced it.
struct ConnectionLost {
  RequestName request;
  std::string daemon;
  bool moved = false;
};

/// A caller stops waiting; it expects no answer any more.
struct RequestAbandoned {
  RequestName request;
};

/// A daemon accepts a request under a revision of the catalogue.
struct RequestAdmitted {
  RequestName request;
  std::string daemon;
  std::uint64_t revision = 0;
};

/// At least one byte of a request reaches an endpoint that does not refuse it.
struct RequestStarted {
  RequestName request;
  EndpointId endpoint;
  ServiceName service;
  VersionName version;
  WorkKind work = WorkKind::kNew;
};

/// A call takes effect at an endpoint.
struct EffectApplied {
  RequestName request;
  EndpointId endpoint;
};

struct EndpointCrashed {
  EndpointId endpoint;
};

/// A signal that the endpoint is leaving can be seen by a daemon.
struct EndpointLeaving {
  EndpointId endpoint;
  LeavingSignal signal = LeavingSignal::kList;
};

/// The endpoint, or a new process under its name, takes work again.
struct EndpointLive {
  EndpointId endpoint;
};

struct DaemonStarted {
  std::string daemon;
};

/// The daemon ends, by a crash or at the end of a planned shutdown.
struct DaemonStopped {
  std::string daemon;
};

struct DaemonPaused {
  std::string daemon;
};

struct DaemonUnpaused {
  std::string daemon;
};

/// The daemon refuses new work because it cannot prove that its catalogue is current.
struct DaemonFenced {
  std::string daemon;
};

struct DaemonUnfenced {
  std::string daemon;
};

/// A planned shutdown begins.
struct DrainStarted {
  std::string daemon;
};

/// An operator is told that a change is accepted.
struct RevisionAccepted {
  std::uint64_t revision = 0;
};

struct RevisionInEffect {
  std::string daemon;
  std::uint64_t revision = 0;
};

struct RolloutStarted {
  ServiceName service;
  VersionName version;
};

/// The version has passed its canary phase.
struct VersionProven {
  ServiceName service;
  VersionName version;
};

/// The regression of a version is visible at one daemon.
struct VersionDeclaredBad {
  ServiceName service;
  VersionName version;
  std::string daemon;
};

using HistoryEvent =
    std::variant<RequestSent, TokenReceived, AnswerReceived, RefusalReceived, ConnectionLost,
                 RequestAbandoned, RequestAdmitted, RequestStarted, EffectApplied, EndpointCrashed,
                 EndpointLeaving, EndpointLive, DaemonStarted, DaemonStopped, DaemonPaused,
                 DaemonUnpaused, DaemonFenced, DaemonUnfenced, DrainStarted, RevisionAccepted,
                 RevisionInEffect, RolloutStarted, VersionProven, VersionDeclaredBad>;

struct HistoryRecord {
  TimePoint at;
  HistoryEvent event;
};

/// Records in the order of their times; records with equal times in the order in which they
/// happened.
using History = std::vector<HistoryRecord>;

/// Orders records that several observers have appended. Thread-safe for distinct histories.
void SortByTime(History& history);

/// Returns the record as one line: time in microseconds, event, fields. Thread-safe.
std::string Describe(const HistoryRecord& record);

}  // namespace fulmarpoint
