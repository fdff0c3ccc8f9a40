// Row of the table `claims` for one idempotency key.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/common/error.h"
#include "core/common/ids.h"
#include "core/common/json.h"

namespace cuminpath::idempotency {

// Response to a call as it is stored in a finished claim.
struct stored_response {
  int status = 200;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

enum class claim_state : std::uint8_t {
  claimed,   // The attempt may have been sent.
  released,  // Every attempt was refused before it ran; the next request may claim the key at once.
  finished,  // The row contains the response to the call.
};

struct claim_row {
  std::string token;  // Of the claimer; also the request id of its attempts in messages.
  std::string fingerprint;
  std::string upstream;
  std::string peer_address;  // Of the upstream's agent.
  incarnation agent{};       // Incarnation of that agent when the key was claimed.
  attempt_number attempt{};
  claim_state state = claim_state::claimed;
  stored_response response;
};

json to_json(const claim_row& row);
// Parses a row. Errors: invalid_input.
result<claim_row> claim_row_from_json(const json& value);

// Returns the key of the row: a hash, because callers choose idempotency keys and the row key is part of a
// URL.
std::string claim_row_key(std::string_view workspace, std::string_view idempotency_key);

}  // namespace cuminpath::idempotency
