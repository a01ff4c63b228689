#include "transport/http_message.h"

#include <algorithm>
#include <array>
#include <utility>

#include "transport/internal/http_format.h"

namespace fulmarpoint {

namespace {

char Lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return Lower(x) == Lower(y); });
}

constexpr std::array<std::pair<int, std::string_view>, 20> kReasons = {{
    {200, "OK"},
    {201, "Created"},
    {202, "Accepted"},
    {204, "No Content"},
    {304, "Not Modified"},
    {400, "Bad Request"},
    {401, "Unauthorized"},
    {403, "Forbidden"},
    {404, "Not Found"},
    {405, "Method Not Allowed"},
    {408, "Request Timeout"},
    {409, "Conflict"},
    {413, "Content Too Large"},
    {422, "Unprocessable Content"},
    {429, "Too Many Requests"},
    {500, "Internal Server Error"},
    {501, "Not Implemented"},
    {502, "Bad Gateway"},
    {503, "Service Unavailable"},
    {504, "Gateway Timeout"},
}};

std::string_view ReasonOf(int status) {
  for (const auto& [code, reason] : kReasons) {
    if (code == status) return reason;
  }
  return "Status";
}

bool HasControl(std::string_view text) {
  return std::any_of(text.begin(), text.end(), [](char c) {
    const auto byte = static_cast<unsigned char>(c);
    return (byte < 0x20 && byte != '\t') || byte == 0x7f;
  });
}

void AppendHeaders(const HttpHeaders& headers, std::string& text) {
  for (const HttpHeader& header : headers) {
    if (!internal::IsSafeHeader(header)) continue;
    text.append(header.name).append(": ").append(header.value).append("\r\n");
  }
}

}  // namespace

std::optional<std::string_view> FindHeader(const HttpHeaders& headers, std::string_view name) {
  for (const HttpHeader& header : headers) {
    if (EqualsIgnoringCase(header.name, name)) return header.value;
  }
  return std::nullopt;
}

bool HasMediaType(const HttpHeaders& headers, std::string_view media_type) {
  std::string_view type = FindHeader(headers, "Content-Type").value_or("");
  type = type.substr(0, type.find(';'));
  while (type.ends_with(' ') || type.ends_with('\t')) type.remove_suffix(1);
  return EqualsIgnoringCase(type, media_type);
}

namespace internal {

bool IsSafeHeader(const HttpHeader& header) {
  return !header.name.empty() && !HasControl(header.name) && !HasControl(header.value) &&
         header.name.find_first_of(" \t:") == std::string::npos;
}

bool IsSafeToken(std::string_view text) {
  return !text.empty() && !HasControl(text) && text.find_first_of(" \t") == std::string_view::npos;
}

std::string FormatReplyHead(int status, const HttpHeaders& headers) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
  text.append(ReasonOf(status)).append("\r\n");
  AppendHeaders(headers, text);
  return text;
}

std::string FormatRequestHead(std::string_view method, std::string_view target,
                              std::string_view host, const HttpHeaders& headers) {
  std::string text;
  text.append(method).append(" ").append(target).append(" HTTP/1.1\r\nHost: ");
  text.append(host).append("\r\n");
  AppendHeaders(headers, text);
  return text;
}

}  // namespace internal

}  // namespace fulmarpoint
