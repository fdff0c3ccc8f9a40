// A small valid manifest for tests.
#pragma once

#include <string>

namespace cuminpath::config {

inline const std::string k_sample_manifest = R"([[priority_class]]
name = "urgent"
rank = 0
first_token_target_ms = 900
worth = 10
floor = 0.5
[[priority_class]]
name = "digest"
rank = 1
floor = 0.1
[[model]]
name = "reminder"
layers = 2
experts = 8
expert_bytes = 1000
[[group]]
name = "g"
model = "reminder"
ranks = 2
[[service]]
name = "bookings"
[[service.rule]]
method = "POST"
path_prefix = "/quote"
repeatable = true
[[service.rule]]
method = "*"
path_prefix = "/book"
repeatable = false
[[workspace]]
name = "narmada"
key_sha256 = ["ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"]
share = 2
classes = ["urgent", "digest"]
default_class = "digest"
[[upstream]]
name = "e0"
host = "h0"
kind = "engine"
model = "reminder"
group = "g"
rank = 0
slots = 8
[[upstream]]
name = "e1"
host = "h1"
kind = "engine"
model = "reminder"
group = "g"
rank = 1
slots = 8
checks_fencing = true
[[upstream]]
name = "s0"
host = "h2"
kind = "service"
service = "bookings"
slots = 4
)";

inline std::string replaced(std::string text, const std::string& from, const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

}  // namespace cuminpath::config
