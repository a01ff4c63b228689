#include "protocol/table_replica_rows.h"

#include <zlib.h>

#include <utility>

#include "protocol/body_codec.h"

namespace fulmarpoint {

namespace {

constexpr char kPlain = 0;
constexpr char kCompressed = 1;
// Shorter texts hardly shrink.
constexpr std::size_t kShortestCompressed = 1024;
constexpr std::size_t kMaxRowBytes = std::size_t{16} * 1024 * 1024;

std::string Compress(const std::string& bytes) {
  uLongf size = compressBound(bytes.size());
  std::string packed(size, '\0');
  const int result =
      compress2(reinterpret_cast<Bytef*>(packed.data()), &size,
                reinterpret_cast<const Bytef*>(bytes.data()), bytes.size(), Z_BEST_SPEED);
  packed.resize(result == Z_OK ? size : 0);
  return packed;
}

/// `size` is the number of bytes that were compressed.
std::optional<std::string> Decompress(std::string_view packed, std::size_t size) {
  std::string bytes(size, '\0');
  uLongf filled = size;
  const int result = uncompress(reinterpret_cast<Bytef*>(bytes.data()), &filled,
                                reinterpret_cast<const Bytef*>(packed.data()), packed.size());
  if (result != Z_OK || filled != size) return std::nullopt;
  return bytes;
}

/// Rows as they are sent.
struct Packed {
  char form = kPlain;
  std::uint32_t plain_size = 0;
  std::string bytes;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(form, plain_size);
    internal::SerializeText<std::uint32_t>(archive, bytes);
  }
};

struct RowList {
  std::vector<TableReplicaRow> rows;

  template <typename Archive>
  void serialize(Archive& archive) {
    internal::SerializeList(archive, rows);
  }
};

std::optional<std::vector<TableReplicaRow>> ReadRows(std::string_view bytes) {
  std::optional<RowList> list = internal::TryDecodeBody<RowList>(bytes);
  if (!list) return std::nullopt;
  return std::move(list->rows);
}

}  // namespace

std::string PackRows(std::vector<TableReplicaRow> rows) {
  if (rows.empty()) return {};
  Packed packed;
  packed.bytes = internal::EncodeBody(RowList{std::move(rows)});
  packed.plain_size = static_cast<std::uint32_t>(packed.bytes.size());
  std::string compressed =
      packed.bytes.size() < kShortestCompressed ? std::string() : Compress(packed.bytes);
  if (!compressed.empty()) {
    packed.form = kCompressed;
    packed.bytes = std::move(compressed);
  }
  return internal::EncodeBody(packed);
}

std::optional<std::vector<TableReplicaRow>> UnpackRows(std::string_view bytes) {
  if (bytes.empty()) return std::vector<TableReplicaRow>();
  const std::optional<Packed> packed = internal::TryDecodeBody<Packed>(bytes);
  if (!packed) return std::nullopt;
  if (packed->form == kPlain) return ReadRows(packed->bytes);
  if (packed->form != kCompressed || packed->plain_size > kMaxRowBytes) return std::nullopt;
  const std::optional<std::string> plain = Decompress(packed->bytes, packed->plain_size);
  if (!plain) return std::nullopt;
  return ReadRows(*plain);
}

}  // namespace fulmarpoint
