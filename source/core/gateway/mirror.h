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

  // All collections as one MessagePack document, for another gateway.
  [[nodiscard]] std::string snapshot() const;
  // Takes those collections of a snapshot that are newer than its own. True if something changed.
  // Errors: invalid_input.
  result<bool> merge(std::string_view bytes);

private:
  struct collection_state {
    documents content;
    std::uint64_t version = 0;
    std::uint64_t changed_at = 0;  // Newest version of a change, removals included.
  };
  collection_state& state(std::string_view name);

  std::map<std::string, collection_state, std::less<>> m_collections;
  std::uint64_t m_content_version = 0;
};

}  // namespace cuminpath::gateway
