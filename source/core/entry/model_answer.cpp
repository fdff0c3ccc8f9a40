#include "core/entry/model_answer.h"

#include <array>
#include <utility>

#include "core/common/json.h"

namespace cuminpath::entry {
namespace {

// Collects the fields of a token event while the text is read. Entries read every token of every stream, and
// building a document for each of them cost several times as much.
class event_reader {
public:
  using number_integer_t = json::number_integer_t;
  using number_unsigned_t = json::number_unsigned_t;
  using number_float_t = json::number_float_t;
  using string_t = json::string_t;
  using binary_t = json::binary_t;

  [[nodiscard]] bool has_choice() const { return m_has_choice; }

  token_event take() {
    // A delta outranks a text, also one without content.
    m_event.text = m_has_delta ? std::move(m_delta) : std::move(m_text);
    return std::move(m_event);
  }

  // Interface of nlohmann::json::sax_parse(). False ends the reading.
  bool null() { return scalar(); }
  bool boolean(bool) { return scalar(); }
  bool number_integer(number_integer_t) { return scalar(); }
  bool number_unsigned(number_unsigned_t) { return scalar(); }
  bool number_float(number_float_t, const string_t&) { return scalar(); }
  bool binary(binary_t&) { return scalar(); }
  bool string(string_t& value) {
    if (std::string* target = target_of(m_key)) {
      *target = std::move(value);
    }
    m_has_delta = m_has_delta || m_key == member::delta;
    return scalar();
  }
  bool key(string_t& name) {
    m_key = member_of(m_places[m_depth], name);
    return true;
  }
  bool start_object(std::size_t) { return open(object_place()); }
  bool start_array(std::size_t) { return open(m_key == member::choices ? place::choices : place::other); }
  bool end_object() { return close(); }
  bool end_array() { return close(); }
  bool parse_error(std::size_t, const std::string&, const json::exception&) { return false; }

private:
  enum class place : std::uint8_t { outside, other, root, choices, choice, delta };
  enum class member : std::uint8_t { other, id, choices, finish_reason, text, delta, content };

  static member member_of(place where, std::string_view name) {
    if (where == place::root) {
      return name == "choices" ? member::choices : name == "id" ? member::id : member::other;
    }
    if (where == place::choice) {
      return name == "text"            ? member::text
             : name == "delta"         ? member::delta
             : name == "finish_reason" ? member::finish_reason
                                       : member::other;
    }
    return where == place::delta && name == "content" ? member::content : member::other;
  }

  std::string* target_of(member which) {
    switch (which) {
      case member::id:
        return &m_event.id;
      case member::finish_reason:
        return &m_event.finish_reason;
      case member::text:
        return &m_text;
      case member::delta:
      case member::content:
        return &m_delta;
      case member::choices:
      case member::other:
        return nullptr;
    }
    return nullptr;
  }

  [[nodiscard]] place object_place() {
    const place where = m_places[m_depth];
    if (where == place::outside) {
      return place::root;
    }
    if (where == place::choices && m_elements == 0) {
      m_has_choice = true;
      return place::choice;
    }
    if (m_key == member::delta) {
      m_has_delta = true;
      return place::delta;
    }
    return place::other;
  }

  // A value of no interest, or one that has been taken.
  bool scalar() {
    count_element();
    m_key = member::other;
    return true;
  }

  bool open(place inside) {
    count_element();
    m_key = member::other;
    if (m_depth + 1 == m_places.size()) {
      return false;
    }
    m_places[++m_depth] = inside;
    return true;
  }

  bool close() {
    --m_depth;
    m_key = member::other;
    return true;
  }

  void count_element() { m_elements += m_places[m_depth] == place::choices ? 1 : 0; }

  token_event m_event;
  std::string m_text;
  std::string m_delta;
  bool m_has_delta = false;
  bool m_has_choice = false;
  std::uint32_t m_elements = 0;  // Of the list of choices; only the first one counts.
  member m_key = member::other;
  std::size_t m_depth = 0;
  std::array<place, k_max_json_depth + 2> m_places{};  // By depth; the first is outside of the document.
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

std::string assemble(const model_answer& answer, wire::request_kind kind, std::string_view model) {
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
