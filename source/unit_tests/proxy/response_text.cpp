#include "response_text.h"

#include <fmt/format.h>

#include <algorithm>

namespace cuminpath::proxy {

std::string chunk(std::string_view text) {
  return text.empty() ? "" : fmt::format("{:x}\r\n{}\r\n", text.size(), text);
}

caller_view read_response(std::string_view bytes) {
  caller_view view;
  const std::size_t head_end = bytes.find("\r\n\r\n");
  if (head_end == std::string_view::npos) {
    return view;
  }
  view.head = bytes.substr(0, head_end + 4);
  bytes.remove_prefix(view.head.size());
  if (view.head.starts_with("HTTP/1.1 204") || view.head.starts_with("HTTP/1.1 304")) {
    view.body = bytes;
    view.whole = true;
    return view;
  }
  if (view.head.find("Transfer-Encoding: chunked") == std::string::npos) {
    view.body = bytes;
    view.whole = view.head.find(fmt::format("Content-Length: {}\r\n", bytes.size())) != std::string::npos;
    return view;
  }
  while (true) {
    const std::size_t line_end = bytes.find("\r\n");
    if (line_end == std::string_view::npos) {
      return view;
    }
    const std::size_t size = std::stoul(std::string(bytes.substr(0, line_end)), nullptr, 16);
    bytes.remove_prefix(line_end + 2);
    if (size == 0) {
      view.whole = bytes == "\r\n";
      return view;
    }
    view.body += bytes.substr(0, size);
    bytes.remove_prefix(std::min(size + 2, bytes.size()));
  }
}

}  // namespace cuminpath::proxy
