#pragma once

#include <cstdint>
#include <string>

#include "protocol/bounded_serialization.h"

namespace fulmarpoint {

/// Tells the daemon that remembers a prompt which engine reads it. Sent over UDP; a lost one costs
/// a resumed stream its engine.
struct PromptLocationUpdate {
  std::uint64_t prompt = 0;
  std::string endpoint;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(prompt);
    internal::SerializeText(archive, endpoint);
  }
};

/// Asks that daemon.
struct PromptLocationQuery {
  std::uint64_t prompt = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(prompt);
  }
};

struct PromptLocationReply {
  /// Empty if the prompt is unknown.
  std::string endpoint;

  template <typename Archive>
  void serialize(Archive& archive) {
    internal::SerializeText(archive, endpoint);
  }
};

}  // namespace fulmarpoint
