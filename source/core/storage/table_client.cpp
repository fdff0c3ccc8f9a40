#include "core/storage/table_client.h"

#include "core/storage/rest_responses.h"

namespace cuminpath::storage {
namespace {

std::string rows_target(std::string_view table) {
  return "/v1/tables/" + encode_segment(table) + "/rows";
}

result<row> to_row(const json& value) {
  if (!value.is_object() || !value.contains("key") || !value["key"].is_string() ||
      !value.contains("version") || !value["version"].is_number_unsigned() || !value.contains("value")) {
    return make_error(error_code::internal, "malformed row");
  }
  return row{value["key"].get<std::string>(), value["version"].get<std::uint64_t>(), value["value"]};
}

result<std::optional<row>> to_optional_row(const http::client::call_result& response) {
  if (!response.failure && response.value.status == 404) {
    return std::optional<row>();
  }
  const auto body = to_json(response);
  if (!body) {
    return body.error();
  }
  auto value = to_row(body.value());
  if (!value) {
    return value.error();
  }
  return std::optional<row>(std::move(value.value()));
}

result<write_outcome> to_write_outcome(const http::client::call_result& response) {
  const bool conflict = !response.failure && response.value.status == 409;
  const auto body = conflict ? parse_json(response.value.body) : to_json(response);
  if (!body) {
    return conflict ? make_error(error_code::internal, "malformed response to a conflicting write")
                    : body.error();
  }
  const auto& value = body.value();
  if (!value.is_object() || !value.contains("version") || !value["version"].is_number_unsigned()) {
    return make_error(error_code::internal, "response to a write without a version");
  }
  return write_outcome{!conflict, value["version"].get<std::uint64_t>(),
                       conflict ? value.value("value", json()) : json()};
}

result<std::vector<row>> to_rows(const http::client::call_result& response) {
  const auto body = to_json(response);
  if (!body) {
    return body.error();
  }
  if (!body.value().is_object() || !body.value().contains("rows") || !body.value()["rows"].is_array()) {
    return make_error(error_code::internal, "malformed list of rows");
  }
  std::vector<row> rows;
  for (const auto& item : body.value()["rows"]) {
    auto value = to_row(item);
    if (!value) {
      return value.error();
    }
    rows.push_back(std::move(value.value()));
  }
  return rows;
}

}  // namespace

table_client::table_client(http::client& client, std::string base_url, milliseconds timeout)
    : m_client(client), m_base_url(std::move(base_url)), m_timeout(timeout) {}

void table_client::read(std::string_view table, std::string_view key,
                        std::function<void(result<std::optional<row>>)> done) {
  m_client.call(m_base_url, {.target = rows_target(table) + "/" + encode_segment(key)},
                {.timeout = m_timeout},
                [done = std::move(done)](const auto& response) { done(to_optional_row(response)); });
}

void table_client::write(std::string_view table, std::string_view key, json value, std::uint64_t if_version,
                         std::function<void(result<write_outcome>)> done) {
  const json body = {{"value", std::move(value)}, {"if_version", if_version}};
  // On a reused connection, libcurl could repeat a write that took effect, and the repeated write would
  // report that the condition failed.
  m_client.call(m_base_url,
                {.method = "PUT",
                 .target = rows_target(table) + "/" + encode_segment(key),
                 .headers = {{"Content-Type", "application/json"}},
                 .body = body.dump(-1, ' ', false, json::error_handler_t::replace)},
                {.timeout = m_timeout, .never_reuse_connection = true},
                [done = std::move(done)](const auto& response) { done(to_write_outcome(response)); });
}

void table_client::list(std::string_view table, std::string_view prefix, std::uint32_t limit,
                        std::function<void(result<std::vector<row>>)> done) {
  m_client.call(m_base_url,
                {.target = rows_target(table) + "?prefix=" + encode_segment(prefix) +
                           "&limit=" + std::to_string(limit)},
                {.timeout = m_timeout},
                [done = std::move(done)](const auto& response) { done(to_rows(response)); });
}

void table_client::remove(std::string_view table, std::string_view key,
                          std::function<void(result<void>)> done) {
  m_client.call(m_base_url, {.method = "DELETE", .target = rows_target(table) + "/" + encode_segment(key)},
                {.timeout = m_timeout}, [done = std::move(done)](const auto& response) {
                  const auto status = response.value.status;
                  if (!response.failure && ((status >= 200 && status < 300) || status == 404)) {
                    done(BOOST_OUTCOME_V2_NAMESPACE::success());
                  } else {
                    done(to_error(response));
                  }
                });
}

}  // namespace cuminpath::storage
