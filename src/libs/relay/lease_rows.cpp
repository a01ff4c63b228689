#include "relay/lease_rows.h"

#include <utility>

namespace fulmarpoint {

namespace {

constexpr char kLeaseRowTable[] = "fulmarpoint-leases";

TableOutcome OutcomeOf(StoreStatus status) {
  if (status == StoreStatus::kOk) return TableOutcome::kDone;
  if (status == StoreStatus::kConflict) return TableOutcome::kConflict;
  return TableOutcome::kUnknown;
}

}  // namespace

const StoreRow* FindRow(const StoreReply& reply, const std::string& table, const std::string& key) {
  for (const StoreRow& row : reply.rows) {
    if (row.table == table && row.key == key && !row.removed) return &row;
  }
  return nullptr;
}

Task<StoreReply> ReadRowsFrom(const Store& store, std::string table, std::string key) {
  StoreRead read;
  read.table = std::move(table);
  read.from = std::move(key);
  co_return co_await store.read(std::move(read));
}

Task<Lease::RowRead> ReadLeaseRow(const Store& store, Lease::ReadRow read) {
  const StoreReply reply = co_await ReadRowsFrom(store, kLeaseRowTable, read.key);
  Lease::RowRead event{read.token, reply.status == StoreStatus::kOk, std::nullopt,
                       reply.position.epoch};
  if (const StoreRow* row = FindRow(reply, kLeaseRowTable, read.key)) {
    event.row = TableRow{row->key, row->version, row->value};
  }
  co_return event;
}

Task<Lease::WriteDone> WriteLeaseRow(const Store& store, Lease::WriteRow write) {
  const TableOperation& operation = write.operation;
  StoreTransaction transaction;
  transaction.conditions.push_back({kLeaseRowTable, "", operation.key, operation.expect});
  StoreRow row;
  row.table = kLeaseRowTable;
  row.key = operation.key;
  row.value = operation.value.value_or("");
  transaction.puts.push_back(std::move(row));
  const StoreReply reply = co_await store.commit(std::move(transaction));
  co_return Lease::WriteDone{write.token, OutcomeOf(reply.status), reply.position.version,
                             reply.position.epoch};
}

}  // namespace fulmarpoint
