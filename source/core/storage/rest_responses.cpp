#include "core/storage/rest_responses.h"

namespace cuminpath::storage {

std::string encode_segment(std::string_view text) {
  constexpr std::string_view k_hex_digits = "0123456789ABCDEF";
  constexpr std::string_view k_unreserved =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_~";
  std::string encoded;
  for (const char c : text) {
    // Dots are encoded too: path normalization would remove a segment that consists only of dots.
    if (k_unreserved.find(c) != std::string_view::npos) {
      encoded += c;
    } else {
      const auto byte = static_cast<unsigned char>(c);
      encoded += '%';
      encoded += k_hex_digits[byte >> 4U];
      encoded += k_hex_digits[byte & 15U];
    }
  }
  return encoded;
}

error to_error(const http::client::call_result& response) {
  if (response.failure) {
    return make_error(response.failure->code, response.failure->message);
  }
  const auto status = response.value.status;
  const auto message = "status " + std::to_string(status);
  if (status == 404) {
    return make_error(error_code::not_found, message);
  }
  return make_error(status >= 500 ? error_code::unreachable : error_code::internal, message);
}

result<json> to_json(const http::client::call_result& response) {
  if (response.failure || response.value.status != 200) {
    return to_error(response);
  }
  auto parsed = parse_json(response.value.body);
  if (!parsed) {
    return make_error(error_code::internal, "malformed response: " + parsed.error().message);
  }
  return parsed;
}

}  // namespace cuminpath::storage
