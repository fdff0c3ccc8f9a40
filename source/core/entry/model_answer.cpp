#include "core/entry/model_answer.h"

#include <utility>

#include "core/common/json.h"

namespace cuminpath::entry {
namespace {

std::string string_at(const json& object, const char* key) {
  const auto found = object.find(key);
  return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

}  // namespace

result<token_event> parse_token_event(std::string_view line) {
  auto parsed = parse_json(line);
  if (!parsed) {
    return make_error(error_code::invalid_input, parsed.error().message);
  }
  const json& document = parsed.value();
  const auto choices = document.is_object() ? document.find("choices") : document.end();
  if (!document.is_object() || choices == document.end() || !choices->is_array() || choices->empty() ||
      !choices->front().is_object()) {
    return make_error(error_code::invalid_input, "token event without choices");
  }
  const json& choice = choices->front();
  token_event event;
  event.id = string_at(document, "id");
  event.finish_reason = string_at(choice, "finish_reason");
  const auto delta = choice.find("delta");
  if (delta != choice.end() && delta->is_object()) {
    event.text = string_at(*delta, "content");
  } else if (delta != choice.end() && delta->is_string()) {
    event.text = delta->get<std::string>();
  } else {
    event.text = string_at(choice, "text");
  }
  return event;
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
