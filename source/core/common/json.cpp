#include "core/common/json.h"

#include <string>

namespace cuminpath {
namespace {

// Follows the events of a document and stops the parser when it is malformed or too deep.
class depth_check : public nlohmann::json_sax<json> {
public:
  [[nodiscard]] bool too_deep() const { return m_depth > k_max_json_depth; }

  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool key(string_t&) override { return true; }
  bool start_object(std::size_t) override { return enter(); }
  bool end_object() override { return leave(); }
  bool start_array(std::size_t) override { return enter(); }
  bool end_array() override { return leave(); }
  bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override {
    return false;
  }

private:
  bool enter() { return ++m_depth <= k_max_json_depth; }
  bool leave() {
    --m_depth;
    return true;
  }

  int m_depth = 0;
};

error too_deep_error() {
  return make_error(error_code::invalid_input,
                    "nested deeper than " + std::to_string(k_max_json_depth) + " levels");
}

}  // namespace

result<json> parse_json(std::string_view text) {
  bool too_deep = false;
  const auto limit_depth = [&too_deep](int depth, json::parse_event_t, json&) {
    too_deep = too_deep || depth > k_max_json_depth;
    return !too_deep;
  };
  json document = json::parse(text, limit_depth, /*allow_exceptions=*/false);
  if (too_deep) {
    return too_deep_error();
  }
  if (document.is_discarded()) {
    return make_error(error_code::invalid_input, "malformed JSON");
  }
  return document;
}

result<json> parse_msgpack(std::string_view bytes) {
  depth_check check;
  if (!json::sax_parse(bytes, &check, json::input_format_t::msgpack)) {
    return check.too_deep() ? too_deep_error()
                            : make_error(error_code::invalid_input, "malformed MessagePack");
  }
  return json::from_msgpack(bytes, true, false);
}

}  // namespace cuminpath
