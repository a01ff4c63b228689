#include "server/engine_link.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace fulmarpoint {

namespace {

using Json = nlohmann::json;

}  // namespace

EngineLink::EngineLink(HttpClient& http, const Executor& strand, std::uint32_t attempt,
                       std::uint32_t connection, Sink sink)
    : m_http(http),
      m_strand(strand),
      m_attempt(attempt),
      m_connection(connection),
      m_sink(std::move(sink)),
      m_resume(strand) {}

void EngineLink::Start(HttpClientRequest request, bool reconnects) {
  Spawn(m_strand, [self = shared_from_this(), request = std::move(request), reconnects]() {
    return Run(self, request, reconnects);
  });
}

void EngineLink::ResumeReading() {
  m_paused = false;
  m_resume.Notify();
}

void EngineLink::Close() {
  m_closed = true;
  m_sink = nullptr;
  m_resume.Notify();
  if (m_stream) m_stream->Close();
}

void EngineLink::Report(Generation::Event event) {
  if (!m_closed) m_sink(std::move(event));
}

void EngineLink::ReportFailure(AttemptFailure failure) {
  Report(generation::AttemptFailed{m_attempt, m_connection, failure});
}

AttemptFailure EngineLink::FailureOf(const HttpStreamResult& opened, bool reconnects) {
  if (opened.error) {
    return opened.nothing_written ? AttemptFailure::kNotConnected : AttemptFailure::kConnectionLost;
  }
  const int status = opened.reply.status;
  if (reconnects && status == 404) return AttemptFailure::kStreamNotHeld;
  if (status == 429 || status == 503) {
    m_refused_leaving = opened.reply.body.find("leaving") != std::string::npos;
    return AttemptFailure::kRefused;
  }
  return AttemptFailure::kBadAnswer;
}

Task<void> EngineLink::Run(std::shared_ptr<EngineLink> self, HttpClientRequest request,
                           bool reconnects) {
  HttpStreamResult opened = co_await self->m_http.OpenStream(std::move(request));
  if (self->m_closed) co_return;
  if (!opened.stream) {
    self->ReportFailure(self->FailureOf(opened, reconnects));
    co_return;
  }
  self->m_stream = std::move(opened.stream);
  if (reconnects) self->Report(generation::Reconnected{self->m_attempt, self->m_connection});
  co_await self->Read();
}

Task<void> EngineLink::Read() {
  while (!m_closed) {
    if (m_paused) {
      co_await m_resume.Wait();
      continue;
    }
    const HttpEvent event = co_await m_stream->Next();
    if (m_closed) co_return;
    if (event.error || event.end) co_return ReportFailure(AttemptFailure::kConnectionLost);
    const Json data = Json::parse(event.data, nullptr, false);
    const auto number = [&data](const char* name) -> const Json* {
      const auto found = data.find(name);
      return found != data.end() && found->is_number_unsigned() ? &*found : nullptr;
    };
    if (!data.is_object()) co_return ReportFailure(AttemptFailure::kBadAnswer);
    if (data.contains("done")) {
      const Json* total = number("total");
      if (total == nullptr) co_return ReportFailure(AttemptFailure::kBadAnswer);
      co_return Report(generation::StreamEnded{m_attempt, total->get<std::uint64_t>()});
    }
    const Json* position = number("position");
    const auto token = data.find("token");
    if (position == nullptr || token == data.end() || !token->is_string()) {
      co_return ReportFailure(AttemptFailure::kBadAnswer);
    }
    Report(generation::TokenReceived{m_attempt, position->get<std::uint64_t>(),
                                     token->get<std::string>()});
  }
}

}  // namespace fulmarpoint
