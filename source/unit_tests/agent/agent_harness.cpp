#include "unit_tests/agent/agent_harness.h"

#include <algorithm>

namespace cuminpath::agent::support {

wire::submit_request completion(std::string id, std::string priority_class) {
  wire::submit_request value;
  value.request_id = std::move(id);
  value.attempt = attempt_number{1};
  value.workspace = "narmada";
  value.priority_class = std::move(priority_class);
  value.model_or_service = "target";
  value.body = R"({"model":"target","prompt":"p"})";
  value.remaining_ms = 60000;
  value.expected_tokens = 10;
  return value;
}

wire::submit_request booking(std::string id) {
  auto value = completion(std::move(id));
  value.kind = wire::request_kind::service;
  value.method = "POST";
  value.path = "/bookings?day=1";
  value.headers = {{"Idempotency-Key", "k"}, {"Connection", "close"}};
  value.body = "{}";
  value.repeatable = false;
  return value;
}

agent_harness::agent_harness(config::upstream_kind upstream_kind, std::uint32_t upstream_slots)
    : kind(upstream_kind),
      slots(upstream_slots),
      core({.host = "host-1", .local_incarnation = k_agent_incarnation, .attempts = {}}) {
  configure(1);
}

void agent_harness::configure(std::uint64_t version) {
  config::manifest manifest;
  manifest.classes.resize(2);
  manifest.classes[0].name = "urgent";
  manifest.classes[0].first_token_target = milliseconds(2000);
  manifest.classes[1].name = "digest";
  manifest.classes[1].priority = 5;
  manifest.workspaces.resize(1);
  manifest.workspaces[0].name = "narmada";
  manifest.upstreams.resize(1);
  auto& upstream = manifest.upstreams[0];
  upstream.name = "upstream-1";
  upstream.host = "host-1";
  upstream.kind = kind;
  upstream.model_or_service = "target";
  upstream.slots = slots;
  std::vector<action> actions;
  core.on_configuration(now, configuration_version{version},
                        std::make_shared<const config::manifest>(std::move(manifest)), actions);
  collect(actions);
}

void agent_harness::receive(wire::message value, std::string_view from, std::uint64_t version) {
  std::vector<action> actions;
  core.on_message(now, {.address = from, .version = configuration_version{version}}, std::move(value),
                  actions);
  collect(actions);
}

void agent_harness::advance(duration time) {
  for (const auto end = now + time; now < end;) {
    now += milliseconds(10);
    std::vector<action> actions;
    core.tick(now, actions);
    collect(actions);
  }
}

void agent_harness::send_head(run_id run, int status) {
  std::vector<action> actions;
  core.on_run_head(now, run, status, {{"Content-Type", "x"}}, actions);
  collect(actions);
}

void agent_harness::send_tokens(run_id run, std::uint64_t first, std::uint64_t count) {
  std::string bytes;
  for (auto i = first; i < first + count; ++i) {
    const auto text = std::to_string(i);
    bytes.append(R"(data: {"choices":[{"index":0,"text":"t)").append(text);
    bytes.append(R"("}],"index":)").append(text).append("}\n\n");
  }
  send_data(run, bytes);
}

void agent_harness::send_data(run_id run, std::string_view bytes) {
  std::vector<action> actions;
  core.on_run_data(now, run, bytes, actions);
  collect(actions);
}

void agent_harness::end_run(run_id run) {
  std::vector<action> actions;
  core.on_run_end(now, run, actions);
  collect(actions);
}

void agent_harness::fail_run(run_id run, bool sent, bool upstream_ended) {
  std::vector<action> actions;
  core.on_run_failed(now, run, {error_code::unreachable, "failed", sent}, upstream_ended, actions);
  collect(actions);
}

void agent_harness::lose_link(std::string_view peer) {
  std::vector<action> actions;
  core.on_peer_lost(now, peer, actions);
  collect(actions);
}

void agent_harness::drain() {
  std::vector<action> actions;
  core.drain(now, actions);
  collect(actions);
}

bool agent_harness::is_cancelled(run_id run) const {
  return std::find(cancelled.begin(), cancelled.end(), run) != cancelled.end();
}

void agent_harness::collect(std::vector<action>& actions) {
  for (auto& item : actions) {
    if (auto* message = std::get_if<send_message>(&item)) {
      messages.push_back(std::move(*message));
    } else if (auto* run = std::get_if<start_run>(&item)) {
      runs.push_back(std::move(*run));
    } else if (auto* cancel = std::get_if<cancel_run>(&item)) {
      cancelled.push_back(cancel->id);
    }
  }
}

}  // namespace cuminpath::agent::support
