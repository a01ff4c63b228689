#pragma once

#include "server/buffer_driver.h"
#include "server/engine_activity.h"

namespace fulmarpoint {

/// State that the sessions of a daemon share. Each member is thread-safe.
struct RequestDrivers {
  RequestDrivers(const Executor& executor, const ReaderBuffersSettings& buffer_settings)
      : buffers(executor, buffer_settings) {}

  BufferDriver buffers;
  EngineActivityTable activity;
};

}  // namespace fulmarpoint
