#pragma once

#include <string>

#include "coordination/lease.h"
#include "protocol/store_messages.h"
#include "relay/relay_wire.h"
#include "transport/task.h"

namespace fulmarpoint {

/// Returns the row of `table` and `key` in a reply; null if it has none or the row was removed.
const StoreRow* FindRow(const StoreReply& reply, const std::string& table, const std::string& key);

/// Reads the rows of `table` from `key` on.
Task<StoreReply> ReadRowsFrom(const Store& store, std::string table, std::string key);

/// Perform the actions of a `Lease` on its row in the store and return the events that follow.
/// `store` must outlive the task.
Task<Lease::RowRead> ReadLeaseRow(const Store& store, Lease::ReadRow read);
Task<Lease::WriteDone> WriteLeaseRow(const Store& store, Lease::WriteRow write);

}  // namespace fulmarpoint
