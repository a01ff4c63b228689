#pragma once

#include <memory>
#include <string>
#include <vector>

#include "experiment.h"
#include "run_context.h"

namespace fulmarpoint::load {

/// Simulated caller that requests one generation. After a lost connection it resumes at the next
/// daemon with the last event id and, if `GenerationLoad::sends_tokens_back` is set, with the
/// tokens received. Used by one thread.
class GenerationCaller {
 public:
  /// `context` and `load` must outlive the caller.
  GenerationCaller(RunContext& context, const GenerationLoad& load, std::string name);

  /// Completes when the generation has its final outcome or the attempts are used up.
  Task<void> Run();

 private:
  enum class StreamEnd { kFinished, kRefused, kLost };

  HttpClientRequest BuildRequest(const std::string& address) const;
  Task<StreamEnd> Send(std::string address);
  Task<StreamEnd> ReadStream(std::shared_ptr<HttpEventStream> stream, std::string address);
  void OnToken(const HttpEvent& event);
  /// Returns whether another daemon may accept the request.
  bool MayRetry(const Problem& problem) const;

  RunContext& m_context;
  const GenerationLoad& m_load;
  std::string m_name;
  std::string m_api_key;
  std::string m_prompt;
  std::uint64_t m_seed;
  int m_max_tokens;
  Duration m_read_delay = Duration::zero();
  int m_attempt = 0;
  std::string m_event_id;
  std::vector<std::string> m_tokens;
  TimePoint m_started;
  TimePoint m_last_token_time;
};

}  // namespace fulmarpoint::load
