#pragma once

#include <boost/asio/io_context.hpp>

namespace fulmarpoint::internal {

/// An I/O context whose pending work can be destroyed before the context itself: objects that the
/// work refers to must exist until then, while sockets and timers may be destroyed later.
class StoppableContext : public boost::asio::io_context {
 public:
  using boost::asio::io_context::io_context;

  void DestroyPendingWork() { shutdown(); }
};

}  // namespace fulmarpoint::internal
