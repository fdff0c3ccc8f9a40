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

// {"base":DIGEST,"digest":DIGEST,"set":[[SECTION,BUCKET,DIGEST],...]}; BUCKET is null for a section without
// buckets. Returns `text` itself if the two differ in more than digests. Both are well-formed indexes.
std::string make_index_delta(std::string_view base_digest, std::string_view base_text, std::string_view text);

// Gives a text that is held, by its digest; empty if it is not held.
using text_lookup = std::function<std::string(std::string_view digest)>;

// Restores the text of an index from what make_index_delta() made. A whole index is returned unchanged.
// Errors: not_found if the base is not held, invalid_input for malformed text or a result that does not match
// its digest.
result<std::string> apply_index_delta(std::string_view received, const text_lookup& lookup);

// Old and new digest of each section that differs; the old one is empty if there was none.
std::vector<std::pair<std::string, std::string>> changed_sections(std::string_view base_text,
                                                                  std::string_view text);

// {"base":DIGEST,"set":[ROW,...],"removed":[NAME,...]}, or `text` itself if that is shorter. Both are
// well-formed sections.
std::string make_section_delta(std::string_view base_digest, std::string_view base_text,
                               std::string_view text);

// Restores a section. Text without a base is returned unchanged. The caller checks the digest.
// Errors: not_found if the base is not held, invalid_input for malformed text.
result<std::string> apply_section_delta(std::string_view received, const text_lookup& lookup);

}  // namespace cuminpath::rollout
