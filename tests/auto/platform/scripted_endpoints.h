#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <list>
#include <string>
#include <vector>

#include "store_standin.h"
#include "transport/task.h"

namespace fulmarpoint {

// Time in which the daemon reads what was sent before the connection ends.
inline constexpr Duration kSettleTime = std::chrono::milliseconds(5);
// Deadlines of requests, in milliseconds; the short one for those that no endpoint answers.
inline constexpr char kShortDeadline[] = "700";
inline constexpr char kLongDeadline[] = "5000";

// Identifies bytes of failures, which no caller of a stream may receive.
inline constexpr char kForeign[] = "FOREIGN";
inline constexpr char kSeal[] = "Fulmarpoint-Request-Id: r1\r\nFulmarpoint-Server-Seal: s\r\n";
inline constexpr char kEventStream[] = "Content-Type: text/event-stream\r\n";
inline constexpr char kChunked[] = "Transfer-Encoding: chunked\r\n";
inline constexpr int kWholeStreamEvents = 10;

enum class Ending { kClose, kReset, kStayOpen };

/// How an endpoint replies to one request and ends the connection.
struct Answer {
  std::string name;
  std::string head;
  /// Last event of the stream that follows the head; 0 if none does.
  int events = 0;
  /// Bytes after the events.
  std::string tail;
  Ending ending = Ending::kClose;
  /// Bytes that are sent after these, again and again until the daemon closes the connection.
  std::string repeated = {};
};

/// Returns a reply head with an endpoint's seal.
std::string Head(const std::string& status, const std::string& headers);
std::string InChunk(const std::string& data);
/// Returns a complete stream of `kWholeStreamEvents` events that ends with its connection.
Answer GoodStream();

/// Endpoints that share a list of replies: whichever receives a request uses the next one, and the
/// last is repeated. Used on one strand.
class ScriptedEndpoints {
 public:
  static constexpr int kDefaultCount = 4;

  ScriptedEndpoints(const Executor& executor, std::vector<Answer> answers,
                    int count = kDefaultCount);

  /// Adds the rows of the endpoints to the store.
  void List(StoreStandin& store, const std::string& service) const;

  int requests = 0;

 private:
  Task<void> Accept(boost::asio::ip::tcp::acceptor& acceptor);
  Task<void> Serve(boost::asio::ip::tcp::socket& socket);
  Task<Ending> ServeOne(boost::asio::ip::tcp::socket& socket);

  std::vector<Answer> m_answers;
  std::list<boost::asio::ip::tcp::acceptor> m_acceptors;
  std::list<boost::asio::ip::tcp::socket> m_sockets;
};

/// A reply as a caller takes it.
struct Received {
  int status = 0;
  std::string body;
  /// The framing shows that nothing is missing.
  bool is_whole = false;
  std::string bytes;
};

struct Exchange {
  std::string target = "/stream/x";
  std::string version = "HTTP/1.1";
  std::string deadline = kLongDeadline;
};

/// Returns a request as `Play()` sends it.
std::string RequestText(const Exchange& exchange);
/// Parses all bytes of a connection as one reply.
Received ParseReply(std::string bytes, bool was_closed_cleanly);
/// Sends a request on a new connection and reads until it ends.
Task<Received> SendRequest(std::string address, std::string request);
/// Sends a request to a daemon whose endpoints give `answers`, and returns what the caller gets.
/// Sets `requests` to the number of requests that reached them.
Received Play(const Exchange& exchange, std::vector<Answer> answers, int* requests = nullptr);

/// Expects all events of `GoodStream()` and nothing else.
void CheckWholeStream(const Received& received, const std::string& name);

}  // namespace fulmarpoint
