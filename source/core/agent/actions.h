// What the agent's core tells its shell to do.
#pragma once

#include <string>
#include <variant>

#include "core/common/time.h"
#include "core/http/client.h"
#include "core/http/message.h"
#include "core/wire/messages.h"

namespace cuminpath::agent {

// One HTTP call to the upstream. An attempt that is preempted and resumed has several, one after the other.
enum class run_id : std::uint64_t {};

struct send_message {
  std::string peer_address;
  wire::message message;
};
// Call the upstream; report with on_run_head(), on_run_data(), on_run_end() and on_run_failed().
struct start_run {
  run_id id{};
  http::request request;
  http::call_options options;
  time_point deadline{};  // The shell does not start the call at or after this time.
};
// Close the call's connection; no event of it follows.
struct cancel_run {
  run_id id{};
};
// For the timeline.
struct record_event {
  std::string kind;
  std::string detail;
};
// A message of the group switch protocol or an expert load, which the agent's core does not handle itself.
struct pass_group_message {
  std::string peer_address;
  wire::message message;
};
using action = std::variant<send_message, start_run, cancel_run, record_event, pass_group_message>;

}  // namespace cuminpath::agent
