#include "core/agent/upstream_request.h"

#include <algorithm>
#include <array>

#include "core/common/json.h"

namespace cuminpath::agent {
namespace {

// Headers that apply to one connection or its message framing (RFC 9110, section 7.6.1).
constexpr std::array<std::string_view, 10> k_connection_headers = {"connection",
                                                                   "keep-alive",
                                                                   "proxy-authenticate",
                                                                   "proxy-authorization",
                                                                   "te",
                                                                   "trailer",
                                                                   "transfer-encoding",
                                                                   "upgrade",
                                                                   "content-length",
                                                                   "host"};

bool equal_ignoring_case(std::string_view left, std::string_view right) {
  const auto lower = [](char character) {
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character;
  };
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [lower](char first, char second) { return lower(first) == lower(second); });
}

bool is_connection_header(std::string_view name) {
  return std::any_of(k_connection_headers.begin(), k_connection_headers.end(),
                     [name](std::string_view header) { return equal_ignoring_case(name, header); });
}

bool has_invalid_character(std::string_view text) {
  return text.find_first_of(std::string_view("\r\n\0", 3)) != std::string_view::npos;
}

}  // namespace

wire::header_list end_to_end_headers(const http::header_list& headers) {
  wire::header_list kept;
  for (const auto& [name, text] : headers) {
    if (!is_connection_header(name) && !has_invalid_character(name) && !has_invalid_character(text)) {
      kept.emplace_back(name, text);
    }
  }
  return kept;
}

result<http::request> engine_request(const attempt& value, std::uint32_t priority) {
  auto parsed = parse_json(value.request.body);
  if (!parsed || !parsed.value().is_object()) {
    return make_error(error_code::invalid_input, "the body of the request is not a JSON object");
  }
  auto& body = parsed.value();
  body["stream"] = true;
  body["priority"] = priority;
  if (value.next_index > 0) {
    std::string text = value.request.resume_text;
    for (const auto& event : value.generated_events) {
      text += token_text(event);
    }
    body["resume"] = {{"token_index", value.next_index}, {"text", std::move(text)}};
  }
  http::request request;
  request.method = "POST";
  request.target =
      value.request.kind == wire::request_kind::chat_completion ? "/v1/chat/completions" : "/v1/completions";
  request.headers = {{"Content-Type", "application/json"}, {"X-Request-Id", value.request.request_id}};
  // The text of a stream may end within a UTF-8 sequence; incomplete sequences are replaced.
  request.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
  return request;
}

http::request service_request(const attempt& value) {
  http::request request;
  request.method = value.request.method;
  request.target = value.request.path.starts_with('/') ? value.request.path : "/" + value.request.path;
  request.headers = end_to_end_headers(value.request.headers);
  if (!http::find_header(request.headers, "X-Request-Id")) {
    request.headers.emplace_back("X-Request-Id", value.request.request_id);
  }
  request.body = value.request.body;
  return request;
}

}  // namespace cuminpath::agent
