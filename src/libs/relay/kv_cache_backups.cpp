#include "relay/kv_cache_backups.h"

#include <optional>
#include <utility>

#include "transport/http_client_exchange.h"
#include "utils/logging.h"

namespace fulmarpoint {

namespace {

constexpr Duration kConnectTimeout = std::chrono::milliseconds(120);
constexpr Duration kReplyTimeout = std::chrono::milliseconds(1500);
constexpr std::size_t kMaxReplyBytes = std::size_t{64} * 1024;

/// Sends a call to an engine on a new connection. The status is 0 if there is no complete reply.
Task<HttpReply> CallEngine(Executor executor, std::string address, EngineCall call) {
  HttpClientExchange connection(executor, HttpClientExchange::Options());
  HttpReply reply;
  reply.status = 0;
  if (co_await connection.Connect(std::move(address), kConnectTimeout)) co_return reply;
  HttpClientRequest request;
  request.method = std::move(call.method);
  request.target = std::move(call.target);
  request.body = std::move(call.body);
  if (!request.body.empty()) request.headers.push_back({"Content-Type", "application/json"});
  connection.Start(std::move(request));
  HttpReply received;
  if (co_await connection.ReadHead(received, kReplyTimeout)) co_return reply;
  const std::error_code error =
      co_await connection.ReadBody(received.body, kMaxReplyBytes, kReplyTimeout);
  co_return error ? reply : received;
}

}  // namespace

Task<void> RequestKvCacheBackup(RelayContext& context, std::shared_ptr<KvCacheBackup> backup,
                                std::string source, std::string request_id, std::string holder) {
  EngineCall call = context.wire.encode_backup_request(request_id, holder);
  const HttpReply reply = co_await CallEngine(context.executor, std::move(source), std::move(call));
  const std::optional<std::string> name = context.wire.decode_backup_reply(reply);
  backup->OnRequestEnded(name);
  context.metrics.Count("run_copies_requested", name ? "made" : "failed");
  if (!name) {
    Log(LogLevel::kWarning, "copy_failed", {{"request", request_id}, {"status", reply.status}});
  }
}

void ReleaseKvCacheBackup(const RelayContext& context, const KvCacheBackupSource& backup) {
  Spawn(context.executor,
        [executor = context.executor, address = backup.address,
         call = context.wire.encode_backup_release(backup.name)]() -> Task<void> {
          co_await CallEngine(executor, address, call);
        });
}

}  // namespace fulmarpoint
