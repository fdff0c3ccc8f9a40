// A gateway's copy of what it needs from the platform's store. Gateways that the store turns away take newer
// copies from others, so the content is kept as opaque documents with the store's versions.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "core/common/error.h"
#include "core/common/time.h"

namespace cuminpath::gateway {

struct document {
  std::uint64_t version = 0;  // Version of the store at its last change.
  std::string bytes;

  bool operator==(const document&) const = default;
};

using version_map = std::map<std::string, std::uint64_t, std::less<>>;
using collection_versions = version_map;  // By collection.

// One MessagePack document.
std::string encode_versions(const collection_versions& versions);
// Nothing stands for no versions. Errors: invalid_input.
result<collection_versions> decode_versions(std::string_view bytes);

class mirror {
public:
  using documents = std::map<std::string, document, std::less<>>;  // By key.

  // Applies one change that the store reported; older ones than the known state are ignored.
  void put(std::string_view collection, std::string_view key, document value);
  void remove(std::string_view collection, std::string_view key, std::uint64_t version);
  // Replaces a collection by what the store held at `version`.
  void replace(std::string_view collection, documents content, std::uint64_t version);
  // Says that the collection is complete up to `version`.
  void advance(std::string_view collection, std::uint64_t version);

  [[nodiscard]] const documents& collection(std::string_view name) const;
  // Version up to which a collection is complete; 0 if it was never read.
  [[nodiscard]] std::uint64_t version(std::string_view collection) const;
  // The newest version of any document or removal; equal mirrors have equal figures, whenever they were read.
  [[nodiscard]] std::uint64_t content_version() const { return m_content_version; }

  [[nodiscard]] collection_versions known_versions() const;
  // What a gateway whose collections have these versions lacks, as one MessagePack document. Collections that
  // it does not name are given whole, and so are those whose removals since then are not known here.
  [[nodiscard]] std::string changes_since(const collection_versions& known) const;
  // Takes the collections of such a document that are newer than its own. True if something changed.
  // Errors: invalid_input.
  result<bool> merge(std::string_view bytes);

private:
  struct collection_state {
    documents content;
    std::uint64_t version = 0;
    std::uint64_t changed_at = 0;  // Newest version of a change, removals included.
    // Keys removed after version `removals_from`, with the version of the removal.
    version_map removals;
    std::uint64_t removals_from = 0;

    void forget_removals(std::uint64_t up_to);
    void remember_removal(std::string_view key, std::uint64_t at);
  };
  // What one collection of another mirror has beyond version `base`; all of it if `base` is 0.
  struct change_set {
    std::uint64_t version = 0;
    std::uint64_t changed_at = 0;
    std::uint64_t base = 0;
    documents content;
    version_map removals;
  };
  static change_set changes_of(const collection_state& held, std::uint64_t known);
  static bool merge_into(collection_state& target, change_set newer);
  collection_state& state(std::string_view name);

  std::map<std::string, collection_state, std::less<>> m_collections;
  std::uint64_t m_content_version = 0;
};

}  // namespace cuminpath::gateway
