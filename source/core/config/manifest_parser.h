// Reading, checking, comparing and splitting of manifests.
#pragma once

#include <cstdint>
#include <map>
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

// FILE:LINE: KEY: MESSAGE
std::string to_string(const diagnostic& value);

struct parsed_manifest {
  manifest value;
  std::vector<diagnostic> errors;  // Every error, not only the first. `value` counts only if it is empty.
};

parsed_manifest parse_manifest(std::string_view text, std::string_view file);

// One line for each difference, like "+ upstream engine-5" or "~ workspace narmada: share 1 -> 2".
std::vector<std::string> diff(const manifest& from, const manifest& to);

// A manifest as content-addressed sections. A change of one upstream changes one section and the index.
struct sections {
  std::string index;                            // Canonical JSON text: section name to digest.
  std::map<std::string, std::string> contents;  // Digest (SHA-256, hexadecimal) to canonical JSON text.
};

sections split(const manifest& value);
// Digests that an index refers to. Errors: invalid_input.
result<std::vector<std::string>> referenced_digests(std::string_view index);
// Errors: not_found if a section is missing, invalid_input if one does not match its digest or format.
result<manifest> join(std::string_view index, const std::map<std::string, std::string>& contents);

}  // namespace cuminpath::config
