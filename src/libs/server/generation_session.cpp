#include "server/generation_session.h"

#include <memory>
#include <utility>

#include "server/dispatcher.h"
#include "server/generation_driver.h"

namespace fulmarpoint {

Task<SessionResult> RunGeneration(Services& services, GenerationRequest request,
                                  HttpExchange& exchange) {
  if (request.resume) {
    services.dispatcher.HandleSuspects(
        PriorAttemptReported{request.fingerprint, request.resume->endpoint, 0});
  }
  const Executor strand = co_await CurrentExecutor();
  GenerationDriver driver(services, std::move(request), exchange, strand);
  co_return co_await driver.Run();
}

}  // namespace fulmarpoint
