#include "verification/token_function.h"

#include <cstdio>

#include "protocol/identifiers.h"

namespace fulmarpoint {

namespace {

std::string ToHex(std::uint64_t value) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
  return text;
}

}  // namespace

std::string TokenAt(std::string_view model, std::string_view version, std::string_view prompt,
                    std::uint64_t seed, std::uint64_t position) {
  std::uint64_t hash = StableHash(model, seed);
  hash = StableHash(version, hash);
  hash = StableHash(prompt, hash);
  hash = StableHash(std::to_string(position), hash);
  return "t" + ToHex(hash).substr(0, 8);
}

std::string AnswerTo(std::string_view method, std::string_view path, std::string_view body) {
  const std::uint64_t hash = StableHash(body, StableHash(path, StableHash(method)));
  return R"({"answer":")" + ToHex(hash) + R"("})";
}

}  // namespace fulmarpoint
