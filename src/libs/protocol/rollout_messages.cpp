#include "protocol/rollout_messages.h"

namespace fulmarpoint {

OutcomeCounts& OutcomeCounts::operator+=(const OutcomeCounts& other) {
  requests += other.requests;
  errors += other.errors;
  timed += other.timed;
  slow += other.slow;
  return *this;
}

}  // namespace fulmarpoint
