// Parses the token events of a model's response and assembles them for callers that did not request a stream.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "core/common/error.h"
#include "core/wire/messages.h"

namespace cuminpath::entry {

struct token_event {
  std::string id;
  std::string text;
  std::string finish_reason;  // Empty until the last token.
};

// Parses one JSON event of an engine. Errors: invalid_input.
result<token_event> parse_token_event(std::string_view line);

// The response as received so far. An engine needs `text` to resume it.
struct model_answer {
  std::string id;
  std::string text;
  std::string finish_reason;
  std::uint32_t next_index = 0;  // Index of the next expected token.

  void append(token_event event);
};

// Returns the body of a response that is not streamed.
std::string assemble_response_body(const model_answer& answer, wire::request_kind kind,
                                   std::string_view model);

}  // namespace cuminpath::entry
