#include <criterion/criterion.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "platform_world.h"

using namespace fulmarpoint;

namespace {

constexpr char kPeerTable[] = "fulmarpoint-daemons";
constexpr char kIsolatedName[] = "daemon-2";

/// Two daemons that hear each other. The second sees its endpoints at addresses that refuse
/// connections, as if it were partitioned from all of them; it has a store of its own for that.
class PartitionedWorld {
 public:
  explicit PartitionedWorld(PlatformWorld& world) : m_world(world) {}

  Task<void> Start(const std::string& service) {
    for (const char* domain : {"a", "b", "c"}) m_world.AddEndpoint(service, domain);
    m_service = service;
    co_await m_world.Start();
    store = std::make_unique<StoreStandin>(m_world.loop.GetExecutor());
    store->Put("op", "config", PlatformWorld::Configuration(1));
    Partition();
    std::swap(m_world.store, store);
    m_world.peer = m_world.StartPeer(kIsolatedName);
    std::swap(m_world.store, store);
    co_await PlatformWorld::WaitFor([this]() { return HaveRows(); });
    m_world.store->Put(kPeerTable, kIsolatedName, store->Value(kPeerTable, kIsolatedName));
    store->Put(kPeerTable, "daemon-1", m_world.store->Value(kPeerTable, "daemon-1"));
    co_await PlatformWorld::WaitFor([this]() { return m_world.peer->IsServing(); });
    for (RelayDaemon* asked : {m_world.daemon.get(), m_world.peer.get()}) {
      co_await WaitUntilListed(asked, m_world.daemon.get(), true);
      co_await WaitUntilListed(asked, m_world.peer.get(), true);
    }
  }

  void Partition() {
    int port = 1;
    for (const std::unique_ptr<EndpointStandin>& endpoint : m_world.endpoints) {
      store->Put("servers", endpoint->Id(),
                 EndpointRow("127.0.0.1:" + std::to_string(port), m_service, DomainOf(port - 1)));
      ++port;
    }
  }

  void Heal() {
    int index = 0;
    for (const std::unique_ptr<EndpointStandin>& endpoint : m_world.endpoints) {
      store->Put("servers", endpoint->Id(), endpoint->Row(m_service, DomainOf(index++)));
    }
  }

  /// Waits until lookups at `asked` name `daemon`, or no longer do.
  Task<void> WaitUntilListed(RelayDaemon* asked, RelayDaemon* daemon, bool is_listed) {
    bool is_as_wanted = false;
    int polls = 0;
    while (!is_as_wanted) {
      cr_assert_lt(++polls, 1000, "lookups do not change");
      HttpClientRequest request;
      request.address = asked->LookupAddress();
      request.target = "/fulmarpoint/resolve?name=h.example&region=r&zone=a";
      const HttpResult result = co_await m_world.client->Send(std::move(request));
      const bool names_it = result.reply.body.find(daemon->CallerAddress()) != std::string::npos;
      is_as_wanted = result.reply.status == 200 && names_it == is_listed;
      if (!is_as_wanted) co_await Sleep(std::chrono::milliseconds(10));
    }
  }

  /// Sends a request to the second daemon.
  Task<HttpResult> SendToPeer(std::string method, std::string target) {
    std::swap(m_world.daemon, m_world.peer);
    HttpResult result = co_await m_world.Send(std::move(method), std::move(target));
    std::swap(m_world.daemon, m_world.peer);
    co_return result;
  }

  std::unique_ptr<StoreStandin> store;

 private:
  static std::string DomainOf(int index) { return std::string(1, static_cast<char>('a' + index)); }

  bool HaveRows() const {
    return store->Has(kPeerTable, kIsolatedName) && m_world.store->Has(kPeerTable, "daemon-1");
  }

  PlatformWorld& m_world;
  std::string m_service;
};

Task<void> LeavesLookups(PlatformWorld& world, std::string service, std::string target) {
  PartitionedWorld partitioned(world);
  co_await partitioned.Start(service);
  const HttpResult first = co_await partitioned.SendToPeer("POST", target);
  cr_assert_eq(first.reply.status, 503);
  co_await partitioned.WaitUntilListed(world.daemon.get(), world.peer.get(), false);
  co_await partitioned.WaitUntilListed(world.peer.get(), world.peer.get(), false);
  co_await partitioned.WaitUntilListed(world.peer.get(), world.daemon.get(), true);
  const HttpResult redirected = co_await partitioned.SendToPeer("POST", target);
  cr_assert_eq(redirected.reply.status, 503);
  cr_assert(FindHeader(redirected.reply.headers, "Connection") == "close");
  cr_assert(FindHeader(redirected.reply.headers, "Retry-After") == "0.020");
  partitioned.Heal();
  co_await partitioned.WaitUntilListed(world.daemon.get(), world.peer.get(), true);
  const HttpResult served = co_await partitioned.SendToPeer("POST", target);
  cr_assert_eq(served.reply.status, 200, "%d", served.reply.status);
}

Task<void> Calls(PlatformWorld& world) { return LeavesLookups(world, "orders", "/place/x"); }

Task<void> Streams(PlatformWorld& world) { return LeavesLookups(world, "drafts", "/stream/x"); }

Task<void> BothIsolated(PlatformWorld& world) {
  PartitionedWorld partitioned(world);
  co_await partitioned.Start("orders");
  co_await partitioned.SendToPeer("POST", "/place/x");
  co_await partitioned.WaitUntilListed(world.daemon.get(), world.peer.get(), false);
  int port = 11;
  for (const std::unique_ptr<EndpointStandin>& endpoint : world.endpoints) {
    world.store->Put("servers", endpoint->Id(),
                     EndpointRow("127.0.0.1:" + std::to_string(port), "orders",
                                 std::string(1, static_cast<char>('a' + port - 11))));
    ++port;
  }
  // The first daemon reads the rows within a watch and notices at its next request.
  bool is_isolated = false;
  while (!is_isolated) {
    const HttpResult result = co_await world.Send("POST", "/place/x");
    is_isolated = result.reply.status == 503;
    if (!is_isolated) co_await Sleep(std::chrono::milliseconds(10));
  }
  co_await Sleep(std::chrono::milliseconds(1500));
  co_await partitioned.WaitUntilListed(world.peer.get(), world.daemon.get(), true);
  co_await partitioned.WaitUntilListed(world.daemon.get(), world.daemon.get(), true);
  partitioned.Heal();
  co_await partitioned.WaitUntilListed(world.daemon.get(), world.peer.get(), true);
  co_await partitioned.WaitUntilListed(world.daemon.get(), world.daemon.get(), false);
}

}  // namespace

// Guards against callers that are sent to a daemon which cannot reach any engine, and to whom it
// says so late or on a connection that stays open.
Test(isolated_daemon, calls_go_to_other_daemons) { RunTest(&Calls); }

// As above, for streams.
Test(isolated_daemon, streams_go_to_other_daemons) { RunTest(&Streams); }

// Guards against lookups without an answer, and against callers that leave the daemon to which the
// path returns, while all daemons are isolated.
Test(isolated_daemon, the_last_one_is_listed_while_all_are_isolated) { RunTest(&BothIsolated); }
