// Reading, checking, comparing and splitting of manifests.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/error.h"
#include "core/config/manifest.h"

namespace cuminpath::config {

struct diagnostic {
  std::string file;
  std::uint32_t line = 0;  // 1-based; 0 if no line applies.
  std::string key;
  std::string message;
};

// True for 64 lower-case hexadecimal digits.
bool is_sha256(std::string_view text);

// FILE:LINE: KEY: MESSAGE
std::string to_string(const diagnostic& value);

struct parsed_manifest {
  manifest value;
  std::vector<diagnostic> errors;  // Every error, not only the first. `value` counts only if it is empty.
};

// Larger text is refused. A manifest with 12,000 upstreams has about 2 MB.
constexpr std::size_t k_max_manifest_bytes = 16U << 20U;

parsed_manifest parse_manifest(std::string_view text, std::string_view file);

// One line for each difference, like "+ upstream engine-5" or "~ workspace narmada: share 1 -> 2".
std::vector<std::string> diff(const manifest& from, const manifest& to);

// A manifest as content-addressed sections. A change of one upstream changes one section and the index.
struct sections {
  // Canonical JSON text: section name to digest, or to a list with the digest of each hash bucket ("" for an
  // empty one).
  std::string index;
  std::map<std::string, std::string> contents;  // Digest (SHA-256, hexadecimal) to canonical JSON text.
};

sections split(const manifest& value);
// Digests that an index refers to. Errors: invalid_input.
result<std::vector<std::string>> referenced_digests(std::string_view index);
// Lists are ordered by name. Errors: not_found if a section is missing, invalid_input if one does not match
// its digest or format, or if the whole would not pass the checks of parse_manifest().
result<manifest> join(std::string_view index, const std::map<std::string, std::string>& contents);

// Joins successive versions. It keeps the rows of the last one, so that only changed sections are parsed: at
// 12,000 upstreams parsing is most of the cost of join().
class joiner {
public:
  joiner();
  ~joiner();
  joiner(joiner&&) noexcept;
  joiner& operator=(joiner&&) noexcept;

  // As the function join().
  result<manifest> join(std::string_view index, const std::map<std::string, std::string>& contents);

private:
  class impl;
  std::unique_ptr<impl> m_impl;
};

}  // namespace cuminpath::config
