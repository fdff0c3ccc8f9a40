// A gateway's copy of the documents that it needs from the platform's store. Gateways to which the store is
// unavailable receive newer copies from other gateways, so the content is kept as opaque documents with the
// versions of the store.
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include "core/common/error.h"
#include "core/common/time.h"
#include "core/gateway/store_version.h"

namespace cuminpath::gateway {

struct document {
  store_version version;  // Number of its last change, in the era in which it was read.
  std::string bytes;

  bool operator==(const document&) const = default;
};

using collection_versions = std::map<std::string, store_version, std::less<>>;  // Versions by collection.

// Returns true if `known` lacks a change that `newest` names: both contain the newest change of each
// collection.
bool lacks_changes(const collection_versions& known, const collection_versions& newest);

// The era of a version that comes from a gateway of a release without eras.
constexpr std::uint64_t k_era_not_stated = std::numeric_limits<std::uint64_t>::max();

// Encodes versions as one MessagePack document, which gateways of a release without eras read, too.
std::string encode_versions(const collection_versions& versions);
// Decodes versions; empty input means that no versions are known. Errors: invalid_input.
result<collection_versions> decode_versions(std::string_view bytes);

class mirror {
public:
  using documents = std::map<std::string, document, std::less<>>;  // Documents by key.

  // Applies one change reported by the store. Changes that are older than the known state are ignored, and so
  // are those of another era: they refer to content that the mirror does not have.
  void put(std::string_view collection, std::string_view key, document value);
  void remove(std::string_view collection, std::string_view key, store_version version);
  // Replaces a collection by the content of the store at `version`. Returns false, without an effect, if the
  // known content is newer.
  bool replace(std::string_view collection, documents content, store_version version);
  // Marks the collection as complete up to `version`, unless that is of another era.
  void advance(std::string_view collection, store_version version);

  [[nodiscard]] const documents& collection(std::string_view name) const;
  // Returns the version up to which a collection is complete; the lowest one if it was never read.
  [[nodiscard]] store_version version(std::string_view collection) const;
  // Returns the highest era of all collections.
  [[nodiscard]] std::uint64_t era() const;
  // Returns a number that grows with each change of any collection within an era: the sum of the numbers of
  // the newest changes of all collections. The newest version of all would hide a change that is read after a
  // newer one of another collection. Equal mirrors return equal numbers, whenever they were read.
  [[nodiscard]] std::uint64_t content_version() const;
  // Returns the versions of the newest change of each collection that has any.
  [[nodiscard]] collection_versions newest_changes() const;
  // Takes the newest changes that another mirror of the same store states, and returns true if that changed
  // anything. A collection that is complete up to such a change contains it, also if it recorded a lower
  // version: reads at different times record the same removals with different versions.
  bool learn_newest_changes(const collection_versions& others);

  [[nodiscard]] collection_versions known_versions() const;
  // Returns the changes that a gateway whose collections have these versions lacks, as one MessagePack
  // document. Collections that `known` does not contain, or at another era, are included whole, and so are
  // those whose removals since the known version are no longer stored.
  [[nodiscard]] std::string changes_since(const collection_versions& known) const;
  // Applies those collections of such a document that are newer than the local ones. Returns true if
  // something changed. Errors: invalid_input.
  result<bool> merge(std::string_view bytes);

private:
  using removal_map = std::map<std::string, store_version, std::less<>>;  // Versions by key.
  struct collection_state {
    documents content;
    store_version version;
    store_version last_change_version;  // Newest version of a change, including removals.
    // Keys removed after version `removals_since`, with the versions of their removals.
    removal_map removals;
    store_version removals_since;

    void forget_removals(store_version up_to);
    void remember_removal(std::string_view key, store_version at);
  };
  // Changes of one collection of another mirror since version `base`; the whole collection if it has none.
  // All versions are of one era.
  struct change_set {
    store_version version;
    store_version last_change_version;
    std::optional<store_version> base;
    documents content;
    removal_map removals;
  };
  static change_set changes_of(const collection_state& current, store_version known);
  static nlohmann::json encode(const change_set& changes);
  // Throws json::exception for anything else.
  static change_set decode(const nlohmann::json& encoded);
  static bool merge_into(collection_state& target, change_set newer);
  collection_state& state(std::string_view name);

  std::map<std::string, collection_state, std::less<>> m_collections;
};

}  // namespace cuminpath::gateway
