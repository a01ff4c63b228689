#pragma once

#include <boost/asio/io_context.hpp>

namespace fulmarpoint::internal {

/// Makes the first phase of the destruction available, which destroys pending work: what the work
/// refers to must still exist then, while sockets and timers may be destroyed later.
class StoppableContext : public boost::asio::io_context {
 public:
  using boost::asio::io_context::io_context;

  void DestroyPendingWork() { shutdown(); }
};

}  // namespace fulmarpoint::internal
