// Actions that the entry core returns and the entry process executes.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/common/json.h"
#include "core/common/random.h"
#include "core/common/time.h"
#include "core/entry/request_table.h"
#include "core/http/message.h"
#include "core/wire/messages.h"

namespace cuminpath::entry {

struct respond {
  caller_id caller{};
  http::response response;
};
struct begin_stream {
  caller_id caller{};
  http::header_list headers;
};
struct write_stream {
  caller_id caller{};
  std::string data;
};
struct end_stream {
  caller_id caller{};
};
struct abort_stream {
  caller_id caller{};
};
struct send_message {
  std::string peer_address;
  wire::message message;
};
// Closes the link to a peer to which no more messages are sent.
struct close_link {
  std::string peer_address;
};
struct read_claim {  // Answered by on_claim_row() or on_claim_row_failed().
  caller_id caller{};
  std::string key;
};
struct write_claim {  // Answered by on_claim_written() or on_claim_write_unknown().
  caller_id caller{};
  std::string key;
  json value;
  std::uint64_t if_version = 0;
};
// Reports the end of a request to the metrics.
struct request_ended {
  std::string priority_class;
  int status = 200;
  duration total{0};
};
// Records an event in the timeline and in the log.
struct record_event {
  std::string_view kind;
  std::string detail;
};
using action = std::variant<respond, begin_stream, write_stream, end_stream, abort_stream, send_message,
                            close_link, read_claim, write_claim, request_ended, record_event>;

// The context of one event: the current time, the random source and the list to which handlers append their
// actions.
struct event_context {
  time_point now;
  random_source& random;
  std::vector<action>& actions;
};

}  // namespace cuminpath::entry
