#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "coordination/generation.h"
#include "transport/http_client.h"
#include "transport/notification.h"
#include "transport/task.h"

namespace fulmarpoint {

/// One connection to a model engine. Reads a stream and reports its tokens as events. Use it only
/// on one strand. Keeps itself alive until its reads have ended.
class EngineLink : public std::enable_shared_from_this<EngineLink> {
 public:
  using Sink = std::function<void(Generation::Event)>;

  /// `http` must outlive this object.
  EngineLink(HttpClient& http, const Executor& strand, std::uint32_t attempt,
             std::uint32_t connection, Sink sink);

  /// Sends the request and reads its reply. `reconnects` is true if the request continues a stream
  /// that the engine holds, false if it opens a new stream.
  void Start(HttpClientRequest request, bool reconnects);
  void PauseReading() { m_paused = true; }
  void ResumeReading();
  /// Closes the connection; no event is reported afterwards.
  void Close();
  std::uint32_t Attempt() const { return m_attempt; }
  /// Returns whether the engine rejected the request because it is leaving.
  bool RefusedLeaving() const { return m_refused_leaving; }

 private:
  static Task<void> Run(std::shared_ptr<EngineLink> self, HttpClientRequest request,
                        bool reconnects);
  Task<void> Read();
  void Report(Generation::Event event);
  void ReportFailure(AttemptFailure failure);
  AttemptFailure FailureOf(const HttpStreamResult& opened, bool reconnects);

  HttpClient& m_http;
  Executor m_strand;
  std::uint32_t m_attempt;
  std::uint32_t m_connection;
  Sink m_sink;
  Notification m_resume;
  std::unique_ptr<HttpEventStream> m_stream;
  bool m_paused = false;
  bool m_closed = false;
  bool m_refused_leaving = false;
};

}  // namespace fulmarpoint
