#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <list>
#include <string>

#include "transport/task.h"

namespace fulmarpoint {

/// An endpoint that replies to each request with a beginning and then a part that is repeated until
/// the connection is closed.
class EndlessEndpoint {
 public:
  EndlessEndpoint(const Executor& executor, std::string begin, const std::string& repeated);

  /// Returns the row that the endpoint keeps in the store.
  std::string Row(const std::string& service) const;

  int requests = 0;
  /// Number of requests whose connection the daemon has closed.
  int closed = 0;
  /// Maximum of the bytes written to one connection.
  std::size_t max_written = 0;

 private:
  Task<void> Accept();
  Task<void> Answer(boost::asio::ip::tcp::socket& socket);

  boost::asio::ip::tcp::acceptor m_acceptor;
  std::string m_begin;
  std::string m_piece;
  std::list<boost::asio::ip::tcp::socket> m_sockets;
};

}  // namespace fulmarpoint
