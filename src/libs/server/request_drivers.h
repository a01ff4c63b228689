#pragma once

#include "server/buffer_driver.h"
#include "server/call_coordinator.h"
#include "server/engine_activity.h"

namespace fulmarpoint {

/// State that the sessions of a daemon share. Each member is thread-safe.
struct RequestDrivers {
  RequestDrivers(const Executor& executor, const CallerBuffersSettings& buffer_settings,
                 TableClient& tables, const InstanceId& self)
      : buffers(executor, buffer_settings), calls(tables, executor, self) {}

  BufferDriver buffers;
  EngineActivityTable activity;
  CallCoordinator calls;
};

}  // namespace fulmarpoint
