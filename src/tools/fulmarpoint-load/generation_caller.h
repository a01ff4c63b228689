#pragma once

#include <memory>
#include <string>
#include <vector>

#include "experiment.h"
#include "run_context.h"

namespace fulmarpoint::load {

/// One caller of one generation: sends it, and after a lost connection resumes it at the next
/// daemon with its event id and, if the load says so, its tokens. Used by one thread.
class GenerationCaller {
 public:
  /// `context` and `load` must outlive the caller.
  GenerationCaller(RunContext& context, const GenerationLoad& load, std::string name);

  /// Completes with the last outcome.
  Task<void> Run();

 private:
  enum class StreamEnd { kFinished, kRefused, kLost };

  HttpClientRequest BuildRequest(const std::string& address) const;
  Task<StreamEnd> Send(std::string address);
  Task<StreamEnd> ReadStream(std::shared_ptr<HttpEventStream> stream, std::string address);
  void OnToken(const HttpEvent& event);
  /// Returns whether another daemon is worth a try.
  bool MayRetry(const Problem& problem) const;

  RunContext& m_context;
  const GenerationLoad& m_load;
  std::string m_name;
  std::string m_api_key;
  std::string m_prompt;
  std::uint64_t m_seed;
  int m_max_tokens;
  Duration m_read_delay = Duration::zero();
  int m_send = 0;
  std::string m_event_id;
  std::vector<std::string> m_tokens;
  TimePoint m_started;
  TimePoint m_last_event;
};

}  // namespace fulmarpoint::load
