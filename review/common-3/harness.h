// Stand-ins for the scripted review cases 11 to 15: the platform's store, engines, requesters, and
// the daemon processes. Loopback addresses only, real clock, one thread for each connection.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Steady = std::chrono::steady_clock;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

inline const Steady::time_point kStart = Steady::now();

/// Returns the seconds since the start of the script.
inline double Now() { return std::chrono::duration<double>(Steady::now() - kStart).count(); }

inline void SleepUntil(double seconds) {
  std::this_thread::sleep_until(kStart + std::chrono::duration_cast<Steady::duration>(
                                             std::chrono::duration<double>(seconds)));
}

inline void SleepFor(double seconds) { SleepUntil(Now() + seconds); }

inline std::int64_t UnixMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Writes `record.txt` and standard output. Thread-safe.
class Record {
 public:
  static Record& Get() {
    static Record record;
    return record;
  }
  void Open(const std::string& path) { m_file = std::fopen(path.c_str(), "w"); }
  void Line(const std::string& text) {
    const std::lock_guard lock(m_mutex);
    const long long millis = static_cast<long long>(Now() * 1000);
    if (m_file != nullptr) {
      std::fprintf(m_file, "+%06lld ms  %s\n", millis, text.c_str());
      std::fflush(m_file);
    }
  }

 private:
  std::FILE* m_file = nullptr;
  std::mutex m_mutex;
};

[[gnu::format(printf, 1, 2)]] inline void Note(const char* format, ...) {
  char text[2048];
  va_list arguments;
  va_start(arguments, format);
  std::vsnprintf(text, sizeof text, format, arguments);
  va_end(arguments);
  Record::Get().Line(text);
}

// ---- HTTP ----------------------------------------------------------------------------------

struct Message {
  std::string start;  // request line or status line
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  /// The body arrived up to its end.
  bool complete = false;

  std::string Header(const std::string& name) const {
    for (const auto& [key, value] : headers) {
      if (strcasecmp(key.c_str(), name.c_str()) == 0) return value;
    }
    return {};
  }
  bool Has(const std::string& name) const {
    for (const auto& [key, value] : headers) {
      if (strcasecmp(key.c_str(), name.c_str()) == 0) return true;
    }
    return false;
  }
  int Status() const { return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0; }
  std::string Method() const { return start.substr(0, start.find(' ')); }
  std::string Target() const {
    const std::size_t at = start.find(' ') + 1;
    return start.substr(at, start.find(' ', at) - at);
  }
};

/// A blocking connection. Closed by its destructor.
class Connection {
 public:
  explicit Connection(int socket) : m_socket(socket) {
    const int on = 1;
    ::setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~Connection() { ::close(m_socket); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  static std::shared_ptr<Connection> Open(const std::string& address, double timeout) {
    sockaddr_in to{};
    to.sin_family = AF_INET;
    const std::size_t colon = address.find(':');
    to.sin_port = htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ::fcntl(fd, F_SETFL, O_NONBLOCK);
    int result = ::connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to);
    if (result != 0 && errno == EINPROGRESS) {
      pollfd waiting{fd, POLLOUT, 0};
      int error = ETIMEDOUT;
      socklen_t size = sizeof error;
      if (::poll(&waiting, 1, static_cast<int>(timeout * 1000)) == 1) {
        ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
      }
      result = error == 0 ? 0 : -1;
    }
    if (result != 0) {
      ::close(fd);
      return nullptr;
    }
    ::fcntl(fd, F_SETFL, 0);
    return std::make_shared<Connection>(fd);
  }

  void SetTimeout(double seconds) {
    timeval limit{static_cast<time_t>(seconds),
                  static_cast<suseconds_t>((seconds - static_cast<time_t>(seconds)) * 1e6)};
    ::setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    ::setsockopt(m_socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  }
  bool Send(const std::string& text) {
    std::size_t sent = 0;
    while (sent < text.size()) {
      const ssize_t got = ::send(m_socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
      if (got <= 0) return false;
      sent += static_cast<std::size_t>(got);
    }
    return true;
  }
  /// Ends both directions. Another thread's read returns.
  void Shutdown() { ::shutdown(m_socket, SHUT_RDWR); }
  /// Resets the connection at once, also while another thread uses it.
  void Reset() {
    sockaddr none{};
    none.sa_family = AF_UNSPEC;
    ::connect(m_socket, &none, sizeof none);
  }
  /// Makes the peer see a reset instead of an end.
  void ResetOnClose() {
    const linger option{1, 0};
    ::setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &option, sizeof option);
  }
  /// Returns whether the peer has closed the connection.
  bool PeerClosed() {
    char byte = 0;
    const ssize_t got = ::recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }

  bool ReadHead(Message& message) {
    message = Message();
    std::string line;
    if (!ReadLine(message.start)) return false;
    while (ReadLine(line)) {
      if (line.empty()) return true;
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) return false;
      std::size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') ++value;
      message.headers.emplace_back(line.substr(0, colon), line.substr(value));
    }
    return false;
  }
  /// Reads the body. `on_data` is called with each part that arrives.
  bool ReadBody(Message& message, bool is_reply,
                const std::function<void(const std::string&)>& on_data = nullptr) {
    const auto take = [&](const std::string& part) {
      message.body += part;
      if (on_data) on_data(part);
    };
    std::string part;
    if (strcasecmp(message.Header("Transfer-Encoding").c_str(), "chunked") == 0) {
      std::string line;
      while (ReadLine(line)) {
        const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
        if (size == 0) {
          ReadLine(line);
          return message.complete = true;
        }
        if (!ReadExactly(size, part)) return false;
        take(part);
        if (!ReadLine(line)) return false;
      }
      return false;
    }
    if (message.Has("Content-Length")) {
      const std::size_t size = std::strtoul(message.Header("Content-Length").c_str(), nullptr, 10);
      if (!ReadExactly(size, part)) return false;
      if (size > 0) take(part);
      return message.complete = true;
    }
    if (!is_reply) return message.complete = true;
    do {
      if (!m_buffer.empty()) take(m_buffer);
      m_buffer.clear();
    } while (Fill());
    return message.complete = m_ended;
  }

 private:
  bool Fill() {
    char data[16384];
    const ssize_t got = ::recv(m_socket, data, sizeof data, 0);
    m_ended = got == 0;
    if (got <= 0) return false;
    m_buffer.append(data, static_cast<std::size_t>(got));
    return true;
  }
  bool ReadLine(std::string& line) {
    std::size_t end = 0;
    while ((end = m_buffer.find('\n')) == std::string::npos) {
      if (!Fill()) return false;
    }
    line = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 1);
    if (!line.empty() && line.back() == '\r') line.pop_back();
    return true;
  }
  bool ReadExactly(std::size_t size, std::string& data) {
    while (m_buffer.size() < size) {
      if (!Fill()) return false;
    }
    data = m_buffer.substr(0, size);
    m_buffer.erase(0, size);
    return true;
  }

  const int m_socket;
  std::string m_buffer;
  bool m_ended = false;
};

/// Returns an address of this run that no other script uses at the same time: 127.x.y.`host`.
inline std::string LoopbackIp(int host) {
  static const unsigned pid = static_cast<unsigned>(::getpid());
  return "127." + std::to_string(64 + pid / 250 % 128) + "." + std::to_string(1 + pid % 250) + "." +
         std::to_string(host);
}

/// Returns a port that is free for TCP and UDP on `ip`.
inline int FreePort(const std::string& ip) {
  static std::set<int> given;
  for (int attempt = 0; attempt < 100; ++attempt) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    ::inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
    const int tcp = ::socket(AF_INET, SOCK_STREAM, 0);
    const int udp = ::socket(AF_INET, SOCK_DGRAM, 0);
    socklen_t size = sizeof at;
    bool is_free = ::bind(tcp, reinterpret_cast<sockaddr*>(&at), size) == 0;
    is_free = is_free && ::getsockname(tcp, reinterpret_cast<sockaddr*>(&at), &size) == 0;
    is_free = is_free && ::bind(udp, reinterpret_cast<sockaddr*>(&at), size) == 0;
    ::close(tcp);
    ::close(udp);
    const int port = ntohs(at.sin_port);
    if (is_free && given.insert(port).second) return port;
  }
  std::exit(kCouldNotRun);
}

/// An HTTP server with one thread for each connection.
class Server {
 public:
  /// Answers the request; returns whether the connection stays open.
  using Handler = std::function<bool(Connection&, Message&)>;

  explicit Server(Handler handler) : m_handler(std::move(handler)) {}

  bool Listen(const std::string& ip, int port) {
    m_address = ip + ":" + std::to_string(port);
    m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
    if (::bind(m_listener, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) return false;
    if (::listen(m_listener, 256) != 0) return false;
    m_running = true;
    std::thread([this, listener = m_listener]() { Accept(listener); }).detach();
    return true;
  }
  /// Stops listening and resets all connections, as when the process dies.
  void Crash() {
    m_running = false;
    ::shutdown(m_listener, SHUT_RDWR);
    ::close(m_listener);
    const std::lock_guard lock(m_mutex);
    for (const std::weak_ptr<Connection>& weak : m_connections) {
      if (const std::shared_ptr<Connection> connection = weak.lock()) {
        connection->Reset();
      }
    }
    m_connections.clear();
  }
  const std::string& Address() const { return m_address; }
  bool Running() const { return m_running; }

 private:
  void Accept(int listener) {
    while (m_running) {
      const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (!m_running) return;
        SleepFor(0.01);
        continue;
      }
      const std::shared_ptr<Connection> connection = std::make_shared<Connection>(fd);
      {
        const std::lock_guard lock(m_mutex);
        std::erase_if(m_connections, [](const auto& weak) { return weak.expired(); });
        m_connections.push_back(connection);
      }
      std::thread([this, connection]() {
        Message request;
        while (connection->ReadHead(request) && connection->ReadBody(request, false)) {
          if (!m_handler(*connection, request)) break;
        }
      }).detach();
    }
  }

  Handler m_handler;
  std::string m_address;
  int m_listener = -1;
  std::atomic<bool> m_running = false;
  std::mutex m_mutex;
  std::vector<std::weak_ptr<Connection>> m_connections;
};

inline bool Answer(Connection& connection, int status, const std::string& headers,
                   const std::string& body) {
  return connection.Send("HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers +
                         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

// ---- the platform's store ------------------------------------------------------------------

inline std::string Base64(const std::string& text) {
  static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < text.size(); i += 3) {
    unsigned bits = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      bits = bits << 8 | (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0U);
    }
    for (int k = 3; k >= 0; --k) {
      const bool pads = i + static_cast<std::size_t>(3 - k) > text.size();
      out += pads ? '=' : digits[bits >> (6 * k) & 63];
    }
  }
  return out;
}

/// The table form of the platform's store, as PROTOCOL.md describes it.
class Store {
 public:
  /// Opens an address of the store for one machine, or for engines and the operator.
  bool Open(const std::string& ip) {
    const std::shared_ptr<Entrance> entrance = std::make_shared<Entrance>();
    Entrance* const own = entrance.get();
    entrance->server = std::make_unique<Server>(
        [this, own](Connection& c, Message& m) { return Handle(*own, c, m); });
    entrance->ip = ip;
    entrance->port = FreePort(ip);
    m_entrances.push_back(entrance);
    return entrance->server->Listen(ip, entrance->port);
  }
  /// Returns the store's address for the machine with the number `index`, in the order of `Open()`.
  std::string Address(std::size_t index) const {
    return m_entrances[index]->ip + ":" + std::to_string(m_entrances[index]->port);
  }
  /// Turns a machine away with 503, or serves it again.
  void SetRejected(std::size_t index, bool is_rejected) {
    {
      const std::lock_guard lock(m_mutex);
      m_entrances[index]->is_rejected = is_rejected;
    }
    Note("store: %s machine %zu", is_rejected ? "turns away" : "serves again", index);
    m_changed.notify_all();
  }

  /// Writes as the operator or an engine does.
  void Put(const std::string& table, const std::string& key, const std::string& value) {
    const std::lock_guard lock(m_mutex);
    if (m_away) return;
    Write({table, "", key}, Base64(value));
  }
  void Remove(const std::string& table, const std::string& key) {
    const std::lock_guard lock(m_mutex);
    if (m_away) return;
    Erase({table, "", key});
  }
  std::string Value64(const std::string& table, const std::string& key) {
    const std::lock_guard lock(m_mutex);
    const auto found = m_state.rows.find({table, "", key});
    return found == m_state.rows.end() ? std::string() : found->second.value;
  }
  /// Keeps a copy from which `ReturnFromCopy()` may restore the store.
  void Copy() {
    const std::lock_guard lock(m_mutex);
    m_copy = m_state;
  }
  /// The store is away: connections are reset, new ones refused.
  void GoAway() {
    {
      const std::lock_guard lock(m_mutex);
      m_away = true;
    }
    Note("store: away");
    m_changed.notify_all();
    for (const auto& entrance : m_entrances) entrance->server->Crash();
  }
  bool Return() {
    {
      const std::lock_guard lock(m_mutex);
      m_away = false;
      Note("store: back, Store-Era %llu", static_cast<unsigned long long>(m_era));
    }
    for (const auto& entrance : m_entrances) {
      if (!entrance->server->Listen(entrance->ip, entrance->port)) return false;
    }
    return true;
  }
  bool ReturnFromCopy() {
    {
      const std::lock_guard lock(m_mutex);
      m_state = m_copy;
      m_history.clear();
      m_history_from = m_state.version;
      ++m_era;
    }
    return Return();
  }
  bool IsAway() {
    const std::lock_guard lock(m_mutex);
    return m_away;
  }

 private:
  using Key = std::array<std::string, 3>;  // table, part, key
  struct Entrance {
    std::unique_ptr<Server> server;
    std::string ip;
    int port = 0;
    bool is_rejected = false;
  };
  struct Row {
    std::string value;
    std::uint64_t version = 0;
  };
  struct Change {
    Key key;
    std::string value;
    std::uint64_t version = 0;
    bool removed = false;
  };
  struct State {
    std::map<Key, Row> rows;
    std::uint64_t version = 1;
  };

  void Write(const Key& key, const std::string& value) {
    const std::uint64_t version = ++m_state.version;
    m_state.rows[key] = {value, version};
    m_history.push_back({key, value, version, false});
    m_changed.notify_all();
  }
  void Erase(const Key& key) {
    if (m_state.rows.erase(key) == 0) return;
    m_history.push_back({key, "", ++m_state.version, true});
    m_changed.notify_all();
  }
  static Json RowJson(const Key& key, const std::string& value, std::uint64_t version) {
    return {
        {"table", key[0]}, {"part", key[1]}, {"key", key[2]}, {"value", value}, {"ver", version}};
  }
  static std::string Decode(const std::string& text) {
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
      if (text[i] == '%' && i + 2 < text.size()) {
        out += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
        i += 2;
      } else {
        out += text[i];
      }
    }
    return out;
  }
  static std::map<std::string, std::string> Query(const std::string& target) {
    std::map<std::string, std::string> query;
    const std::size_t mark = target.find('?');
    if (mark == std::string::npos) return query;
    std::istringstream text(target.substr(mark + 1));
    for (std::string entry; std::getline(text, entry, '&');) {
      const std::size_t equals = entry.find('=');
      query[entry.substr(0, equals)] = Decode(entry.substr(equals + 1));
    }
    return query;
  }

  bool Reply(Connection& connection, int status, Json body) {
    std::string era;
    {
      const std::lock_guard lock(m_mutex);
      era = std::to_string(m_era);
    }
    body["nowMs"] = static_cast<std::int64_t>(Now() * 1000);
    return Answer(connection, status,
                  "Content-Type: application/json\r\nStore-Era: " + era + "\r\n", body.dump());
  }

  bool Handle(Entrance& entrance, Connection& connection, Message& request) {
    const std::string target = request.Target();
    const std::string path = target.substr(0, target.find('?'));
    const std::map<std::string, std::string> query = Query(target);
    const auto field = [&](const char* name) {
      const auto found = query.find(name);
      return found == query.end() ? std::string() : found->second;
    };
    std::unique_lock lock(m_mutex);
    if (m_away) return false;
    if (entrance.is_rejected) {
      lock.unlock();
      return Reply(connection, 503, Json::object());
    }
    if (path == "/fulmarpoint/rows-get") {
      Json rows = Json::array();
      for (const auto& [key, row] : m_state.rows) {
        const bool matches = key[0] == field("table") && key[1] == field("part") &&
                             key[2] >= field("from") &&
                             (field("to").empty() || key[2] < field("to"));
        if (matches) rows.push_back(RowJson(key, row.value, row.version));
      }
      Json body{{"rows", rows}, {"hasMore", false}, {"ver", m_state.version}};
      lock.unlock();
      return Reply(connection, 200, body);
    }
    if (path == "/fulmarpoint/rows-feed") {
      const std::uint64_t after = std::strtoull(field("afterRev").c_str(), nullptr, 10);
      const std::uint64_t era = m_era;
      const auto end = Steady::now() + std::chrono::milliseconds(
                                           std::min(30000, std::atoi(field("waitMs").c_str())));
      if (after > m_state.version || after < m_history_from) {
        lock.unlock();
        return Reply(connection, 410, {{"error", "gone"}});
      }
      Json rows = Json::array();
      while (true) {
        if (m_away || era != m_era) return false;
        if (entrance.is_rejected) {
          lock.unlock();
          return Reply(connection, 503, Json::object());
        }
        for (const Change& change : m_history) {
          if (change.version <= after || change.key[0] != field("table")) continue;
          Json row = RowJson(change.key, change.value, change.version);
          if (change.removed) row["removed"] = true;
          rows.push_back(row);
        }
        if (!rows.empty() || Steady::now() >= end) break;
        m_changed.wait_until(lock, end);
      }
      Json body{{"rows", rows}, {"ver", m_state.version}};
      lock.unlock();
      return Reply(connection, 200, body);
    }
    if (path == "/fulmarpoint/rows-tx") {
      const Json call = Json::parse(request.body, nullptr, false);
      if (!call.is_object()) {
        lock.unlock();
        return Reply(connection, 400, Json::object());
      }
      const auto key_of = [](const Json& row) {
        return Key{row.at("table").get<std::string>(), row.value("part", ""),
                   row.at("key").get<std::string>()};
      };
      Json current = Json::array();
      bool fits = true;
      for (const Json& condition : call.value("ifRev", Json::array())) {
        const Key key = key_of(condition);
        const auto found = m_state.rows.find(key);
        const std::uint64_t version = found == m_state.rows.end() ? 0 : found->second.version;
        if (found != m_state.rows.end())
          current.push_back(RowJson(key, found->second.value, version));
        fits = fits && version == condition.at("ver").get<std::uint64_t>();
      }
      if (fits) {
        for (const Json& row : call.value("puts", Json::array())) {
          Write(key_of(row), row.at("value").get<std::string>());
          if (row.at("table") == "status") Note("store: %s written", row.at("key").dump().c_str());
        }
        for (const Json& row : call.value("remove", Json::array())) Erase(key_of(row));
      }
      Json body{{"ver", m_state.version}};
      if (!fits) body["rows"] = current;
      lock.unlock();
      return Reply(connection, fits ? 200 : 412, body);
    }
    lock.unlock();
    return Reply(connection, 404, Json::object());
  }

  std::vector<std::shared_ptr<Entrance>> m_entrances;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  State m_state;
  State m_copy;
  std::deque<Change> m_history;
  std::uint64_t m_history_from = 0;
  std::uint64_t m_era = 1;
  bool m_away = false;
};

// ---- engines -------------------------------------------------------------------------------

/// A run that began at an engine.
struct Run {
  std::string request;
  std::string engine;
  std::string version;
  std::string tenant;
  double at = 0;
};

class Runs {
 public:
  void Add(Run run) {
    const std::lock_guard lock(m_mutex);
    Note("run      %s at engine %s (%s) for tenant %s", run.request.c_str(), run.engine.c_str(),
         run.version.c_str(), run.tenant.c_str());
    m_runs.push_back(std::move(run));
  }
  std::vector<Run> All() const {
    const std::lock_guard lock(m_mutex);
    return m_runs;
  }

 private:
  mutable std::mutex m_mutex;
  std::vector<Run> m_runs;
};

/// An engine. It registers itself in the store and checks in every `kBeat` seconds while it lives.
class Engine {
 public:
  static constexpr double kBeat = 1.2;
  /// Answers a request that this engine runs; returns whether the connection stays open.
  using Work = std::function<bool(Engine&, Connection&, Message&)>;

  Engine(Store& store, Runs& runs, std::string id, std::string service, std::string zone,
         std::string version, Work work)
      : m_store(store),
        m_runs(runs),
        m_id(std::move(id)),
        m_service(std::move(service)),
        m_zone(std::move(zone)),
        m_version(std::move(version)),
        m_work(std::move(work)),
        m_server([this](Connection& c, Message& m) { return Handle(c, m); }) {}

  bool Start(const std::string& ip) {
    m_ip = ip;
    m_port = FreePort(ip);
    m_born = UnixMillis();
    if (!m_server.Listen(ip, m_port)) return false;
    m_alive = true;
    std::thread([this]() {
      while (m_alive) {
        CheckIn();
        SleepFor(kBeat);
      }
    }).detach();
    return true;
  }
  /// The process dies. Its entry is removed after three check-ins of silence.
  void Crash() {
    Note("engine %s crashes", m_id.c_str());
    m_alive = false;
    m_server.Crash();
    std::thread([this]() {
      SleepFor(3 * kBeat);
      m_store.Remove("servers", m_id);
      Note("engine %s: entry removed after three check-ins of silence", m_id.c_str());
    }).detach();
  }
  void CheckIn() {
    const Json entry{{"service", m_service}, {"address", m_server.Address()},
                     {"zone", m_zone},       {"version", m_version},
                     {"slots", 32},          {"state", "ready"},
                     {"coldLeftMs", 0},      {"seq", ++m_sequence},
                     {"born", m_born}};
    m_store.Put("servers", m_id, entry.dump());
  }
  const std::string& Id() const { return m_id; }
  const std::string& Version() const { return m_version; }
  std::string ReplyHeaders(const Message& request) const {
    return "Fulmarpoint-Request-Id: " + request.Header("Fulmarpoint-Request-Id") +
           "\r\nFulmarpoint-Server-Seal: seal-" + m_id + "\r\nFulmarpoint-Instance-Id: " + m_id +
           "\r\n";
  }

 private:
  bool Handle(Connection& connection, Message& request) {
    const std::string expected = request.Header("Fulmarpoint-Expect-Instance");
    if (!expected.empty() && expected != m_id) {
      return Answer(connection, 421, "Fulmarpoint-Instance-Id: " + m_id + "\r\n", "");
    }
    if (request.Target() == "/health") {
      return Answer(connection, 200, "Fulmarpoint-Instance-Id: " + m_id + "\r\n", "");
    }
    if (request.Header("Fulmarpoint-Request-Id").empty()) {
      return Answer(connection, 400, "Fulmarpoint-Not-Run: 1\r\n", "");
    }
    m_runs.Add({request.Header("Fulmarpoint-Request-Id"), m_id, m_version,
                request.Header("Fulmarpoint-Tenant"), Now()});
    return m_work(*this, connection, request);
  }

  Store& m_store;
  Runs& m_runs;
  const std::string m_id, m_service, m_zone, m_version;
  const Work m_work;
  Server m_server;
  std::string m_ip;
  int m_port = 0;
  std::int64_t m_born = 0;
  std::atomic<bool> m_alive = false;
  std::atomic<int> m_sequence = 0;
};

// ---- daemons -------------------------------------------------------------------------------

/// A daemon of the system: a separate process, started with the command of deploy/system.toml.
class Daemon {
 public:
  Daemon(std::string name, std::string zone, int host, std::string folder)
      : m_name(std::move(name)),
        m_zone(std::move(zone)),
        m_ip(LoopbackIp(host)),
        m_folder(std::move(folder)) {
    for (int& port : m_ports) port = FreePort(m_ip);
  }
  ~Daemon() { Kill(); }

  std::string Front() const { return m_ip + ":" + std::to_string(m_ports[0]); }
  std::string Ready() const { return m_ip + ":" + std::to_string(m_ports[1]); }
  std::string Directory() const { return m_ip + ":" + std::to_string(m_ports[2]); }
  const std::string& Name() const { return m_name; }
  const std::string& Ip() const { return m_ip; }

  void SetBound(const std::string& key, const std::string& value) { m_bounds[key] = value; }
  /// Writes the settings file in one step, as the platform does.
  void WriteSettings(const std::string& store) {
    std::ostringstream text;
    text << "nodeName=" << m_name << "\nrole=daemon\nmachineClass=front\nserves=front,directory\n"
         << "bindIp=" << m_ip << "\nzone=" << m_zone << "\nregion=gulf-south\n"
         << "listen.front=" << Front() << "\nlisten.ready=" << Ready()
         << "\nlisten.directory=" << Directory() << "\nportRange=" << m_ports[3] << ","
         << m_ports[3] << "\nbootstrap=true\ncountsAsLoss=false\n"
         << "limits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=260\nlimits.maxFds=4100\n"
         << "limits.linkMbps=1000.0\nlimits.diskMb=0\ndiscovery=platform\nentry=directory\n"
         << "beatMs=1200\ncontracts=base,drain,config,cost,retry,recover,engine,stream,tenants,"
         << "rollout,pressure,platform\ntolerate.machines=1\n";
    for (const auto& [key, value] : m_bounds) text << "bounds." << key << "=" << value << "\n";
    text << "platform.address=" << store << "\nplatform.form=table\nplatform.writesPerS=400\n"
         << "platform.readsPerS=2000\nplatform.rowBytes=65536\nplatform.historyS=20\n";
    const std::string path = SettingsPath();
    std::ofstream(path + ".new") << text.str();
    std::rename((path + ".new").c_str(), path.c_str());
  }
  bool Start() {
    const std::string log = m_folder + "/" + m_name + ".log";
    const std::string boot = "FULMARPOINT_BOOT=" + SettingsPath();
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    m_pid = ::fork();
    if (m_pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      ::dup2(output, 1);
      ::dup2(output, 2);
      const std::string path = std::string("PATH=") + (::getenv("PATH") ? ::getenv("PATH") : "");
      const char* environment[] = {boot.c_str(), path.c_str(), "HOME=/", "LANG=C", nullptr};
      const char* arguments[] = {"target/bin/fulmarpoint-platformd", "--metrics-port", "9464",
                                 nullptr};
      ::execve(arguments[0], const_cast<char**>(arguments), const_cast<char**>(environment));
      ::_exit(127);
    }
    ::close(output);
    Note("daemon %s starts as process %d, front %s", m_name.c_str(), m_pid, Front().c_str());
    return m_pid > 0;
  }
  void Signal(int number) {
    if (m_pid <= 0) return;
    Note("daemon %s gets signal %d", m_name.c_str(), number);
    ::kill(m_pid, number);
  }
  void Kill() {
    if (m_pid <= 0) return;
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
    Note("daemon %s was killed", m_name.c_str());
    m_pid = 0;
  }
  /// Returns whether the process has ended by itself.
  bool HasEnded() { return m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == m_pid; }
  bool IsReady() const {
    const std::shared_ptr<Connection> connection = Connection::Open(Ready(), 0.5);
    Message reply;
    if (!connection) return false;
    connection->SetTimeout(1);
    return connection->Send("GET /fulmarpoint/readiness HTTP/1.1\r\nHost: x\r\n\r\n") &&
           connection->ReadHead(reply) && reply.Status() == 200;
  }
  bool WaitReady(double seconds) const {
    const double end = Now() + seconds;
    while (Now() < end) {
      if (IsReady()) return true;
      SleepFor(0.05);
    }
    return false;
  }
  std::string LogPath() const { return m_folder + "/" + m_name + ".log"; }

 private:
  std::string SettingsPath() const { return m_folder + "/" + m_name + ".conf"; }

  const std::string m_name, m_zone, m_ip, m_folder;
  std::array<int, 4> m_ports{};
  pid_t m_pid = 0;
  std::map<std::string, std::string> m_bounds = {
      {"seedLagS", "3"},      {"reuseAfterS", "2"},     {"contactMs", "3000"},
      {"ackMs", "4000"},      {"catchUpS", "4"},        {"drainMs", "2000"},
      {"graceS", "8"},        {"lostSlackMs", "200"},   {"configApplyMs", "2000"},
      {"downgradeMs", "250"}, {"skewMaxMs", "5000"},    {"revokeStrict", "true"},
      {"revokeMs", "5000"},   {"retryRatio", "0.8"},    {"retryWindowS", "10"},
      {"retrySlack", "150"},  {"exposureShare", "0.1"}, {"exposureSlack", "50"},
      {"rollbackMs", "5000"}, {"recoveryS", "12"},      {"passMs", "120"},
      {"reuseWindowS", "10"}, {"ttl_max_s", "5"}};
};

// ---- the manifest and the script ------------------------------------------------------------

inline Json Limits() {
  return {{"maxHeaderBytes", 16384},
          {"maxBodyBytes", 4194304},
          {"headerTimeoutMs", 3000},
          {"idleTimeoutMs", 15000}};
}

/// Returns an identifier of a request, unique in this run.
inline std::string NewRequestId() {
  static std::atomic<int> last = 0;
  char text[16];
  std::snprintf(text, sizeof text, "r%05d", ++last);
  return text;
}

/// Returns a route of the manifest to `service`, as the pages' example has it for calls.
inline Json CallRoute(const std::string& name, const std::string& prefix, const std::string& kind,
                      const std::string& service, int attempts) {
  return {{"name", name},    {"host", "ficu95.example"}, {"prefix", prefix},
          {"kind", kind},    {"timeoutMs", 1000},        {"goalMs", 150},
          {"priority", 2},   {"service", service},       {"attempts", attempts},
          {"public", false}, {"sticky", false}};
}

inline Json CallService(const std::string& name) {
  return {{"name", name},
          {"healthPath", "/health"},
          {"maxConns", 110},
          {"protocol", "h1"},
          {"tls", false}};
}

/// Sends one call on a new connection and returns the answer; its status is 0 if there is none.
inline Message Call(const std::string& daemon, const std::string& method, const std::string& target,
                    const std::string& key, const std::string& request) {
  Message reply;
  const std::shared_ptr<Connection> connection = Connection::Open(daemon, 1);
  if (!connection) return reply;
  connection->SetTimeout(2);
  const std::string body = method == "POST" ? "sacks=1" : "";
  const std::string length =
      method == "POST" ? "Content-Length: " + std::to_string(body.size()) + "\r\n" : "";
  connection->Send(method + " " + target + " HTTP/1.1\r\nHost: ficu95.example\r\n" +
                   "Fulmarpoint-Request-Id: " + request +
                   "\r\nFulmarpoint-Deadline-Ms: 1000\r\nAuthorization: Bearer " + key + "\r\n" +
                   length + "\r\n" + body);
  if (connection->ReadHead(reply)) connection->ReadBody(reply, true);
  return reply;
}

/// Whether the disruption takes place.
inline bool HasTrouble() {
  const char* trouble = ::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

/// Makes a temporary folder that is removed at the end of the process.
inline std::string TemporaryFolder() {
  char path[] = "/tmp/fulmarpoint-review-XXXXXX";
  if (::mkdtemp(path) == nullptr) std::exit(kCouldNotRun);
  return path;
}

}  // namespace review
