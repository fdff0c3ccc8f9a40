#include "core/common/json.h"

#include <algorithm>
#include <string>

namespace cuminpath {
namespace {

error too_deep_error(std::string_view format) {
  return make_error(error_code::invalid_input, std::string(format) + " is nested deeper than " +
                                                   std::to_string(k_max_json_depth) + " levels");
}

// Reads a document without storing it, and stops at the first container that is nested too deeply.
class depth_check final : public json::json_sax_t {
public:
  bool null() override { return true; }
  bool boolean(bool /*value*/) override { return true; }
  bool number_integer(number_integer_t /*value*/) override { return true; }
  bool number_unsigned(number_unsigned_t /*value*/) override { return true; }
  bool number_float(number_float_t /*value*/, const string_t& /*text*/) override { return true; }
  bool string(string_t& /*value*/) override { return true; }
  bool binary(binary_t& /*value*/) override { return true; }
  bool start_object(std::size_t /*elements*/) override { return enter(); }
  bool key(string_t& /*value*/) override { return true; }
  bool end_object() override { return leave(); }
  bool start_array(std::size_t /*elements*/) override { return enter(); }
  bool end_array() override { return leave(); }
  bool parse_error(std::size_t /*position*/, const std::string& /*last_token*/,
                   const json::exception& /*failure*/) override {
    return false;
  }

  [[nodiscard]] bool too_deep() const { return m_depth > k_max_json_depth; }

private:
  bool enter() {
    ++m_depth;
    return !too_deep();
  }
  bool leave() {
    --m_depth;
    return true;
  }

  int m_depth = 0;
};

struct document_shape {
  int depth = 0;  // The scan ends where it exceeds the limit.
  std::size_t containers_and_strings = 0;
};

// Counts brackets outside of strings, and strings. Exact for valid JSON; the parser does not read malformed
// text any further than the scan is right about it.
document_shape scan(std::string_view text) {
  document_shape shape;
  int depth = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size() && depth <= k_max_json_depth; ++i) {
    const char character = text[i];
    if (in_string) {
      i += character == '\\' ? 1 : 0;
      in_string = character != '"';
    } else if (character == '"') {
      in_string = true;
      ++shape.containers_and_strings;
    } else if (character == '[' || character == '{') {
      shape.depth = std::max(shape.depth, ++depth);
      ++shape.containers_and_strings;
    } else if (character == ']' || character == '}') {
      --depth;
    }
  }
  return shape;
}

}  // namespace

result<json> parse_json(std::string_view text, std::size_t max_containers_and_strings) {
  const document_shape shape = scan(text);
  if (shape.depth > k_max_json_depth) {
    return too_deep_error("JSON");
  }
  if (shape.containers_and_strings > max_containers_and_strings) {
    return make_error(
        error_code::invalid_input,
        "JSON has more than " + std::to_string(max_containers_and_strings) + " containers and strings");
  }
  // Not with a callback, which could check the depth, too: at the end of each object, the library then visits
  // all elements of its parent.
  json document = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (document.is_discarded()) {
    return make_error(error_code::invalid_input, "malformed JSON");
  }
  return document;
}

result<json> parse_msgpack(std::string_view bytes) {
  // The parser recurses once per level, so the depth is checked before a document is built.
  depth_check check;
  if (!json::sax_parse(bytes, &check, json::input_format_t::msgpack)) {
    return check.too_deep() ? too_deep_error("MessagePack")
                            : make_error(error_code::invalid_input, "malformed MessagePack");
  }
  return json::from_msgpack(bytes, /*strict=*/true, /*allow_exceptions=*/false);
}

}  // namespace cuminpath
