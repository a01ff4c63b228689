#include "support/fake_table_service.h"

#include <utility>

namespace fulmarpoint {

FakeTableService::Result FakeTableService::Apply(const std::vector<Operation>& operations) {
  Result result;
  for (const Operation& operation : operations) {
    const std::optional<Row> row = Find(operation.table, operation.key);
    if ((row ? row->version : 0) == operation.expect) continue;
    result.conflicts.push_back({operation.table, operation.key, row});
  }
  if (!result.conflicts.empty()) return result;
  result.version = ++m_version;
  ++m_transactions;
  for (const Operation& operation : operations) {
    if (operation.value) {
      m_rows[{operation.table, operation.key}] = Row{*operation.value, m_version};
    } else {
      m_rows.erase({operation.table, operation.key});
    }
  }
  return result;
}

std::optional<FakeTableService::Row> FakeTableService::Find(const std::string& table,
                                                            const std::string& key) const {
  const auto found = m_rows.find({table, key});
  if (found == m_rows.end()) return std::nullopt;
  return found->second;
}

void FakeTableService::Exchange(const std::string& client, bool write,
                                const std::function<std::function<void()>()>& serve) {
  if (m_mode == Mode::kDown) return;
  const Mode mode = m_mode;
  const bool late = mode == Mode::kSlow || (write && mode == Mode::kDelayedWrite);
  m_network.SendDatagram(client, kNode, [this, client, write, serve, late, mode] {
    m_queue.After(late ? m_delay : Duration::zero(), [this, client, write, serve, mode] {
      const std::function<void()> reply = serve();
      const bool lost = write && (mode == Mode::kResponseLost || mode == Mode::kDelayedWrite);
      if (!lost) m_network.SendDatagram(kNode, client, reply);
    });
  });
}

void FakeTableService::Submit(const std::string& client, std::vector<Operation> operations,
                              std::function<void(Result)> reply) {
  Exchange(client, true, [this, operations = std::move(operations), reply = std::move(reply)] {
    return [reply, result = Apply(operations)] { reply(result); };
  });
}

void FakeTableService::Read(const std::string& client, const std::string& table,
                            const std::string& key, std::function<void(std::optional<Row>)> reply) {
  Exchange(client, false, [this, table, key, reply = std::move(reply)] {
    return [reply, row = Find(table, key)] { reply(row); };
  });
}

void FakeTableService::ReadSince(
    const std::string& client, const std::string& table, std::uint64_t since,
    std::function<void(std::map<std::string, Row>, std::uint64_t)> reply) {
  Exchange(client, false, [this, table, since, reply = std::move(reply)] {
    std::map<std::string, Row> rows;
    for (const auto& [name, row] : m_rows) {
      if (name.first == table && row.version > since) rows.emplace(name.second, row);
    }
    return [reply, rows, version = m_version] { reply(rows, version); };
  });
}

}  // namespace fulmarpoint
