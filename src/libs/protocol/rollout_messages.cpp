#include "protocol/rollout_messages.h"

namespace fulmarpoint {

OutcomeCounts& OutcomeCounts::operator+=(const OutcomeCounts& other) {
  requests += other.requests;
  errors += other.errors;
  with_latency_limit += other.with_latency_limit;
  slow += other.slow;
  return *this;
}

}  // namespace fulmarpoint
