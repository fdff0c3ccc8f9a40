// Differences between two indexes and between two sections. With 12,000 upstreams the index (18 KB) and a
// section (6 KB) are too large to be sent by an entry to each of its ten agents 16,000 times a day.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/common/error.h"

namespace cuminpath::rollout {

// Returns the difference between two well-formed indexes:
// {"base":DIGEST,"digest":DIGEST,"set":[[SECTION,BUCKET,DIGEST],...]}. BUCKET is null for a section without
// buckets. Returns `text` itself if the two differ in more than digests, or if it is not longer than the
// difference.
std::string make_index_delta(std::string_view base_digest, std::string_view base_text, std::string_view text);

// Returns the text with the given digest; empty if this process does not have it.
using text_lookup = std::function<std::string(std::string_view digest)>;

// Restores the text of an index from the result of make_index_delta(). A whole index is returned unchanged.
// Errors: not_found if the base is not available, invalid_input for malformed text or a result that does not
// match its digest.
result<std::string> apply_index_delta(std::string_view received, const text_lookup& lookup);

// Returns the old and the new digest of each section that differs; the old one is empty for a new section.
std::vector<std::pair<std::string, std::string>> changed_sections(std::string_view base_text,
                                                                  std::string_view text);

// Returns the difference between two well-formed sections,
// {"base":DIGEST,"set":[ROW,...],"removed":[NAME,...]}, or `text` itself if it is not longer.
std::string make_section_delta(std::string_view base_digest, std::string_view base_text,
                               std::string_view text);

// Restores the text of a section from the result of make_section_delta(). A whole section is returned
// unchanged. The caller checks the digest. Errors: not_found if the base is not available, invalid_input for
// malformed text.
result<std::string> apply_section_delta(std::string_view received, const text_lookup& lookup);

}  // namespace cuminpath::rollout
