// The text of responses, as upstreams write it and as callers read it.
#pragma once

#include <string>
#include <string_view>

namespace cuminpath::proxy {

// Returns a chunk of a chunked body; nothing for an empty text, which would be the last chunk.
std::string chunk(std::string_view text);

struct caller_view {
  std::string head;
  std::string body;
  bool whole = false;  // The response has its whole body or its last chunk.
};

caller_view read_response(std::string_view bytes);

}  // namespace cuminpath::proxy
