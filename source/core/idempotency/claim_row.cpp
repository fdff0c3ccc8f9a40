#include "core/idempotency/claim_row.h"

#include "core/common/hash.h"

namespace cuminpath::idempotency {
namespace {

const char* state_name(claim_state state) {
  switch (state) {
    case claim_state::claimed:
      return "claimed";
    case claim_state::released:
      return "released";
    case claim_state::finished:
      return "finished";
  }
  return "claimed";
}

// Whether a body is valid UTF-8, which JSON text requires. Other bodies are stored as hexadecimal digits.
bool is_utf8(const std::string& text) {
  try {
    (void)json(text).dump();
    return true;
  } catch (const json::exception&) {
    return false;
  }
}

std::string to_hex(std::string_view bytes) {
  constexpr std::string_view k_digits = "0123456789abcdef";
  std::string text;
  text.reserve(bytes.size() * 2);
  for (const char c : bytes) {
    const auto byte = static_cast<unsigned char>(c);
    text.push_back(k_digits[byte >> 4U]);
    text.push_back(k_digits[byte & 15U]);
  }
  return text;
}

std::string from_hex(std::string_view text) {
  const auto digit = [](char c) { return static_cast<unsigned>(c <= '9' ? c - '0' : c - 'a' + 10) & 15U; };
  std::string bytes;
  for (std::size_t i = 0; i + 1 < text.size(); i += 2) {
    bytes.push_back(static_cast<char>(digit(text[i]) << 4U | digit(text[i + 1])));
  }
  return bytes;
}

}  // namespace

json to_json(const claim_row& row) {
  json value = {{"token", row.token},
                {"fingerprint", row.fingerprint},
                {"upstream", row.upstream},
                {"peer_address", row.peer_address},
                // Written as text, because other languages may lose digits of 64-bit numbers.
                {"agent_incarnation", std::to_string(to_integer(row.agent))},
                {"attempt", to_integer(row.attempt)},
                {"state", state_name(row.state)}};
  if (row.state == claim_state::finished) {
    json response = {{"status", row.response.status}, {"headers", row.response.headers}};
    if (is_utf8(row.response.body)) {
      response["body"] = row.response.body;
    } else {
      response["body_hex"] = to_hex(row.response.body);
    }
    value["response"] = std::move(response);
  }
  return value;
}

result<claim_row> claim_row_from_json(const json& value) {
  try {
    claim_row row;
    row.token = value.at("token").get<std::string>();
    row.fingerprint = value.at("fingerprint").get<std::string>();
    row.upstream = value.at("upstream").get<std::string>();
    row.peer_address = value.at("peer_address").get<std::string>();
    row.agent = incarnation{std::stoull(value.at("agent_incarnation").get<std::string>())};
    row.attempt = attempt_number{value.at("attempt").get<std::uint32_t>()};
    const auto state = value.at("state").get<std::string>();
    if (state == "claimed") {
      row.state = claim_state::claimed;
    } else if (state == "released") {
      row.state = claim_state::released;
    } else if (state == "finished") {
      row.state = claim_state::finished;
      const json& response = value.at("response");
      row.response.status = response.at("status").get<int>();
      row.response.headers = response.at("headers").get<std::vector<std::pair<std::string, std::string>>>();
      row.response.body = response.contains("body") ? response.at("body").get<std::string>()
                                                    : from_hex(response.at("body_hex").get<std::string>());
    } else {
      return make_error(error_code::invalid_input, "unknown claim state " + state);
    }
    return row;
  } catch (const std::exception& failure) {
    return make_error(error_code::invalid_input, std::string("malformed claim row: ") + failure.what());
  }
}

std::string claim_row_key(std::string_view workspace, std::string_view idempotency_key) {
  std::string text(workspace);
  text.push_back('\0');
  text.append(idempotency_key);
  return sha256_hex(text);
}

}  // namespace cuminpath::idempotency
