#include "emulator/table_role.h"

#include <algorithm>

namespace cuminpath::emulator {
namespace {

constexpr std::uint64_t k_default_limit = 1000;

json to_json(const std::string& key, std::uint64_t version, const json& value) {
  return {{"key", key}, {"version", version}, {"value", value}};
}

}  // namespace

void table_role::handle(const http::request& request, const responder_ptr& to) {
  const auto segments = path_segments(request.path());
  if (segments.size() < 4 || segments.size() > 5 || segments[0] != "v1" || segments[1] != "tables" ||
      segments[3] != "rows") {
    respond_not_found(to);
    return;
  }
  auto& rows = m_tables[segments[2]];
  if (segments.size() == 4 && request.method == "GET") {
    list(rows, request.query(), to);
  } else if (segments.size() == 5 && request.method == "GET") {
    read(rows, segments[4], to);
  } else if (segments.size() == 5 && request.method == "PUT") {
    write(rows, segments[4], request, to);
  } else if (segments.size() == 5 && request.method == "DELETE") {
    ++m_deletes;
    rows.erase(segments[4]);
    respond_json(to, 200, json::object());
  } else {
    respond_json(to, 405, {{"error", "method not allowed"}});
  }
}

void table_role::read(const table& rows, const std::string& key, const responder_ptr& to) {
  ++m_reads;
  const auto found = rows.find(key);
  if (found == rows.end()) {
    respond_not_found(to);
  } else {
    respond_json(to, 200, to_json(key, found->second.version, found->second.value));
  }
}

void table_role::write(table& rows, const std::string& key, const http::request& request,
                       const responder_ptr& to) {
  const auto body = parse_json(request.body);
  if (!body || !body.value().is_object() || !body.value().contains("value")) {
    respond_json(to, 400, {{"error", "no value"}});
    return;
  }
  const auto condition = body.value().find("if_version");
  const bool conditional = condition != body.value().end();
  if (conditional && !condition->is_number_unsigned()) {
    respond_json(to, 400, {{"error", "if_version is not a number"}});
    return;
  }
  const auto found = rows.find(key);
  const auto current = found == rows.end() ? 0 : found->second.version;
  if (conditional && condition->get<std::uint64_t>() != current) {
    ++m_conflicts;
    respond_json(to, 409,
                 {{"version", current}, {"value", found == rows.end() ? json() : found->second.value}});
    return;
  }
  ++m_writes;
  rows[key] = {++m_last_version, body.value()["value"]};
  respond_json(to, 200, {{"version", m_last_version}});
}

void table_role::list(const table& rows, std::string_view query, const responder_ptr& to) {
  ++m_reads;
  const auto prefix = query_value(query, "prefix");
  const auto after = query_value(query, "after");
  auto limit = to_number(query_value(query, "limit"));
  limit = limit == 0 ? k_default_limit : std::min(limit, k_default_limit);
  auto found = json::array();
  auto position = after >= prefix && !after.empty() ? rows.upper_bound(after) : rows.lower_bound(prefix);
  for (; position != rows.end() && found.size() < limit && position->first.starts_with(prefix); ++position) {
    found.push_back(to_json(position->first, position->second.version, position->second.value));
  }
  respond_json(to, 200, {{"rows", found}});
}

json table_role::stats() const {
  json rows = json::object();
  for (const auto& [name, content] : m_tables) {
    rows[name] = content.size();
  }
  return {{"reads", m_reads},
          {"writes", m_writes},
          {"conflicts", m_conflicts},
          {"deletes", m_deletes},
          {"rows", std::move(rows)}};
}

std::optional<std::string> table_role::control(const json& settings) {
  return settings.empty() ? std::nullopt : std::optional<std::string>("unknown key");
}

}  // namespace cuminpath::emulator
