#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace fulmarpoint {

/// Returns the token that a simulated engine generates at `position`. It is the same in every
/// process and differs between models, versions, prompts, seeds and positions, so that a lost,
/// repeated or foreign token can be recognised by anyone who knows the request. Thread-safe.
std::string TokenAt(std::string_view model, std::string_view version, std::string_view prompt,
                    std::uint64_t seed, std::uint64_t position);

/// Returns the answer of a simulated application engine to a request. Thread-safe.
std::string AnswerTo(std::string_view method, std::string_view path, std::string_view body);

}  // namespace fulmarpoint
