// A gateway's copy of the documents that it needs from the platform's store. Gateways to which the store is
// unavailable receive newer copies from other gateways, so the content is kept as opaque documents with the
// versions of the store.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "core/common/error.h"
#include "core/common/time.h"

namespace cuminpath::gateway {

struct document {
  std::uint64_t version = 0;  // Version of the store at the last change of the document.
  std::string bytes;

  bool operator==(const document&) const = default;
};

using version_map = std::map<std::string, std::uint64_t, std::less<>>;
using collection_versions = version_map;  // Versions by collection.

// Encodes versions as one MessagePack document.
std::string encode_versions(const collection_versions& versions);
// Decodes versions; empty input means that no versions are known. Errors: invalid_input.
result<collection_versions> decode_versions(std::string_view bytes);

class mirror {
public:
  using documents = std::map<std::string, document, std::less<>>;  // Documents by key.

  // Applies one change reported by the store; changes that are older than the known state are ignored.
  void put(std::string_view collection, std::string_view key, document value);
  void remove(std::string_view collection, std::string_view key, std::uint64_t version);
  // Replaces a collection by the content of the store at `version`.
  void replace(std::string_view collection, documents content, std::uint64_t version);
  // Marks the collection as complete up to `version`.
  void advance(std::string_view collection, std::uint64_t version);

  [[nodiscard]] const documents& collection(std::string_view name) const;
  // Returns the version up to which a collection is complete; 0 if it was never read.
  [[nodiscard]] std::uint64_t version(std::string_view collection) const;
  // Returns a number that grows with each change of any collection: the sum of the newest versions of all
  // collections. The newest version of all would hide a change that is read after a newer one of another
  // collection. Equal mirrors return equal numbers, whenever they were read.
  [[nodiscard]] std::uint64_t content_version() const;

  [[nodiscard]] collection_versions known_versions() const;
  // Returns the changes that a gateway whose collections have these versions lacks, as one MessagePack
  // document. Collections that `known` does not contain are included whole, and so are those whose removals
  // since the known version are no longer stored.
  [[nodiscard]] std::string changes_since(const collection_versions& known) const;
  // Applies those collections of such a document that are newer than the local ones. Returns true if
  // something changed. Errors: invalid_input.
  result<bool> merge(std::string_view bytes);

private:
  struct collection_state {
    documents content;
    std::uint64_t version = 0;
    std::uint64_t last_change_version = 0;  // Newest version of a change, including removals.
    // Keys removed after version `removals_since`, with the versions of their removals.
    version_map removals;
    std::uint64_t removals_since = 0;

    void forget_removals(std::uint64_t up_to);
    void remember_removal(std::string_view key, std::uint64_t at);
  };
  // Changes of one collection of another mirror since version `base`; the whole collection if `base` is 0.
  struct change_set {
    std::uint64_t version = 0;
    std::uint64_t last_change_version = 0;
    std::uint64_t base = 0;
    documents content;
    version_map removals;
  };
  static change_set changes_of(const collection_state& current, std::uint64_t known);
  static bool merge_into(collection_state& target, change_set newer);
  collection_state& state(std::string_view name);

  std::map<std::string, collection_state, std::less<>> m_collections;
};

}  // namespace cuminpath::gateway
