#include "simulation/fleet.h"

#include <algorithm>

#include "utils/overloaded.h"

namespace fulmarpoint {

namespace {

constexpr std::size_t kUdpOverheadBytes = 28;
/// Headers of an HTTP request and its response over an open connection.
constexpr std::size_t kRequestOverheadBytes = 300;

std::size_t EstimateSize(const CatalogueDelta& delta) {
  std::size_t size = 16;
  for (const CatalogueItem& item : delta.items) size += item.key.size() + item.value.size() + 24;
  return size;
}

}  // namespace

Fleet::Fleet(Options options, std::uint64_t seed) : m_options(options), m_random(seed) {
  is_partitioned = [](int, int) { return false; };
  read_fault = write_fault = [](int) { return StoreFault::kNone; };
  m_lists.push_back({m_now, {}});
}

int Fleet::Add(const std::string& failure_domain, const std::string& region) {
  const int index = Size();
  Daemon daemon;
  daemon.self.id.name = "d" + std::to_string(index);
  daemon.self.address = "10." + std::to_string(index / 65536) + "." +
                        std::to_string(index / 256 % 256) + "." + std::to_string(index % 256) +
                        ":7100";
  daemon.self.http_port = 7000;
  daemon.self.failure_domain = failure_domain;
  daemon.self.region = region;
  m_by_address[daemon.self.address] = index;
  m_daemons.push_back(std::move(daemon));
  m_is_listed.push_back(true);
  PublishInstanceList();
  StartProcess(index);
  return index;
}

void Fleet::AddMany(int count) {
  static constexpr std::array<const char*, 4> kDomains = {"buda-a", "pest-b", "mobile-bay",
                                                          "jackson-ms"};
  for (int i = 0; i < count; ++i) {
    const int domain = i % 4;
    Add(kDomains[static_cast<std::size_t>(domain)], domain < 2 ? "hu-central" : "gulf-south");
  }
}

void Fleet::StartProcess(int index) {
  Daemon& daemon = At(index);
  ++daemon.process;
  daemon.self.id.incarnation = static_cast<std::uint64_t>(daemon.process);
  daemon.started = m_now;
  daemon.running = true;
  daemon.paused = false;
  daemon.paused_events.clear();
  daemon.control = std::make_unique<ControlPlane>(daemon.self, m_options.control, m_random());
  Handle(index, ControlPlane::Start{});
}

void Fleet::Crash(int index) { At(index).running = false; }

void Fleet::Pause(int index) { At(index).paused = true; }

void Fleet::Resume(int index) {
  Daemon& daemon = At(index);
  daemon.paused = false;
  if (daemon.running && after_event) after_event(index);
  const std::deque<std::function<void()>> paused_events = std::move(daemon.paused_events);
  daemon.paused_events.clear();
  for (const std::function<void()>& callback : paused_events) callback();
}

void Fleet::Replace(int index) { StartProcess(index); }

void Fleet::Remove(int index) {
  Crash(index);
  m_is_listed[static_cast<std::size_t>(index)] = false;
  PublishInstanceList();
}

void Fleet::PublishInstanceList() {
  InstanceListVersion list{m_now, {}};
  for (int i = 0; i < Size(); ++i) {
    if (!m_is_listed[static_cast<std::size_t>(i)]) continue;
    list.daemons.push_back({At(i).self.id.name, At(i).self.address, false});
  }
  m_lists.push_back(std::move(list));
  while (m_lists.size() > 1 && m_lists[1].at + m_options.list_lag < m_now) m_lists.pop_front();
}

std::uint64_t Fleet::Apply(int index, CatalogueWriter::Apply change) {
  change.id = m_next_change_id++;
  const std::uint64_t id = change.id;
  Give(index, std::move(change));
  return id;
}

void Fleet::Give(int index, const ControlPlane::Event& event) {
  DeliverLater(index, Duration(0), event);
}

void Fleet::DeliverLater(int index, Duration delay, ControlPlane::Event event) {
  Schedule(delay, [this, index, process = At(index).process, event = std::move(event)] {
    if (At(index).process != process || !At(index).running) return;
    if (At(index).paused) {
      At(index).paused_events.push_back([this, index, event] { Handle(index, event); });
      return;
    }
    Handle(index, event);
  });
}

void Fleet::Schedule(Duration delay, std::function<void()> callback) {
  m_queue.push({m_now + delay, m_order++, std::move(callback)});
}

void Fleet::RunFor(Duration duration) {
  const TimePoint end = m_now + duration;
  while (!m_queue.empty() && m_queue.top().at <= end) {
    const std::function<void()> callback =
        std::move(const_cast<Scheduled&>(m_queue.top()).callback);
    m_now = m_queue.top().at;
    m_queue.pop();
    callback();
  }
  m_now = end;
}

void Fleet::Handle(int index, const ControlPlane::Event& event) {
  ++m_events_handled;
  std::vector<ControlPlane::Action> actions;
  Of(index).Handle(event, m_now, actions);
  for (ControlPlane::Action& action : actions) {
    if (on_action) on_action(index, action);
    Perform(index, action);
  }
  if (after_event) after_event(index);
}

void Fleet::Perform(int index, ControlPlane::Action& action) {
  std::visit(
      Overloaded{
          [&](const ControlPlane::SetTimer& timer) {
            DeliverLater(index, std::max(Duration(0), timer.at - m_now),
                         ControlPlane::TimerFired{timer.timer});
          },
          [&](const Membership::SendDatagram& send) { Send(index, send); },
          [&](const ControlPlane::ReadRow& read) { Read(index, read); },
          [&](const ControlPlane::ReadRows& read) { Read(index, read); },
          [&](const ControlPlane::WriteRows& write) { Write(index, write); },
          [&](const ControlPlane::FetchDelta& fetch) { Fetch(index, fetch); },
          [&](const ControlPlane::ReadInstanceList&) { AnswerInstanceListRead(index); },
          [&](const CatalogueWriter::ApplyFinished& done) { reports[done.id] = done.report; },
          [&](const Membership::Superseded&) { Crash(index); },
          [](const auto&) {},
      },
      action);
}

Duration Fleet::Delay() {
  const Duration::rep base = m_options.datagram_delay.count();
  return Duration(base + static_cast<Duration::rep>(m_random() % base));
}

void Fleet::Send(int index, const Membership::SendDatagram& send) {
  const Parsed<std::string> bytes = m_codec.Encode(send.datagram);
  if (!bytes) throw std::logic_error("a datagram exceeds the limit");
  const std::size_t size = bytes.Value().size() + kUdpOverheadBytes;
  At(index).bytes_sent += size;
  ++At(index).datagrams_sent;
  const auto to = m_by_address.find(send.address);
  if (to == m_by_address.end() || is_partitioned(index, to->second)) return;
  if (static_cast<double>(m_random() % 1000000) < m_options.datagram_loss * 1e6) return;
  At(to->second).bytes_received += size;
  ++At(to->second).datagrams_received;
  Parsed<PeerDatagram> datagram = m_codec.Decode(bytes.Value());
  if (!datagram) throw std::logic_error("a datagram cannot be decoded");
  DeliverLater(to->second, Delay(),
               Membership::DatagramReceived{At(index).self.address, std::move(datagram.Value())});
}

void Fleet::Read(int index, const ControlPlane::ReadRow& read) {
  const StoreFault fault = read_fault(index);
  ++m_store_counts.reads;
  if (fault == StoreFault::kDown || fault == StoreFault::kAnswerLost) {
    return DeliverLater(index, m_options.request_timeout, ControlPlane::RowRead{read.token});
  }
  const Duration delay =
      fault == StoreFault::kSlow ? m_options.slow_store_delay : m_options.store_delay;
  // The row is read when the request arrives, so a slow response returns an outdated row.
  Schedule(m_options.store_delay / 2, [this, index, read, delay, fault] {
    const SimulatedTableService& table = fault == StoreFault::kStale ? m_stale_table : m_table;
    const std::optional<TableRow> row = table.Read(read.table, read.key);
    m_store_counts.bytes += kRequestOverheadBytes + (row ? row->value.size() : 0);
    DeliverLater(index, delay, ControlPlane::RowRead{read.token, true, row});
  });
}

void Fleet::Read(int index, const ControlPlane::ReadRows& read) {
  const StoreFault fault = read_fault(index);
  ++m_store_counts.reads;
  if (fault == StoreFault::kDown || fault == StoreFault::kAnswerLost) {
    return DeliverLater(index, m_options.request_timeout, ControlPlane::RowsRead{read.token});
  }
  const Duration delay =
      fault == StoreFault::kSlow ? m_options.slow_store_delay : m_options.store_delay;
  const SimulatedTableService& table = fault == StoreFault::kStale ? m_stale_table : m_table;
  ControlPlane::RowsRead answer{read.token, true, table.ReadSince(read.table, read.since),
                                table.Version()};
  std::size_t size = kRequestOverheadBytes;
  for (const TableRow& row : answer.rows) size += row.key.size() + row.value.size() + 40;
  m_store_counts.bytes += size;
  At(index).delta_bytes += size;
  DeliverLater(index, delay, std::move(answer));
}

void Fleet::Write(int index, const ControlPlane::WriteRows& write) {
  const StoreFault fault = write_fault(index);
  ++m_store_counts.writes;
  if (fault == StoreFault::kDown) {
    return DeliverLater(index, m_options.request_timeout,
                        ControlPlane::TransactionDone{write.token});
  }
  const Duration delay =
      fault == StoreFault::kSlow ? m_options.slow_store_delay : m_options.store_delay;
  Schedule(delay / 2, [this, index, write, delay, fault] {
    const bool done = m_table.Transact(write.operations).has_value();
    TableOutcome outcome = done ? TableOutcome::kDone : TableOutcome::kConflict;
    if (fault == StoreFault::kAnswerLost) outcome = TableOutcome::kUnknown;
    const Duration remaining_delay =
        fault == StoreFault::kAnswerLost ? m_options.request_timeout : delay / 2;
    DeliverLater(index, remaining_delay, ControlPlane::TransactionDone{write.token, outcome});
  });
}

void Fleet::Fetch(int index, const ControlPlane::FetchDelta& fetch) {
  const auto peer = m_by_address.find(fetch.address);
  const bool reached = peer != m_by_address.end() && !is_partitioned(index, peer->second) &&
                       !is_partitioned(peer->second, index) && IsActive(peer->second);
  if (!reached) {
    return DeliverLater(index, m_options.request_timeout / 2, ControlPlane::DeltaRead{fetch.token});
  }
  ControlPlane::DeltaRead answer{fetch.token, true,
                                 Of(peer->second).Replica().DeltaSince(fetch.from)};
  const std::size_t size = EstimateSize(answer.delta) + kRequestOverheadBytes;
  At(index).delta_bytes += size;
  At(peer->second).delta_bytes += size;
  DeliverLater(index, 2 * Delay(), std::move(answer));
}

void Fleet::AnswerInstanceListRead(int index) {
  if (instance_list_is_unavailable) return;
  const InstanceListVersion* read = &m_lists.front();
  for (const InstanceListVersion& list : m_lists) {
    if (list.at + m_options.list_lag <= m_now) read = &list;
  }
  DeliverLater(index, m_options.store_delay, Membership::InstanceListRead{read->daemons});
}

}  // namespace fulmarpoint
