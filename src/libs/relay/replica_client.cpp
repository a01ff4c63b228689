#include "relay/replica_client.h"

#include <optional>
#include <utility>
#include <vector>

#include "protocol/table_replica_rows.h"

namespace fulmarpoint {

namespace {

// Added to the time that the peer may wait for a change.
constexpr Duration kReplyTimeout = std::chrono::milliseconds(400);

StoreReply ToStoreReply(const TableReplicaReply& replica, const std::string& table) {
  StoreReply reply;
  std::optional<std::vector<TableReplicaRow>> rows = UnpackRows(replica.packed_rows);
  if (!rows) return reply;
  reply.status = replica.status;
  reply.position = replica.position;
  reply.age = std::chrono::milliseconds(replica.age_ms);
  for (TableReplicaRow& replica_row : *rows) {
    StoreRow row;
    row.table = table;
    row.key = std::move(replica_row.key);
    row.value = std::move(replica_row.value);
    row.version = replica_row.version;
    row.removed = replica_row.removed;
    row.provisional_for = std::chrono::milliseconds(replica_row.provisional_for_ms);
    reply.rows.push_back(std::move(row));
  }
  return reply;
}

}  // namespace

Task<StoreReply> ReplicaClient::FetchChanges(std::string address, std::string table,
                                             StorePosition after, Duration wait) {
  TableReplicaRequest request;
  request.table = table;
  request.after = after;
  request.wait_ms = static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(wait).count());
  const std::optional<std::string> bytes = co_await m_connections.SendRequest(
      std::move(address), std::move(request), wait + kReplyTimeout);
  if (!bytes) co_return StoreReply();
  const std::optional<TableReplicaReply> reply = DecodeTableReplicaReply(*bytes);
  if (!reply) co_return StoreReply();
  co_return ToStoreReply(*reply, table);
}

}  // namespace fulmarpoint
