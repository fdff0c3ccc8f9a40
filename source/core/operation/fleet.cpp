#include "core/operation/fleet.h"

#include <optional>

namespace cuminpath::operation {
namespace {

constexpr std::size_t k_max_requests_in_flight = 64;
constexpr milliseconds k_request_timeout{3000};

http::call_options request_options() {
  return {.timeout = k_request_timeout, .max_response_bytes = 16U << 20U};
}

std::string get_string(const json& value, const char* key) {
  const auto found = value.is_object() ? value.find(key) : value.end();
  return value.is_object() && found != value.end() && found->is_string() ? found->get<std::string>() : "";
}

std::vector<telemetry::event> to_events(const json& body) {
  std::vector<telemetry::event> events;
  const json list = body.is_object() ? body.value("events", json()) : json();
  for (const json& item : list.is_array() ? list : json::array()) {
    const json time = item.is_object() ? item.value("time", json()) : json();
    if (time.is_number_unsigned()) {
      events.push_back({time.get<std::uint64_t>(), get_string(item, "process"), get_string(item, "kind"),
                        get_string(item, "detail")});
    }
  }
  return events;
}

}  // namespace

result<json> to_result(const http::client::call_result& response) {
  if (response.failure) {
    return make_error(response.failure->code, response.failure->message);
  }
  const int status = response.value.status;
  auto body = parse_json(response.value.body);
  if (status >= 200 && status < 300) {
    return body;
  }
  std::string message = "status " + std::to_string(status);
  if (body) {
    const std::string detail = get_string(body.value(), "detail");
    message += detail.empty() ? "" : ": " + detail;
  }
  constexpr int k_conflict = 409;
  return make_error(status == k_conflict ? error_code::conflict : error_code::refused, std::move(message));
}

std::vector<host_response> query_all(platform_session& session, const std::vector<storage::host_entry>& hosts,
                                     const std::string& path) {
  std::vector<host_response> responses;
  responses.reserve(hosts.size());
  for (const storage::host_entry& host : hosts) {
    responses.push_back({host});
  }
  session.wait_for_all(hosts.size(), k_max_requests_in_flight, [&](std::size_t i, auto done) {
    session.client().call("http://" + hosts[i].admin_address, {.target = path}, request_options(),
                          [&responses, i, done](const auto& response) {
                            responses[i].body = to_result(response);
                            done();
                          });
  });
  return responses;
}

std::vector<telemetry::event> merge_timelines(const std::vector<host_response>& responses) {
  std::vector<std::vector<telemetry::event>> timelines;
  for (const host_response& response : responses) {
    if (response.body) {
      timelines.push_back(to_events(response.body.value()));
    }
  }
  return telemetry::merge(timelines);
}

result<json> send_request(platform_session& session, const storage::host_entry& host,
                          const std::string& method, const std::string& path,
                          const std::string& operator_key) {
  http::request request{.method = method, .target = path};
  if (method != "GET") {
    request.headers = {{"Authorization", "Bearer " + operator_key}, {"Content-Type", "application/json"}};
  }
  return session.wait<json>([&](std::function<void(result<json>)> done) {
    session.client().call("http://" + host.admin_address, request, request_options(),
                          [done = std::move(done)](const auto& response) { done(to_result(response)); });
  });
}

}  // namespace cuminpath::operation
