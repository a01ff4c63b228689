#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/catalogue.h"
#include "protocol/parse_error.h"
#include "protocol/peer_messages.h"

namespace fulmarpoint {

inline constexpr char kCatalogueTable[] = "catalogue";
inline constexpr char kCatalogueHistoryTable[] = "catalogue_history";
inline constexpr char kHeadKey[] = "head";
inline constexpr char kVotersKey[] = "voters";

/// One row of the catalogue table: the head, the voters, a service without its organisations, or a
/// shard of the organisations of a service. Organisations are sharded over up to 256 rows per
/// service, so that a change of one organisation does not transfer all of them.
struct CatalogueItem {
  std::string key;
  /// Catalogue revision that last changed the item.
  std::uint64_t revision = 0;
  /// Version of the row in the table service.
  std::uint64_t row_version = 0;
  /// JSON; empty if the item was removed.
  std::string value;

  template <typename Archive>
  void serialize(Archive& archive) {
    internal::SerializeText(archive, key);
    archive(revision, row_version);
    internal::SerializeText<std::uint32_t>(archive, value);
  }
};

/// All items that changed after revision `from` up to and including revision `to`.
struct CatalogueDelta {
  std::uint64_t from = 0;
  std::uint64_t to = 0;
  std::vector<CatalogueItem> items;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(from, to);
    internal::SerializeList(archive, items);
  }
};

/// The daemons of which a majority can confirm that a catalogue revision is current while the table
/// service is unavailable. The set is part of the catalogue, so that all daemons at a revision use
/// the same one.
struct VoterSet {
  std::vector<InstanceId> current;
  /// The set before its last change.
  std::vector<InstanceId> previous;
};

/// Returns the value of the row that stores `item`. Thread-safe.
std::string EncodeRow(const CatalogueItem& item);
/// Parses the value of a row. Thread-safe.
Parsed<CatalogueItem> DecodeRow(const std::string& key, std::uint64_t row_version,
                                std::string_view value);

/// Returns the values of the items of an entry by key. The entry's revision is stored as 0.
/// Thread-safe.
std::map<std::string, std::string> ItemsOf(const CatalogueEntry& entry);
/// Returns the service of an item's key, or an empty name if the item belongs to none. Thread-safe.
ServiceName ServiceOf(std::string_view key);
/// Returns whether `key` is that of a service without its organisations. Thread-safe.
bool IsEntryKey(std::string_view key);

std::string ToJson(const VoterSet& voters);
Parsed<VoterSet> ParseVoterSet(std::string_view json);

/// Row of the history table: which write created a revision.
struct RevisionRecord {
  std::uint64_t revision = 0;
  /// Random identifier of the write.
  std::uint64_t write = 0;
  std::string author;
  UnixMillis at = 0;
  /// Keys of the changed items.
  std::vector<std::string> keys;
};

/// Returns the key in the history table; keys sort in the order of revisions. Thread-safe.
std::string HistoryKey(std::uint64_t revision);
std::string ToJson(const RevisionRecord& record);
Parsed<RevisionRecord> ParseRevisionRecord(std::string_view json);

}  // namespace fulmarpoint
