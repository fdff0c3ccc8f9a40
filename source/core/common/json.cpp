#include "core/common/json.h"

#include <string>

namespace cuminpath {
namespace {

error too_deep_error(std::string_view format) {
  return make_error(error_code::invalid_input, std::string(format) + " is nested deeper than " +
                                                   std::to_string(k_max_json_depth) + " levels");
}

// Reads a document without storing it, and stops at the first container that is nested too deeply.
class document_check final : public json::json_sax_t {
public:
  bool null() override { return true; }
  bool boolean(bool /*value*/) override { return true; }
  bool number_integer(number_integer_t /*value*/) override { return true; }
  bool number_unsigned(number_unsigned_t /*value*/) override { return true; }
  bool number_float(number_float_t /*value*/, const string_t& /*text*/) override { return true; }
  bool string(string_t& /*value*/) override {
    ++m_containers_and_strings;
    return true;
  }
  bool binary(binary_t& /*value*/) override { return true; }
  bool start_object(std::size_t /*elements*/) override { return enter(); }
  bool key(string_t& value) override { return string(value); }
  bool end_object() override { return leave(); }
  bool start_array(std::size_t /*elements*/) override { return enter(); }
  bool end_array() override { return leave(); }
  bool parse_error(std::size_t /*position*/, const std::string& /*last_token*/,
                   const json::exception& /*failure*/) override {
    return false;
  }

  [[nodiscard]] bool too_deep() const { return m_depth > k_max_json_depth; }
  [[nodiscard]] std::size_t containers_and_strings() const { return m_containers_and_strings; }

private:
  bool enter() {
    ++m_depth;
    ++m_containers_and_strings;
    return !too_deep();
  }
  bool leave() {
    --m_depth;
    return true;
  }

  int m_depth = 0;
  std::size_t m_containers_and_strings = 0;
};

}  // namespace

result<json> parse_json(std::string_view text, std::size_t max_containers_and_strings) {
  document_check check;
  if (!json::sax_parse(text, &check)) {
    return check.too_deep() ? too_deep_error("JSON")
                            : make_error(error_code::invalid_input, "malformed JSON");
  }
  if (check.containers_and_strings() > max_containers_and_strings) {
    return make_error(
        error_code::invalid_input,
        "JSON has more than " + std::to_string(max_containers_and_strings) + " containers and strings");
  }
  // A callback of the parser could check the same, but makes the library visit all elements of the parent at
  // the end of each object.
  return json::parse(text, nullptr, /*allow_exceptions=*/false);
}

result<json> parse_msgpack(std::string_view bytes) {
  // The parser recurses once per level, so the depth is checked before a document is built.
  document_check check;
  if (!json::sax_parse(bytes, &check, json::input_format_t::msgpack)) {
    return check.too_deep() ? too_deep_error("MessagePack")
                            : make_error(error_code::invalid_input, "malformed MessagePack");
  }
  return json::from_msgpack(bytes, /*strict=*/true, /*allow_exceptions=*/false);
}

}  // namespace cuminpath
