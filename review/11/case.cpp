// Bytes that are no answer, in the body of a stream.
#include "../common-3/harness.h"

using namespace review;

namespace {

constexpr int kEvents = 130;
constexpr int kStreams = 24;
constexpr int kRounds = 5;
// The faulty engine spoils one answer of these, x = 0.05 of `garble`.
constexpr int kAnswersPerFault = 20;
constexpr int kEventsBeforeGarbage = 20;
constexpr char kKey[] = "xd9dnn2ctnfzs989anu6";
// What a broken process or middlebox writes into the connection, again and again.
constexpr char kGarbage[] =
    "<html><head><title>502 Bad Gateway</title></head>\r\n<body>upstream "
    "lost</body></html>\r\n\r\n";

std::string EventText(int id) {
  return "id: " + std::to_string(id) + "\ndata: tokens " + std::to_string(6 * id) + " to " +
         std::to_string(6 * id + 5) + "\n\n";
}

/// A stream of 130 events that ends with its connection. A faulty engine sends bytes without end
/// in its place, until the caller closes.
bool Generate(Engine& engine, Connection& connection, Message& request, bool is_faulty) {
  const int after = std::atoi(request.Header("Last-Event-Id").c_str());
  if (!connection.Send("HTTP/1.1 200 OK\r\n" + engine.ReplyHeaders(request) +
                       "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n")) {
    return false;
  }
  for (int id = after + 1; id <= kEvents; ++id) {
    if (is_faulty && id > kEventsBeforeGarbage) {
      Note("engine %s sends bytes that are no answer in the body of %s", engine.Id().c_str(),
           request.Header("Fulmarpoint-Request-Id").c_str());
      while (connection.Send(kGarbage)) SleepFor(0.002);
      return false;
    }
    if (connection.PeerClosed() || !connection.Send(EventText(id))) return false;
    SleepFor(0.02);
  }
  return false;
}

struct Result {
  Message reply;
  std::string request;
};

Result Ask(const std::string& daemon, int number) {
  Result result;
  result.request = NewRequestId();
  const std::shared_ptr<Connection> connection = Connection::Open(daemon, 1);
  if (!connection) return result;
  connection->SetTimeout(25);
  const std::string part = std::to_string(1000 + number);
  const std::string body = "roasting log " + part;
  Note("request  %s sent to %s", result.request.c_str(), daemon.c_str());
  connection->Send("POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nFulmarpoint-Request-Id: " +
                   result.request +
                   "\r\nFulmarpoint-Model: m\r\nFulmarpoint-Token-Count: 450,800\r\n"
                   "Fulmarpoint-Prompt-Prefix: 5c1e07a2:200," +
                   part + ":250\r\nFulmarpoint-Deadline-Ms: 25000\r\nAuthorization: Bearer " +
                   kKey + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  if (connection->ReadHead(result.reply)) connection->ReadBody(result.reply, true);
  return result;
}

}  // namespace

int main(int argc, char** argv) {
  Record::Get().Open(argc > 1 ? argv[1] : "record.txt");
  const std::string folder = TemporaryFolder();
  Store store;
  Runs runs;
  if (!store.Open(LoopbackIp(100)) || !store.Open(LoopbackIp(100))) return kCouldNotRun;
  const Json manifest{{"version", 7},
                      {"routes",
                       {{{"name", "r-5pa2yhv"},
                         {"host", "ficu95.example"},
                         {"prefix", "/lohu930/"},
                         {"kind", "stream"},
                         {"timeoutMs", 25000},
                         {"goalMs", 4500},
                         {"priority", 1},
                         {"service", "huvo11a"},
                         {"attempts", 5},
                         {"public", false},
                         {"sticky", true},
                         {"canResume", true},
                         {"gapGoalMs", 700}}}},
                      {"services",
                       {{{"name", "huvo11a"},
                         {"healthPath", "/health"},
                         {"maxConns", 370},
                         {"engine",
                          {{"slots", 64},
                           {"kvCapacity", 55000},
                           {"moves", false},
                           {"backups", false},
                           {"handleS", 4.0},
                           {"models", {{{"name", "m"}}}}}}}}},
                      {"limits", Limits()},
                      {"tenants", {{{"name", "huka270"}, {"apiKeys", {kKey}}, {"priority", 1}}}}};
  store.Put("op", "config", manifest.dump());
  std::atomic<int> answers = 0;
  std::vector<std::unique_ptr<Engine>> engines;
  for (int number = 0; number < 4; ++number) {
    const bool is_faulty_engine = number == 0 && HasTrouble();
    engines.push_back(std::make_unique<Engine>(
        store, runs, "i-engine" + std::to_string(number), "huvo11a",
        number % 2 == 0 ? "mobile-bay" : "baton-rouge", "v1",
        [is_faulty_engine, &answers](Engine& engine, Connection& connection, Message& request) {
          // Each twentieth answer.
          const bool is_faulty = is_faulty_engine && ++answers % kAnswersPerFault == 0;
          return Generate(engine, connection, request, is_faulty);
        }));
    if (!engines.back()->Start(LoopbackIp(101 + number))) return kCouldNotRun;
  }
  Daemon one("front-mobile-bay-1", "mobile-bay", 1, folder);
  Daemon two("front-baton-rouge-1", "baton-rouge", 2, folder);
  std::size_t index = 0;
  for (Daemon* daemon : {&one, &two}) {
    daemon->WriteSettings(store.Address(index++));
    if (!daemon->Start()) return kCouldNotRun;
  }
  if (!one.WaitReady(15) || !two.WaitReady(15)) return kCouldNotRun;
  SleepFor(1);

  int complete = 0;
  int wrong = 0;
  std::string whole;
  for (int id = 1; id <= kEvents; ++id) whole += EventText(id);
  for (int round = 0; round < kRounds; ++round) {
    std::vector<std::thread> threads;
    std::mutex mutex;
    for (int number = 0; number < kStreams; ++number) {
      threads.emplace_back([&, number]() {
        const Result result =
            Ask(number % 2 == 0 ? one.Front() : two.Front(), round * kStreams + number);
        const bool is_success = result.reply.Status() == 200 && result.reply.complete &&
                                result.reply.Has("Fulmarpoint-Server-Seal");
        const bool is_whole = result.reply.body == whole;
        Note("answer   %s status %d, %s, %zu bytes, %s", result.request.c_str(),
             result.reply.Status(), result.reply.complete ? "complete" : "cut",
             result.reply.body.size(), is_whole ? "the engine's events" : "other bytes");
        const std::lock_guard lock(mutex);
        complete += is_success ? 1 : 0;
        if (!is_success || is_whole) return;
        ++wrong;
        const std::size_t at = result.reply.body.find("<html>");
        Note("         first foreign bytes at %zu, %zu bytes more than the engines' events: %s", at,
             result.reply.body.size() - whole.size(),
             at == std::string::npos ? "" : result.reply.body.substr(at, 49).c_str());
      });
    }
    for (std::thread& thread : threads) thread.join();
  }
  Note("the faulty engine began %d answers", answers.load());
  Note("%d complete successes, %d of them with bytes that no engine's events hold", complete,
       wrong);
  const int end = complete == 0 ? kCouldNotRun : wrong > 0 ? kBroken : kHeld;
  Note("end: %d", end);
  one.Kill();
  two.Kill();
  std::system(("rm -r " + folder).c_str());
  std::_Exit(end);
}
