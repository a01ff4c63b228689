#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "coordination/caller_buffers.h"
#include "coordination/generation.h"
#include "server/caller_stream.h"
#include "server/dispatcher.h"
#include "server/engine_link.h"
#include "server/generation_session.h"
#include "transport/notification.h"

namespace fulmarpoint {

/// Translates the actions of one `Generation` to I/O and what happens there to its events. All of
/// it runs on the strand of the exchange.
class GenerationDriver {
 public:
  GenerationDriver(Services& services, GenerationRequest request, HttpExchange& exchange,
                   const Executor& strand);
  ~GenerationDriver();
  GenerationDriver(const GenerationDriver&) = delete;
  GenerationDriver& operator=(const GenerationDriver&) = delete;

  Task<SessionResult> Run();

 private:
  /// A run that the dispatcher counts. Runs of attempts from an event id are not counted.
  struct AttemptRun {
    std::optional<DispatchChoice> choice;
    std::string address;
    TimePoint opened;
    std::optional<AttemptFailure> failure;
    bool refused_leaving = false;
    std::uint64_t tokens = 0;
    TimePoint first_token;
    TimePoint last_token;
  };

  void Push(Generation::Event event);
  void PushFrom(std::uint32_t attempt, Generation::Event event);
  void Feed(const Generation::Event& event);
  void Note(const Generation::Event& event);
  /// Feeds the timers that are due and returns the time to the next one.
  Duration FeedTimers();

  void Do(const generation::SelectEndpoint& action);
  void Do(const generation::OpenAttempt& action);
  void Do(const generation::ReconnectAttempt& action);
  void Do(const generation::CloseConnection& action);
  void Do(const generation::CancelAttempt& action);
  void Do(const generation::PauseReading& action);
  void Do(const generation::ResumeReading& action);
  void Do(const generation::DeliverToken& action);
  void Do(const generation::Finish& action);
  void Do(const generation::Fail& action);
  void Do(const generation::Move& action);
  void Do(const generation::SetTimer& action);
  void Do(const generation::Decided& action);

  void OnBuffer(const CallerBuffersAction& action);
  void DropTokens();
  void OnWritten(std::size_t bytes);
  void OpenLink(std::uint32_t attempt, std::uint32_t connection, HttpClientRequest request,
                bool reconnects);
  std::string AddressOf(std::uint32_t attempt, const EndpointId& endpoint);
  void CloseLinks(std::uint32_t attempt);
  void EndRun(std::uint32_t attempt, DispatchEnd end);
  void NoteToken(const ResumePoint& point);
  Task<void> SendLastReply();
  void EndAll();

  Services& m_services;
  GenerationRequest m_request;
  HttpExchange& m_exchange;
  Executor m_strand;
  Generation m_generation;
  CallerStream m_caller;
  Notification m_wake;
  std::deque<Generation::Event> m_events;
  std::map<std::uint32_t, TimePoint> m_timers;
  std::map<std::uint32_t, std::shared_ptr<EngineLink>> m_links;
  std::map<std::uint32_t, AttemptRun> m_runs;
  /// Choices that no attempt has used yet.
  std::vector<DispatchChoice> m_choices;
  std::uint64_t m_buffer = 0;
  EndpointId m_active_engine;
  std::uint32_t m_active_attempt = 0;
  std::optional<generation::Fail> m_failure;
  TimePoint m_started;
  std::uint64_t m_tokens = 0;
  TimePoint m_first_token;
  TimePoint m_last_token;
  bool m_resuming = false;
  SessionResult m_result;
  /// Callbacks hold a weak reference, because they may run after the end of the session.
  std::shared_ptr<GenerationDriver*> m_self;
};

}  // namespace fulmarpoint
