#pragma once

#include <string>
#include <string_view>

#include "protocol/parse_error.h"
#include "protocol/peer_messages.h"

namespace fulmarpoint {

inline constexpr std::size_t kMaxDatagramBytes = 1200;

/// Encodes and authenticates datagrams with a key that all daemons share. A datagram is an
/// HMAC-SHA256 followed by the cereal body; the HMAC is verified before the body is decoded. The
/// memory used for decoding is proportional to the input. Thread-safe.
class DatagramCodec {
 public:
  /// `key` is the shared secret; at least 16 bytes.
  explicit DatagramCodec(std::string key) : m_key(std::move(key)) {}

  /// Returns the bytes to send, or `kTooLarge`.
  Parsed<std::string> Encode(const PeerDatagram& datagram) const;
  /// Returns the message, `kUnauthorized` if the HMAC does not match, or `kBadRequest`.
  Parsed<PeerDatagram> Decode(std::string_view bytes) const;

  /// Returns the 32-byte HMAC-SHA256 of `body`.
  std::string Sign(std::string_view body) const;
  /// Returns whether `mac` is the HMAC-SHA256 of `body`. Compares in constant time.
  bool Verify(std::string_view body, std::string_view mac) const;

 private:
  std::string m_key;
};

}  // namespace fulmarpoint
