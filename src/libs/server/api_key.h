#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "transport/http_message.h"

namespace fulmarpoint {

/// Returns the lower-case hexadecimal SHA-256 of `text`. Thread-safe.
std::string Sha256Hex(std::string_view text);

/// Returns the hash of the key in `Authorization: Bearer KEY`, or nothing. Thread-safe.
std::optional<std::string> KeyHashOf(const HttpHeaders& headers);

}  // namespace fulmarpoint
