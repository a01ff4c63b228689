#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace fulmarpoint {

/// Returns the token that a simulated engine generates at `position`. It is the same in every
/// process and depends on all arguments, so that an observer who has the request can detect tokens
/// that are missing, duplicated or from another request. Thread-safe.
std::string TokenAt(std::string_view model, std::string_view version, std::string_view prompt,
                    std::uint64_t seed, std::uint64_t position);

/// Returns the answer that a simulated application engine gives to a request. Thread-safe.
std::string AnswerTo(std::string_view method, std::string_view path, std::string_view body);

}  // namespace fulmarpoint
