#include "core/operation/fleet.h"

#include <optional>

namespace cuminpath::operation {
namespace {

constexpr std::size_t k_requests_in_flight = 64;
constexpr milliseconds k_timeout{3000};

http::call_options options() {
  return {.timeout = k_timeout, .max_response_bytes = 16U << 20U};
}

std::string text_of(const json& value, const char* key) {
  const auto found = value.is_object() ? value.find(key) : value.end();
  return value.is_object() && found != value.end() && found->is_string() ? found->get<std::string>() : "";
}

result<json> to_result(const http::client::call_result& answer) {
  if (answer.failure) {
    return make_error(answer.failure->code, answer.failure->message);
  }
  const int status = answer.value.status;
  auto body = parse_json(answer.value.body);
  if (status >= 200 && status < 300) {
    return body;
  }
  std::string message = "status " + std::to_string(status);
  if (body) {
    const std::string detail = text_of(body.value(), "detail");
    message += detail.empty() ? "" : ": " + detail;
  }
  constexpr int k_conflict = 409;
  return make_error(status == k_conflict ? error_code::conflict : error_code::refused, std::move(message));
}

std::vector<telemetry::event> to_events(const json& body) {
  std::vector<telemetry::event> events;
  const json list = body.is_object() ? body.value("events", json()) : json();
  for (const json& item : list.is_array() ? list : json::array()) {
    const json time = item.is_object() ? item.value("time", json()) : json();
    if (time.is_number_unsigned()) {
      events.push_back({time.get<std::uint64_t>(), text_of(item, "process"), text_of(item, "kind"),
                        text_of(item, "detail")});
    }
  }
  return events;
}

}  // namespace

std::vector<host_answer> ask_all(session& on, const std::vector<storage::host_entry>& hosts,
                                 const std::string& path) {
  std::vector<host_answer> answers;
  answers.reserve(hosts.size());
  for (const storage::host_entry& host : hosts) {
    answers.push_back({host});
  }
  on.wait_for_all(hosts.size(), k_requests_in_flight, [&](std::size_t i, auto done) {
    on.client().call("http://" + hosts[i].admin_address, {.target = path}, options(),
                     [&answers, i, done](const auto& answer) {
                       answers[i].body = to_result(answer);
                       done();
                     });
  });
  return answers;
}

std::vector<telemetry::event> merge_timelines(const std::vector<host_answer>& answers) {
  std::vector<std::vector<telemetry::event>> rings;
  for (const host_answer& answer : answers) {
    if (answer.body) {
      rings.push_back(to_events(answer.body.value()));
    }
  }
  return telemetry::merge(rings);
}

result<json> ask(session& on, const storage::host_entry& host, const std::string& method,
                 const std::string& path, const std::string& operator_key) {
  http::request request{.method = method, .target = path};
  if (method != "GET") {
    request.headers = {{"Authorization", "Bearer " + operator_key}, {"Content-Type", "application/json"}};
  }
  return on.wait<json>([&](std::function<void(result<json>)> done) {
    on.client().call("http://" + host.admin_address, request, options(),
                     [done = std::move(done)](const auto& answer) { done(to_result(answer)); });
  });
}

}  // namespace cuminpath::operation
