#pragma once

#include <string>
#include <string_view>

#include "transport/http_message.h"

namespace fulmarpoint::internal {

/// Returns whether a header is free of characters that would allow header injection or make the
/// head malformed. Thread-safe.
bool IsSafeHeader(const HttpHeader& header);

/// Returns whether `text` can be part of a request line: not empty, without blanks and control
/// characters. Thread-safe.
bool IsSafeToken(std::string_view text);

/// Formats the status line and headers without the empty line that ends the head. Unsafe headers
/// are omitted. Thread-safe.
std::string FormatReplyHead(int status, const HttpHeaders& headers);

/// Formats the request line and headers like `FormatReplyHead`. Thread-safe.
std::string FormatRequestHead(std::string_view method, std::string_view target,
                              std::string_view host, const HttpHeaders& headers);

}  // namespace fulmarpoint::internal
