#pragma once

#include <cstdint>
#include <string>

#include "protocol/bounded_serialization.h"

namespace fulmarpoint {

/// Notifies the owner of a prompt which engine processes it, so that a resumed stream can be sent
/// to the engine that has the prompt in its KV cache. Sent over UDP; if it is lost, the owner
/// cannot name that engine.
struct PromptLocationUpdate {
  std::uint64_t prompt = 0;
  std::string endpoint;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(prompt);
    internal::SerializeText(archive, endpoint);
  }
};

/// Queries the owner of a prompt which engine processes it.
struct PromptLocationQuery {
  std::uint64_t prompt = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(prompt);
  }
};

struct PromptLocationReply {
  /// Empty if the owner has no engine for the prompt.
  std::string endpoint;

  template <typename Archive>
  void serialize(Archive& archive) {
    internal::SerializeText(archive, endpoint);
  }
};

}  // namespace fulmarpoint
