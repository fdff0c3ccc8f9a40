// Parses, checks, compares, splits and joins manifests.
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
  std::uint32_t line = 0;  // 1-based; 0 if the error has no line.
  std::string key;
  std::string message;
};

// Returns true for 64 lower-case hexadecimal digits.
bool is_sha256(std::string_view text);

// Formats the diagnostic as FILE:LINE: KEY: MESSAGE.
std::string to_string(const diagnostic& value);

struct parsed_manifest {
  manifest value;
  std::vector<diagnostic> errors;  // All errors, not only the first. `value` is valid only if there are none.
};

// Larger texts are rejected. A manifest with 12,000 upstreams has about 2 MB.
constexpr std::size_t k_max_manifest_bytes = 16U << 20U;

parsed_manifest parse_manifest(std::string_view text, std::string_view file);

// Returns one line for each difference, for example "+ upstream engine-5" or
// "~ workspace narmada: share 1 -> 2".
std::vector<std::string> diff(const manifest& from, const manifest& to);

// A manifest as content-addressed sections. A change to one upstream changes one section and the index.
struct sections {
  // Canonical JSON text that maps each section name to a digest, or to a list with the digest of each hash
  // bucket ("" for an empty bucket).
  std::string index;
  std::map<std::string, std::string> contents;  // Canonical JSON text by digest (hexadecimal SHA-256).
};

sections split_into_sections(const manifest& value);
// Returns the digests that an index refers to. Errors: invalid_input.
result<std::vector<std::string>> referenced_digests(std::string_view index);
// Builds the manifest, with its lists ordered by name. Errors: not_found if a section is missing;
// invalid_input if a section does not match its digest or format, or if the manifest fails the checks that
// parse_manifest() makes.
result<manifest> join_sections(std::string_view index, const std::map<std::string, std::string>& contents);

// Joins successive versions of a manifest. Keeps the parsed rows of the last version, so that only changed
// sections are parsed: at 12,000 upstreams, parsing accounts for most of the cost of join().
class manifest_joiner {
public:
  manifest_joiner();
  ~manifest_joiner();
  manifest_joiner(manifest_joiner&&) noexcept;
  manifest_joiner& operator=(manifest_joiner&&) noexcept;

  // Has the result and the errors of join_sections().
  result<manifest> join(std::string_view index, const std::map<std::string, std::string>& contents);

private:
  class impl;
  std::unique_ptr<impl> m_impl;
};

}  // namespace cuminpath::config
