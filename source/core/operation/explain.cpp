#include "core/operation/explain.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>

#include "core/operation/fleet.h"
#include "core/proxy/explain_headers.h"

namespace cuminpath::operation {
namespace {

constexpr std::size_t k_max_requests_in_flight = 64;
constexpr milliseconds k_request_timeout{3000};
constexpr std::size_t k_max_response_bytes = 16U << 20U;

struct fact {
  std::string name;
  std::string cell;
  std::string compared;  // Between gateways: the cell, or the part of it that does not change all the time.
};

// Facts of one gateway in the order of their rows.
class fact_list {
public:
  void add(std::string name, const std::string& cell) { m_facts.push_back({std::move(name), cell, cell}); }
  void add(std::string name, std::string cell, std::string compared) {
    m_facts.push_back({std::move(name), std::move(cell), std::move(compared)});
  }
  [[nodiscard]] const std::vector<fact>& all() const { return m_facts; }

private:
  std::vector<fact> m_facts;
};

json member(const json& value, const char* key) {
  return value.is_object() ? value.value(key, json()) : json();
}

std::string to_cell(const json& value) {
  if (value.is_null()) {
    return "-";
  }
  if (value.is_string()) {
    return value.get<std::string>();
  }
  return value.is_number_float() ? fmt::format("{:.2f}", value.get<double>())
                                 : value.dump(-1, ' ', false, json::error_handler_t::replace);
}

void add_outcome(fact_list& facts, const std::string& prefix, const json& value) {
  if (const json outcome = member(value, "outcome"); !outcome.is_null()) {
    const json status = member(value, "status");
    facts.add(prefix + "outcome", to_cell(outcome) + (status.is_null() ? "" : " " + to_cell(status)));
  }
  for (const char* key : {"reason", "quarantined_part"}) {
    if (const json detail = member(value, key); !detail.is_null()) {
      facts.add(prefix + key, to_cell(detail));
    }
  }
  if (const json wait = member(value, "retry_after_ms"); wait.is_object()) {
    facts.add(prefix + "retry after",
              fmt::format("{} to {} ms", to_cell(member(wait, "min")), to_cell(member(wait, "max"))));
  }
}

void add_upstream(fact_list& facts, const std::string& prefix, const json& upstream) {
  const json excluded = member(upstream, "excluded");
  const std::string state = !excluded.is_null()                       ? to_cell(excluded)
                            : member(upstream, "trial") == json(true) ? "eligible, trial"
                                                                      : "eligible";
  // Reports of other gateways are some 100 ms old, so the numbers differ under any load.
  facts.add(prefix + to_cell(member(upstream, "id")),
            fmt::format("{}, {}+{} of {} in {}{}", state, to_cell(member(upstream, "local_requests")),
                        to_cell(member(upstream, "requests_of_other_gateways")),
                        to_cell(member(upstream, "slots")), to_cell(member(upstream, "availability_zone")),
                        member(upstream, "other_zone") == json(true) ? " (other zone)" : ""),
            state);
}

void add_service(fact_list& facts, const json& service) {
  const std::string prefix = to_cell(member(service, "service")) + ": ";
  facts.add(prefix + "probability", to_cell(member(service, "probability")));
  add_outcome(facts, prefix, service);
  facts.add(prefix + "requests", fmt::format("{} of {}", to_cell(member(service, "outstanding")),
                                             to_cell(member(service, "slots"))));
  const json limits = member(service, "limits");
  for (const auto& [key, value] : limits.items()) {
    facts.add(prefix + key, to_cell(value));
  }
  const json counts = member(service, "counts");
  for (const auto& [key, value] : counts.items()) {
    facts.add(prefix + key + " upstreams", to_cell(value));
  }
  const json upstreams = member(service, "upstreams");
  for (const json& upstream : upstreams) {
    add_upstream(facts, prefix, upstream);
  }
  if (const json rest = member(service, "upstreams_not_listed"); rest != json(0)) {
    facts.add(prefix + "upstreams not listed", to_cell(rest));
  }
}

fact_list to_facts(const json& page) {
  fact_list facts;
  for (const char* key : {"gateway", "availability_zone"}) {
    facts.add(key, to_cell(member(page, key)), "");  // They differ in any case.
  }
  for (const char* key : {"stopping", "configuration_version"}) {
    facts.add(key, to_cell(member(page, key)));
  }
  facts.add("route", to_cell(member(member(page, "route"), "name")));
  for (const char* key : {"workspace", "rank", "time_left_ms", "is_retry"}) {
    facts.add(key, to_cell(member(page, key)));
  }
  add_outcome(facts, "", page);
  const json services = member(page, "services");
  for (const json& service : services) {
    add_service(facts, service);
  }
  return facts;
}

bool has_control_characters(const std::string& text) {
  return std::any_of(text.begin(), text.end(),
                     [](char each) { return static_cast<unsigned char>(each) < ' ' || each == '\x7f'; });
}

// Errors: invalid_input for a missing value, or one that cannot be a part of a header.
result<http::request> make_page_request(const explain_arguments& arguments) {
  if (arguments.gateways.empty() || arguments.host.empty() || !arguments.path.starts_with('/')) {
    return make_error(error_code::invalid_input,
                      "explain needs --at, --host and a --path that begins with /");
  }
  if (!arguments.workspace.empty() && !arguments.api_key.empty()) {
    return make_error(error_code::invalid_input, "either --workspace or --key-file can be given");
  }
  http::request request{.target = std::string(proxy::k_explain_path)};
  const auto add = [&request](std::string_view name, const std::string& value) {
    if (!value.empty()) {
      request.headers.emplace_back(name, value);
    }
  };
  add(proxy::k_explain_method_header, arguments.method);
  add(proxy::k_explain_host_header, arguments.host);
  add(proxy::k_explain_target_header, arguments.path);
  add(proxy::k_explain_workspace_header, arguments.workspace);
  add(proxy::k_explain_key_header, arguments.api_key);
  for (const std::string& header : arguments.headers) {
    const std::size_t colon = header.find(':');
    if (colon == 0 || colon == std::string::npos || header.find(' ') < colon) {
      return make_error(error_code::invalid_input, "a --header is not of the form 'NAME: VALUE'");
    }
    const std::size_t value = header.find_first_not_of(' ', colon + 1);
    add(std::string(proxy::k_explain_header_prefix) + header.substr(0, colon),
        value == std::string::npos ? "" : header.substr(value));
  }
  for (const auto& [name, value] : request.headers) {
    if (has_control_characters(name) || has_control_characters(value)) {
      return make_error(error_code::invalid_input, "a value has control characters");
    }
  }
  return request;
}

}  // namespace

std::string explanation_table(const std::vector<gateway_explanation>& explanations) {
  std::vector<std::string> names;  // Of the rows.
  std::map<std::string, std::vector<std::string>> rows;
  std::map<std::string, std::vector<std::string>> compared;
  std::size_t columns = 0;
  std::vector<std::string> addresses;
  for (const gateway_explanation& each : explanations) {
    if (!each.page) {
      continue;
    }
    addresses.push_back(each.address);
    std::size_t place = 0;  // Where the next new row belongs.
    const fact_list facts = to_facts(each.page.value());
    for (const auto& [name, cell, value] : facts.all()) {
      const auto found = std::find(names.begin(), names.end(), name);
      if (found == names.end()) {
        names.insert(names.begin() + static_cast<std::ptrdiff_t>(place), name);
      } else {
        place = static_cast<std::size_t>(found - names.begin());
      }
      ++place;
      auto& cells = rows[name];
      cells.resize(columns, "-");
      cells.push_back(cell);
      auto& values = compared[name];
      values.resize(columns, "-");
      values.push_back(value);
    }
    ++columns;
  }
  std::vector<std::size_t> widths(columns + 1, 0);
  for (std::size_t i = 0; i < columns; ++i) {
    widths[i] = addresses[i].size();
  }
  std::size_t name_width = 0;
  for (auto& [name, cells] : rows) {
    cells.resize(columns, "-");
    compared[name].resize(columns, "-");
    name_width = std::max(name_width, name.size());
    for (std::size_t i = 0; i < columns; ++i) {
      widths[i] = std::max(widths[i], cells[i].size());
    }
  }
  const auto line = [&](char mark, const std::string& name, const std::vector<std::string>& cells) {
    std::string text = fmt::format("{} {:<{}}", mark, name, name_width);
    for (std::size_t i = 0; i < columns; ++i) {
      text += fmt::format("  {:<{}}", cells[i], widths[i]);
    }
    text.resize(text.find_last_not_of(' ') + 1);
    return text + "\n";
  };
  std::string text = columns == 0 ? "" : line(' ', "", addresses);
  for (const std::string& name : names) {
    const auto& values = compared[name];
    const bool differs =
        std::adjacent_find(values.begin(), values.end(), std::not_equal_to<>()) != values.end();
    text += line(differs ? '*' : ' ', name, rows[name]);
  }
  return text;
}

exit_code explain(platform_session& session, const explain_arguments& arguments, bool as_json,
                  std::ostream& out, std::ostream& err) {
  const auto request = make_page_request(arguments);
  if (!request) {
    err << "cuminpath: " << request.error().message << "\n";
    return exit_code::usage;
  }
  std::vector<gateway_explanation> explanations;
  for (const std::string& address : arguments.gateways) {
    explanations.push_back({address});
  }
  session.wait_for_all(explanations.size(), k_max_requests_in_flight, [&](std::size_t i, auto done) {
    session.client().call("http://" + explanations[i].address, request.value(),
                          {.timeout = k_request_timeout, .max_response_bytes = k_max_response_bytes},
                          [&explanations, i, done](const auto& response) {
                            explanations[i].page = to_result(response);
                            done();
                          });
  });
  exit_code code = exit_code::success;
  json document{{"gateways", json::array()}};
  for (const gateway_explanation& each : explanations) {
    if (each.page) {
      document["gateways"].push_back({{"address", each.address}, {"explanation", each.page.value()}});
      continue;
    }
    const error& cause = each.page.error();
    const bool silent = cause.code == error_code::unreachable || cause.code == error_code::timed_out;
    code = silent || code == exit_code::unreachable ? exit_code::unreachable : exit_code::failure;
    document["gateways"].push_back({{"address", each.address}, {"error", cause.message}});
    err << "cuminpath: " << each.address << ": " << cause.message << "\n";
  }
  out << (as_json ? document.dump(2, ' ', false, json::error_handler_t::replace) + "\n"
                  : explanation_table(explanations));
  return code;
}

}  // namespace cuminpath::operation
