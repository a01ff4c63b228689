#pragma once

#include <string>
#include <string_view>

#include "transport/http_message.h"

namespace fulmarpoint::internal {

/// Returns whether a header cannot split or corrupt a message head. Thread-safe.
bool IsSafeHeader(const HttpHeader& header);

/// Returns whether `text` may stand in a request line. Thread-safe.
bool IsSafeToken(std::string_view text);

/// Formats status line and headers without the empty line that ends the head. Headers that are not
/// safe are left out. Thread-safe.
std::string FormatReplyHead(int status, const HttpHeaders& headers);

/// Formats request line and headers like `FormatReplyHead`. Thread-safe.
std::string FormatRequestHead(std::string_view method, std::string_view target,
                              std::string_view host, const HttpHeaders& headers);

}  // namespace fulmarpoint::internal
