#include "server/generation_session.h"

#include <memory>
#include <utility>

#include "server/generation_driver.h"

namespace fulmarpoint {

Task<SessionResult> RunGeneration(Services& services, GenerationRequest request,
                                  HttpExchange& exchange) {
  const Executor strand = co_await CurrentExecutor();
  GenerationDriver driver(services, std::move(request), exchange, strand);
  co_return co_await driver.Run();
}

}  // namespace fulmarpoint
