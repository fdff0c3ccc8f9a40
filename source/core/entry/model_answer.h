// The token events of a model's answer: reading them, and assembling them for callers that did not ask for a
// stream.
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

// Reads one JSON event of an engine. Errors: invalid_input.
result<token_event> parse_token_event(std::string_view line);

// The answer up to now. `text` is also what an engine needs to resume.
struct model_answer {
  std::string id;
  std::string text;
  std::string finish_reason;
  std::uint32_t next_index = 0;  // Index of the next token that is needed.

  void append(token_event event);
};

// Body of a response that is not streamed.
std::string assemble(const model_answer& answer, wire::request_kind kind, std::string_view model);

}  // namespace cuminpath::entry
