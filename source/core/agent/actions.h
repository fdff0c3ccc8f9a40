// Actions that the agent core returns and the agent process executes.
#pragma once

#include <string>
#include <variant>

#include "core/common/time.h"
#include "core/http/client.h"
#include "core/http/message.h"
#include "core/wire/messages.h"

namespace cuminpath::agent {

// Identifies a run: one HTTP call to the upstream. An attempt that is preempted and resumed has several runs,
// one after the other.
enum class run_id : std::uint64_t {};

struct send_message {
  std::string peer_address;
  wire::message message;
};
// Calls the upstream. Events of the call are reported with on_run_head(), on_run_data(), on_run_end() and
// on_run_failed().
struct start_run {
  run_id id{};
  http::request request;
  http::call_options options;
  time_point deadline{};  // The call must not be started at or after this time.
};
// Cancels the call by closing its connection. No further event of the run is reported.
struct cancel_run {
  run_id id{};
};
// Records an event in the timeline.
struct record_event {
  std::string kind;
  std::string detail;
};
// Forwards a message that the core does not handle itself to the expert service: a message of the group
// switch protocol or an expert load.
struct forward_group_message {
  std::string peer_address;
  wire::message message;
};
using action = std::variant<send_message, start_run, cancel_run, record_event, forward_group_message>;

}  // namespace cuminpath::agent
