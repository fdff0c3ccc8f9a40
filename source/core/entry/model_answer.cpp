#include "core/entry/model_answer.h"

#include <array>
#include <utility>

#include "core/common/json.h"

namespace cuminpath::entry {
namespace {

// Extracts the fields of a token event while it is parsed. Entries parse every token of every stream, and
// building a JSON document for each of them cost several times as much.
class event_reader {
public:
  using number_integer_t = json::number_integer_t;
  using number_unsigned_t = json::number_unsigned_t;
  using number_float_t = json::number_float_t;
  using string_t = json::string_t;
  using binary_t = json::binary_t;

  [[nodiscard]] bool has_choice() const { return m_has_choice; }

  token_event take() {
    // A delta takes precedence over a text field, even if it has no content.
    m_event.text = m_has_delta ? std::move(m_delta) : std::move(m_text);
    return std::move(m_event);
  }

  // Interface of nlohmann::json::sax_parse(). Returning false stops the parser.
  bool null() { return end_value(); }
  bool boolean(bool) { return end_value(); }
  bool number_integer(number_integer_t) { return end_value(); }
  bool number_unsigned(number_unsigned_t) { return end_value(); }
  bool number_float(number_float_t, const string_t&) { return end_value(); }
  bool binary(binary_t&) { return end_value(); }
  bool string(string_t& value) {
    if (std::string* value_of_field = value_of(m_field)) {
      *value_of_field = std::move(value);
    }
    m_has_delta = m_has_delta || m_field == field::delta;
    return end_value();
  }
  bool key(string_t& name) {
    m_field = field_of(m_scopes[m_depth], name);
    return true;
  }
  bool start_object(std::size_t) { return enter(object_scope()); }
  bool start_array(std::size_t) { return enter(m_field == field::choices ? scope::choices : scope::other); }
  bool end_object() { return leave(); }
  bool end_array() { return leave(); }
  bool parse_error(std::size_t, const std::string&, const json::exception&) { return false; }

private:
  enum class scope : std::uint8_t { outside, other, root, choices, choice, delta };
  enum class field : std::uint8_t { other, id, choices, finish_reason, text, delta, content };

  static field field_of(scope current, std::string_view name) {
    if (current == scope::root) {
      return name == "choices" ? field::choices : name == "id" ? field::id : field::other;
    }
    if (current == scope::choice) {
      return name == "text"            ? field::text
             : name == "delta"         ? field::delta
             : name == "finish_reason" ? field::finish_reason
                                       : field::other;
    }
    return current == scope::delta && name == "content" ? field::content : field::other;
  }

  std::string* value_of(field name) {
    switch (name) {
      case field::id:
        return &m_event.id;
      case field::finish_reason:
        return &m_event.finish_reason;
      case field::text:
        return &m_text;
      case field::delta:
      case field::content:
        return &m_delta;
      case field::choices:
      case field::other:
        return nullptr;
    }
    return nullptr;
  }

  [[nodiscard]] scope object_scope() {
    const scope current = m_scopes[m_depth];
    if (current == scope::outside) {
      return scope::root;
    }
    if (current == scope::choices && m_choice_count == 0) {
      m_has_choice = true;
      return scope::choice;
    }
    if (m_field == field::delta) {
      m_has_delta = true;
      return scope::delta;
    }
    return scope::other;
  }

  // Completes a value that is ignored or has already been stored.
  bool end_value() {
    count_choice();
    m_field = field::other;
    return true;
  }

  bool enter(scope inner) {
    count_choice();
    m_field = field::other;
    if (m_depth + 1 == m_scopes.size()) {
      return false;
    }
    m_scopes[++m_depth] = inner;
    return true;
  }

  bool leave() {
    --m_depth;
    m_field = field::other;
    return true;
  }

  void count_choice() { m_choice_count += m_scopes[m_depth] == scope::choices ? 1 : 0; }

  token_event m_event;
  std::string m_text;
  std::string m_delta;
  bool m_has_delta = false;
  bool m_has_choice = false;
  // Elements of the list of choices so far. Only the first one is read.
  std::uint32_t m_choice_count = 0;
  field m_field = field::other;
  std::size_t m_depth = 0;
  // The scope at each depth; the first one is outside of the document.
  std::array<scope, k_max_json_depth + 2> m_scopes{};
};

}  // namespace

result<token_event> parse_token_event(std::string_view line) {
  event_reader reader;
  if (!json::sax_parse(line, &reader)) {
    return make_error(error_code::invalid_input, "malformed token event");
  }
  if (!reader.has_choice()) {
    return make_error(error_code::invalid_input, "token event without choices");
  }
  return reader.take();
}

void model_answer::append(token_event event) {
  if (id.empty()) {
    id = std::move(event.id);
  }
  text += event.text;
  if (!event.finish_reason.empty()) {
    finish_reason = std::move(event.finish_reason);
  }
  ++next_index;
}

std::string assemble_response_body(const model_answer& answer, wire::request_kind kind,
                                   std::string_view model) {
  const bool chat = kind == wire::request_kind::chat_completion;
  json choice = {{"index", 0},
                 {"finish_reason", answer.finish_reason.empty() ? "stop" : answer.finish_reason}};
  if (chat) {
    choice["message"] = {{"role", "assistant"}, {"content", answer.text}};
  } else {
    choice["text"] = answer.text;
  }
  const json document = {{"id", answer.id},
                         {"object", chat ? "chat.completion" : "text_completion"},
                         {"model", model},
                         {"choices", json::array({std::move(choice)})},
                         {"usage", {{"completion_tokens", answer.next_index}}}};
  return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace cuminpath::entry
