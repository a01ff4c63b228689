#pragma once

#include <algorithm>
#include <cereal/cereal.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace fulmarpoint {

namespace internal {

/// Serializes a list with a two-byte count. Items are allocated one by one while they are read, so
/// that a forged count takes no more memory than is proportional to the input.
template <typename Archive, typename Item>
void SerializeList(Archive& archive, std::vector<Item>& items) {
  std::uint16_t count = static_cast<std::uint16_t>(items.size());
  archive(count);
  if constexpr (Archive::is_loading::value) items.clear();
  for (std::uint16_t i = 0; i < count; ++i) {
    if constexpr (Archive::is_loading::value) items.emplace_back();
    archive(items[i]);
  }
}

/// Serializes a string with a length prefix of type `Size`. Reads in chunks of at most 512 bytes,
/// so that a forged length takes no more memory than is proportional to the input.
template <typename Size = std::uint16_t, typename Archive>
void SerializeText(Archive& archive, std::string& text) {
  Size size = static_cast<Size>(text.size());
  archive(size);
  if constexpr (Archive::is_loading::value) text.clear();
  for (std::size_t done = 0; done < size;) {
    const std::size_t piece = std::min<std::size_t>(512, size - done);
    if constexpr (Archive::is_loading::value) text.resize(done + piece);
    archive(cereal::binary_data(text.data() + done, piece));
    done += piece;
  }
}

/// Serializes a list of strings like `SerializeList`.
template <typename Archive>
void SerializeTexts(Archive& archive, std::vector<std::string>& texts) {
  std::uint16_t count = static_cast<std::uint16_t>(texts.size());
  archive(count);
  if constexpr (Archive::is_loading::value) texts.clear();
  for (std::uint16_t i = 0; i < count; ++i) {
    if constexpr (Archive::is_loading::value) texts.emplace_back();
    SerializeText(archive, texts[i]);
  }
}

/// Serializes a flag as one byte. Any nonzero value is read as true.
template <typename Archive>
void SerializeFlag(Archive& archive, bool& flag) {
  std::uint8_t byte = flag ? 1 : 0;
  archive(byte);
  flag = byte != 0;
}

}  // namespace internal

}  // namespace fulmarpoint
