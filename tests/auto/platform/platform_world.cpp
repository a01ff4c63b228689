#include "platform_world.h"

#include <criterion/criterion.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "platform/configuration_codec.h"
#include "platform/relay_codec.h"
#include "platform/store_client.h"
#include "transport/address.h"
#include "transport/internal/completion.h"

namespace fulmarpoint {

namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr Duration kPollInterval = std::chrono::milliseconds(2);
constexpr Duration kHangLimit = std::chrono::seconds(20);

}  // namespace

HttpHeaders OneHeader(const std::string& name, const std::string& value) { return {{name, value}}; }

PlatformWorld::PlatformWorld() {
  settings.name = "daemon-1";
  settings.failure_domain = "a";
  settings.caller_address = "127.0.0.1:0";
  settings.lookup_address = "127.0.0.1:0";
  settings.ready_address = "127.0.0.1:0";
  settings.peer_address = "127.0.0.1:0";
  settings.metrics_address = "127.0.0.1:0";
  store = std::make_unique<StoreStandin>(loop.GetExecutor());
  HttpClientOptions options;
  options.max_idle_connections = 0;
  client = std::make_unique<HttpClient>(loop.GetExecutor(), options);
}

PlatformWorld::~PlatformWorld() { loop.DestroyPendingWork(); }

EndpointStandin& PlatformWorld::AddEndpoint(const std::string& service, const std::string& domain) {
  const std::string id = "i-" + std::to_string(endpoints.size() + 1);
  endpoints.push_back(std::make_unique<EndpointStandin>(loop.GetExecutor(), id));
  List(*endpoints.back(), service, domain);
  return *endpoints.back();
}

void PlatformWorld::List(const EndpointStandin& endpoint, const std::string& service,
                         const std::string& domain, const std::string& state) {
  store->Put("servers", endpoint.Id(), endpoint.Row(service, domain, state));
}

std::string PlatformWorld::Configuration(int version, const std::string& keys) {
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[
    {"name":"place","host":"h.example","prefix":"/place/","kind":"non_idempotent",
     "timeoutMs":3000,"goalMs":400,"priority":1,"service":"orders","attempts":1,"public":false},
    {"name":"look","host":"h.example","prefix":"/look/","kind":"idempotent",
     "timeoutMs":3000,"goalMs":400,"priority":1,"service":"orders","attempts":2,"public":false},
    {"name":"open","host":"h.example","prefix":"/open/","kind":"idempotent",
     "timeoutMs":3000,"goalMs":400,"priority":1,"service":"orders","attempts":2,"public":true},
    {"name":"quote","host":"h.example","prefix":"/stream/once/","kind":"stream","timeoutMs":8000,
     "goalMs":1000,"gapGoalMs":400,"priority":1,"service":"drafts","attempts":4,"public":false,
     "sticky":true,"canResume":false},
    {"name":"draft","host":"h.example","prefix":"/stream/","kind":"stream","timeoutMs":8000,
     "goalMs":1000,"gapGoalMs":400,"priority":1,"service":"drafts","attempts":4,"public":false,
     "sticky":true,"canResume":true}],
    "services":[{"name":"orders","healthPath":"/health","maxConns":50,"protocol":"h1","tls":false},
    {"name":"drafts","healthPath":"/health","maxConns":50,"protocol":"h1","tls":false,
     "engine":{"slots":8,"kvCapacity":55000,"backups":true,"moves":true,"handleS":4.0}}],
    "limits":{"maxHeaderBytes":4096,"maxBodyBytes":65536,"headerTimeoutMs":2000,
              "idleTimeoutMs":2000},
    "tenants":[{"name":"roastery","apiKeys":)" +
         keys + R"(,"priority":1}]})";
}

void PlatformWorld::StartDaemon() { daemon = StartPeer(settings.name); }

std::unique_ptr<RelayDaemon> PlatformWorld::StartPeer(const std::string& name) {
  const Executor executor = loop.GetExecutor();
  RelaySettings own = settings;
  own.name = name;
  std::unique_ptr<RelayDaemon> started = std::make_unique<RelayDaemon>(
      executor, own, platform::MakeRelayWire(), platform::MakeStore(executor, store->Address()),
      platform::MakeRelaySources(), kSeed);
  const std::error_code error = started->Start();
  cr_assert_not(error, "%s", error.message().c_str());
  return started;
}

Task<void> PlatformWorld::Start() {
  store->Put("op", "config", Configuration(1));
  StartDaemon();
  co_await WaitFor([this]() { return daemon->IsServing(); });
}

Task<void> PlatformWorld::WaitFor(std::function<bool()> condition) {
  const TimePoint limit = SteadyNow() + kHangLimit;
  while (!condition()) {
    cr_assert(SteadyNow() < limit, "the test hangs");
    co_await Sleep(kPollInterval);
  }
}

Task<HttpResult> PlatformWorld::Send(std::string method, std::string target, HttpHeaders headers,
                                     std::string body) {
  HttpClientRequest request;
  request.address = daemon->CallerAddress();
  request.method = std::move(method);
  request.target = std::move(target);
  request.host = "h.example";
  request.body = std::move(body);
  request.timeout = kHangLimit;
  const HttpHeaders defaults = {{"Fulmarpoint-Request-Id", "r" + std::to_string(++requests)},
                                {"Fulmarpoint-Deadline-Ms", "5000"},
                                {"Authorization", "Bearer key-1"}};
  for (const HttpHeader& header : defaults) {
    if (!FindHeader(headers, header.name)) request.headers.push_back(header);
  }
  for (HttpHeader& header : headers) request.headers.push_back(std::move(header));
  co_return co_await client->Send(std::move(request));
}

Task<std::string> PlatformWorld::SendRaw(std::string bytes) {
  namespace asio = boost::asio;
  const std::optional<SocketAddress> to = ParseSocketAddress(daemon->CallerAddress());
  asio::ip::tcp::socket socket(loop.GetExecutor());
  co_await socket.async_connect({asio::ip::make_address(to->ip), to->port}, internal::kCompletion);
  co_await asio::async_write(socket, asio::buffer(bytes), internal::kCompletion);
  std::string received;
  co_await asio::async_read(socket, asio::dynamic_buffer(received), internal::kCompletion);
  co_return received;
}

Task<HttpResult> PlatformWorld::Lookup() {
  HttpClientRequest request;
  request.address = daemon->LookupAddress();
  request.target = "/fulmarpoint/resolve?name=h.example&region=r&zone=a";
  co_return co_await client->Send(std::move(request));
}

void PlatformWorld::Run(const std::function<Task<void>()>& task) {
  Spawn(loop.GetExecutor(), [this, &task]() -> Task<void> {
    co_await task();
    loop.Stop();
  });
  loop.Run();
}

void RunTest(Task<void> (*test)(PlatformWorld&)) {
  PlatformWorld world;
  world.Run([&world, test]() { return test(world); });
}

}  // namespace fulmarpoint
