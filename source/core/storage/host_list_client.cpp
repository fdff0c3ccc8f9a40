#include "core/storage/host_list_client.h"

#include "core/storage/rest_responses.h"

namespace cuminpath::storage {
namespace {

std::string string_member(const json& value, const char* key) {
  const auto found = value.find(key);
  return found != value.end() && found->is_string() ? found->get<std::string>() : std::string();
}

// Returns no host if the name is missing or the role is unknown: one malformed host must not hide the others.
std::optional<host_entry> to_host(const json& value) {
  if (!value.is_object()) {
    return std::nullopt;
  }
  const auto role = string_member(value, "role");
  if (string_member(value, "name").empty() || (role != "entry" && role != "agent")) {
    return std::nullopt;
  }
  return host_entry{.name = string_member(value, "name"),
                    .role = role == "entry" ? host_role::entry : host_role::agent,
                    .availability_zone = string_member(value, "availability_zone"),
                    .region = string_member(value, "region"),
                    .address = string_member(value, "address"),
                    .peer_address = string_member(value, "peer_address"),
                    .admin_address = string_member(value, "admin_address"),
                    .leaving = string_member(value, "state") == "leaving"};
}

result<host_list> to_host_list(const http::client::call_result& response) {
  const auto body = to_json(response);
  if (!body) {
    return body.error();
  }
  const auto& value = body.value();
  if (!value.is_object() || !value.contains("hosts") || !value["hosts"].is_array() ||
      !value.contains("generation") || !value["generation"].is_number_unsigned()) {
    return make_error(error_code::internal, "malformed host list");
  }
  host_list list{value["generation"].get<std::uint64_t>(), {}};
  for (const auto& item : value["hosts"]) {
    if (auto host = to_host(item)) {
      list.hosts.push_back(std::move(*host));
    }
  }
  return list;
}

}  // namespace

host_list_client::host_list_client(http::client& client, std::string base_url, milliseconds timeout)
    : m_client(client), m_base_url(std::move(base_url)), m_timeout(timeout) {}

void host_list_client::fetch(std::function<void(result<host_list>)> done) {
  m_client.call(m_base_url, {.target = "/v1/hosts"}, {.timeout = m_timeout},
                [done = std::move(done)](const auto& response) { done(to_host_list(response)); });
}

}  // namespace cuminpath::storage
