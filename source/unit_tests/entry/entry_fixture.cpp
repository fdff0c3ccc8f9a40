#include "unit_tests/entry/entry_fixture.h"

#include "core/common/hash.h"
#include "core/common/json.h"

namespace cuminpath::entry {

namespace {

config::upstream make_upstream(const std::string& name, config::upstream_kind kind,
                               const std::string& model_or_service) {
  config::upstream value;
  value.name = name;
  value.host = name;
  value.kind = kind;
  value.model_or_service = model_or_service;
  value.slots = 8;
  return value;
}

entry_options make_options(std::size_t max_requests) {
  entry_options options;
  options.name = "entry-1";
  options.availability_zone = "talca";
  options.max_requests = max_requests;
  return options;
}

}  // namespace

std::shared_ptr<const config::manifest> sample_manifest() {
  auto manifest = std::make_shared<config::manifest>();
  config::priority_class urgent;
  urgent.name = "urgent";
  config::priority_class digest;
  digest.name = "digest";
  digest.priority = 1;
  manifest->classes = {urgent, digest};
  config::model model;
  model.name = "scribe";
  model.max_tokens = 100;
  manifest->models = {model};
  manifest->services = {{"orders", {{"POST", "/quotes", true}}}};
  manifest->workspaces = {
      {"narmada", {sha256_hex(k_api_key)}, 1.0, {"urgent", "digest"}, "urgent"},
      {"vidal", {sha256_hex("secret-of-vidal")}, 1.0, {"digest"}, "digest"},
  };
  for (const char* name : {"m1", "m2", "m3"}) {
    manifest->upstreams.push_back(make_upstream(name, config::upstream_kind::engine, "scribe"));
  }
  for (const char* name : {"s1", "s2"}) {
    manifest->upstreams.push_back(make_upstream(name, config::upstream_kind::service, "orders"));
  }
  return manifest;
}

entry_fixture::entry_fixture(std::size_t max_requests) : core(make_options(max_requests)) {
  std::vector<host_location> hosts;
  for (const auto& name : alive) {
    hosts.push_back({name, "talca", "maule", name});
  }
  call(&entry_core::on_hosts, hosts);
  call(&entry_core::on_configuration, configuration_version{1}, sample_manifest());
  run_for(milliseconds(20));
  actions.clear();
}

void entry_fixture::run_for(milliseconds length) {
  const time_point end = now + length;
  for (int i = 0; now < end; ++i) {
    now += milliseconds(10);
    call(&entry_core::tick);
    if (i % 10 == 0) {
      for (const auto& peer : alive) {
        receive_load_report(peer);
      }
    }
  }
}

void entry_fixture::receive(const std::string& peer, const wire::message& message) {
  call(&entry_core::on_message, std::string_view(peer), incarnation{agent_incarnation}, message);
}

void entry_fixture::receive_load_report(const std::string& peer) {
  wire::load_report report;
  report.upstream = peer;
  report.slots = 8;
  receive(peer, report);
}

caller_id entry_fixture::send(http::request value) {
  const caller_id caller{++last_caller};
  call(&entry_core::on_request, caller, std::move(value));
  return caller;
}

caller_id entry_fixture::send_completion(bool streaming, const http::header_list& headers) {
  http::request value{"POST", "/v1/completions", headers, ""};
  value.headers.emplace_back("Authorization", "Bearer " + std::string(k_api_key));
  value.body = json{{"model", "scribe"}, {"prompt", "tune"}, {"stream", streaming}}.dump();
  return send(std::move(value));
}

caller_id entry_fixture::send_booking(const std::string& key, const std::string& body) {
  return send({"POST",
               "/services/orders/bookings",
               {{"Authorization", "Bearer " + std::string(k_api_key)}, {"Idempotency-Key", key}},
               body});
}

entry_fixture::submitted_attempt entry_fixture::take_submitted() {
  auto messages = take_messages<wire::submit_request>();
  EXPECT_EQ(messages.size(), 1U);
  if (messages.empty()) {
    return {};
  }
  return {messages.front().first, std::move(messages.front().second)};
}

http::response entry_fixture::take_response() {
  auto responses = take<respond>();
  EXPECT_EQ(responses.size(), 1U);
  return responses.empty() ? http::response{} : std::move(responses.front().response);
}

std::string entry_fixture::take_streamed() {
  std::string text;
  for (const auto& part : take<write_stream>()) {
    text += part.data;
  }
  return text;
}

void entry_fixture::send_response_tokens(const submitted_attempt& to, std::uint64_t index,
                                         const std::vector<std::string>& texts) {
  wire::response_chunk chunk{to.message.request_id, to.message.attempt, index,
                             static_cast<std::uint32_t>(texts.size()), ""};
  for (const auto& text : texts) {
    chunk.data += chunk.data.empty() ? "" : "\n";
    chunk.data += json{{"id", "e"}, {"index", index++}, {"choices", {{{"index", 0}, {"text", text}}}}}.dump();
  }
  receive(to.peer, chunk);
}

void entry_fixture::send_response_end(const submitted_attempt& to, std::uint64_t length) {
  receive(to.peer, wire::response_end{to.message.request_id, to.message.attempt, length});
}

void entry_fixture::send_refusal(const submitted_attempt& to, wire::execution execution_state,
                                 wire::refusal_reason reason) {
  receive(to.peer, wire::refusal{to.message.request_id, to.message.attempt, execution_state, reason, 0, ""});
}

std::string entry_fixture::execution_of(const http::response& response) {
  const auto document = parse_json(response.body);
  return document && document.value().contains("execution") ? document.value()["execution"].get<std::string>()
                                                            : "";
}

}  // namespace cuminpath::entry
