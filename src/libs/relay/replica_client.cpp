#include "relay/replica_client.h"

#include <optional>
#include <utility>
#include <vector>

#include "protocol/table_replica_rows.h"

namespace fulmarpoint {

namespace {

// On top of the time that the peer may wait.
constexpr Duration kReplyTime = std::chrono::milliseconds(400);

StoreReply ToStoreReply(const TableReplicaReply& mirrored, const std::string& table) {
  StoreReply reply;
  std::optional<std::vector<TableReplicaRow>> rows = UnpackRows(mirrored.packed_rows);
  if (!rows) return reply;
  reply.status = mirrored.status;
  reply.version = mirrored.version;
  reply.age = std::chrono::milliseconds(mirrored.age_ms);
  for (TableReplicaRow& mirrored_row : *rows) {
    StoreRow row;
    row.table = table;
    row.key = std::move(mirrored_row.key);
    row.value = std::move(mirrored_row.value);
    row.version = mirrored_row.version;
    row.removed = mirrored_row.removed;
    row.provisional_for = std::chrono::milliseconds(mirrored_row.provisional_for_ms);
    reply.rows.push_back(std::move(row));
  }
  return reply;
}

}  // namespace

Task<StoreReply> MirrorClient::Ask(std::string address, std::string table, std::uint64_t after,
                                   Duration wait) {
  TableReplicaRequest request;
  request.table = table;
  request.after = after;
  request.wait_ms = static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(wait).count());
  const std::optional<std::string> bytes =
      co_await m_connections.Ask(std::move(address), std::move(request), wait + kReplyTime);
  if (!bytes) co_return StoreReply();
  const std::optional<TableReplicaReply> reply = DecodeTableReplicaReply(*bytes);
  if (!reply) co_return StoreReply();
  co_return ToStoreReply(*reply, table);
}

}  // namespace fulmarpoint
