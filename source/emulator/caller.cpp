#include "emulator/caller.h"

#include <memory>

#include "emulator/batch.h"

namespace cuminpath::emulator {
namespace {

using outcome = call_outcome::kind;

// A call in progress. Checks the response as its parts arrive and classifies the outcome at the end.
class pending_call {
public:
  pending_call(request_description description, std::function<void(call_outcome)> done)
      : m_description(std::move(description)), m_done(std::move(done)), m_started(clock::now()) {}

  void on_head(int status, http::header_list headers) {
    m_outcome.status = status;
    m_outcome.headers = std::move(headers);
    m_outcome.first_ms = elapsed_ms();
  }

  void on_data(const std::string& data) {
    m_body += data;
    if (!is_event_stream()) {
      return;
    }
    for (auto end = m_body.find("\n\n"); end != std::string::npos; end = m_body.find("\n\n")) {
      on_event(std::string_view(m_body).substr(0, end));
      m_body.erase(0, end + 2);
    }
  }

  void on_end() {
    if (m_outcome.status != 200) {
      classify_refusal();
    } else if (is_event_stream()) {
      classify_stream();
    } else if (m_description.what == request_description::kind::service) {
      m_outcome.text = m_body;
      finish(outcome::complete, "");
    } else {
      classify_whole_response();
    }
  }

  void on_failure(const http::call_failure& failure) { finish(outcome::broken, failure.message); }

private:
  [[nodiscard]] double elapsed_ms() const {
    return std::chrono::duration<double, std::milli>(clock::now() - m_started).count();
  }

  [[nodiscard]] bool is_event_stream() const {
    const auto type = http::find_header(m_outcome.headers, "Content-Type");
    return m_outcome.status == 200 && type && type->starts_with("text/event-stream");
  }

  void on_event(std::string_view event) {
    const bool is_error = event.starts_with("event: error");
    const auto start = event.find("data: ");
    if (start == std::string_view::npos) {
      return;  // An SSE comment.
    }
    const auto data = event.substr(start + 6);
    if (data == "[DONE]") {
      m_done_events += 1;
      return;
    }
    const auto parsed = parse_json(data);
    if (!parsed) {
      m_protocol_error = "malformed event";
    } else if (is_error) {
      m_outcome.problem = parsed.value();
      m_error_event = true;
    } else {
      on_token(parsed.value());
    }
  }

  void on_token(const json& event) {
    try {
      const auto& choice = event.at("choices").at(0);
      const auto text = m_description.what == request_description::kind::chat_completion
                            ? choice.at("delta").value("content", std::string())
                            : choice.at("text").get<std::string>();
      if (event.contains("index") && event["index"] != m_outcome.tokens) {
        m_protocol_error =
            "index " + event["index"].dump() + " instead of " + std::to_string(m_outcome.tokens);
      }
      if (m_outcome.tokens == 0) {
        m_outcome.first_ms = elapsed_ms();
      }
      ++m_outcome.tokens;
      m_outcome.text += text;
    } catch (const json::exception& failure) {
      m_protocol_error = failure.what();
    }
  }

  void classify_refusal() {
    const auto parsed = parse_json(m_body);
    m_outcome.problem = parsed ? parsed.value() : json(m_body);
    const auto execution =
        m_outcome.problem.is_object() ? m_outcome.problem.value("execution", json()) : json();
    if (execution == "not_run") {
      finish(outcome::not_run, "");
    } else if (execution == "unknown") {
      finish(outcome::unknown, "");
    } else {
      finish(outcome::refused, "no statement on execution");
    }
  }

  void classify_stream() {
    if (!m_protocol_error.empty()) {
      finish(outcome::wrong, m_protocol_error);
    } else if (m_error_event) {
      finish(m_done_events == 0 ? outcome::failed : outcome::wrong, "error event");
    } else if (m_done_events != 1) {
      finish(outcome::wrong, std::to_string(m_done_events) + " final events");
    } else {
      compare_text();
    }
  }

  void classify_whole_response() {
    const auto parsed = parse_json(m_body);
    try {
      const auto body = parsed ? parsed.value() : json();
      const auto& choice = body.at("choices").at(0);
      m_outcome.text = m_description.what == request_description::kind::chat_completion
                           ? choice.at("message").at("content").get<std::string>()
                           : choice.at("text").get<std::string>();
      compare_text();
    } catch (const json::exception& failure) {
      finish(outcome::wrong, failure.what());
    }
  }

  void compare_text() {
    // An emulated engine concatenates the contents of chat messages and ends each one with a line feed.
    const bool chat = m_description.what == request_description::kind::chat_completion;
    const auto expected =
        text_before(chat ? m_description.prompt + "\n" : m_description.prompt, m_description.max_tokens);
    if (m_outcome.text == expected) {
      finish(outcome::complete, "");
    } else {
      finish(outcome::wrong, "another text than the one to this prompt: " + m_outcome.text);
    }
  }

  void finish(outcome what, std::string detail) {
    m_outcome.what = what;
    m_outcome.detail = std::move(detail);
    m_outcome.total_ms = elapsed_ms();
    m_done(std::move(m_outcome));
  }

  request_description m_description;
  std::function<void(call_outcome)> m_done;
  time_point m_started;
  call_outcome m_outcome;
  std::string m_body;  // For a stream, only the data after the last complete event.
  std::string m_protocol_error;
  bool m_error_event = false;
  std::uint32_t m_done_events = 0;
};

http::request to_request(const request_description& description) {
  http::request request;
  const auto add = [&request](const char* name, const std::string& value) {
    if (!value.empty()) {
      request.headers.emplace_back(name, value);
    }
  };
  add("Authorization", description.key.empty() ? "" : "Bearer " + description.key);
  add("Idempotency-Key", description.idempotency_key);
  add("X-Priority", description.priority_class);
  add("X-Request-Id", description.request_id);
  add("X-Request-Timeout-Ms", description.deadline_ms == 0 ? "" : std::to_string(description.deadline_ms));
  if (description.what == request_description::kind::service) {
    request.method = description.method;
    request.target = description.path;
    request.body = description.body;
    add("Content-Type", description.body.empty() ? "" : "application/json");
    return request;
  }
  request.method = "POST";
  json body = {
      {"model", description.model}, {"max_tokens", description.max_tokens}, {"stream", description.stream}};
  if (description.what == request_description::kind::chat_completion) {
    request.target = "/v1/chat/completions";
    body["messages"] = {{{"role", "user"}, {"content", description.prompt}}};
  } else {
    request.target = "/v1/completions";
    body["prompt"] = description.prompt;
  }
  add("Content-Type", "application/json");
  request.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
  return request;
}

}  // namespace

const char* to_string(call_outcome::kind value) {
  switch (value) {
    case outcome::complete:
      return "complete";
    case outcome::not_run:
      return "not_run";
    case outcome::unknown:
      return "unknown";
    case outcome::refused:
      return "refused";
    case outcome::failed:
      return "failed";
    case outcome::broken:
      return "broken";
    case outcome::wrong:
      return "wrong";
  }
  return "";
}

http::call_id send_call(http::client& client, const request_description& description,
                        std::function<void(call_outcome)> done) {
  const auto call = std::make_shared<pending_call>(description, std::move(done));
  // libcurl retries a request by itself if a reused connection fails. Such a retry would distort the count of
  // runs of each request.
  return client.stream(
      description.url, to_request(description),
      {.timeout = description.timeout, .never_reuse_connection = true},
      {.head = [call](int status, http::header_list headers) { call->on_head(status, std::move(headers)); },
       .data = [call](const std::string& data) { call->on_data(data); },
       .end = [call] { call->on_end(); },
       .failure = [call](const http::call_failure& failure) { call->on_failure(failure); }});
}

}  // namespace cuminpath::emulator
