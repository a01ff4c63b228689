#include "relay/kv_cache_backups.h"

#include <optional>
#include <utility>

#include "transport/http_client_exchange.h"
#include "utils/logging.h"

namespace fulmarpoint {

namespace {

constexpr Duration kConnectTime = std::chrono::milliseconds(120);
constexpr Duration kReplyTime = std::chrono::milliseconds(1500);
constexpr std::size_t kMaxReplyBytes = std::size_t{64} * 1024;

/// Sends a call to an engine on a connection of its own. The status is 0 without an answer.
Task<HttpReply> CallEngine(Executor executor, std::string address, EngineCall call) {
  HttpClientExchange connection(executor, HttpClientExchange::Options());
  HttpReply reply;
  reply.status = 0;
  if (co_await connection.Connect(std::move(address), kConnectTime)) co_return reply;
  HttpClientRequest request;
  request.method = std::move(call.method);
  request.target = std::move(call.target);
  request.body = std::move(call.body);
  if (!request.body.empty()) request.headers.push_back({"Content-Type", "application/json"});
  connection.Start(std::move(request));
  HttpReply received;
  if (co_await connection.ReadHead(received, kReplyTime)) co_return reply;
  const std::error_code error =
      co_await connection.ReadBody(received.body, kMaxReplyBytes, kReplyTime);
  co_return error ? reply : received;
}

}  // namespace

Task<void> RequestCopy(RelayContext& context, std::shared_ptr<KvCacheBackup> copy,
                       std::string source, std::string request_id, std::string holder) {
  EngineCall call = context.wire.copy_run(request_id, holder);
  const HttpReply reply = co_await CallEngine(context.executor, std::move(source), std::move(call));
  const std::optional<std::string> name = context.wire.decode_copy(reply);
  copy->OnRequestEnded(name);
  context.metrics.Count("run_copies_requested", name ? "made" : "failed");
  if (!name) {
    Log(LogLevel::kWarning, "copy_failed", {{"request", request_id}, {"status", reply.status}});
  }
}

void ReleaseCopy(const RelayContext& context, const KvCacheBackupSource& copy) {
  Spawn(context.executor,
        [executor = context.executor, address = copy.address,
         call = context.wire.free_copy(copy.name)]() -> Task<void> {
          co_await CallEngine(executor, address, call);
        });
}

}  // namespace fulmarpoint
