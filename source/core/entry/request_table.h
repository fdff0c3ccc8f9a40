// The table of an entry's requests in flight.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/common/ids.h"
#include "core/common/time.h"
#include "core/entry/caller_request.h"
#include "core/entry/model_answer.h"
#include "core/idempotency/claim.h"
#include "core/routing/router.h"

namespace cuminpath::entry {

// Identifies a caller's request between the entry core and the entry process.
enum class caller_id : std::uint64_t {};

// One attempt that has been sent and has not ended.
struct open_attempt {
  attempt_number number{};
  routing::upstream_id upstream{};
  std::string peer_address;
  time_point sent_at{};
  std::optional<duration> first_token;
};

struct request {
  caller_id caller{};
  accepted_request accepted;
  std::string request_id;  // The caller's X-Request-Id or a generated one.
  std::string wire_id;     // Unique across all entries. If there is a claim, its token.
  time_point arrival{};
  time_point deadline{};

  attempt_number last_attempt{};
  std::optional<open_attempt> attempt;
  // Earlier attempts of a started stream whose agents are silent. The first attempt that has the next token
  // ends all others.
  std::vector<open_attempt> silent_attempts;
  // Upstreams of earlier attempts, which the next attempt avoids.
  std::vector<routing::upstream_id> excluded;
  // Retries from the retry budget. Attempts that were refused before any work was done do not count.
  std::uint32_t budgeted_retries = 0;
  std::uint32_t free_retries = 0;
  std::optional<time_point> retry_at;  // When the next attempt is due.
  bool awaits_retry_budget = false;    // The next attempt is still to be taken from the retry budget.
  // Pauses of a started stream since its last token.
  std::uint32_t pauses = 0;
  // Set when an attempt ended and its agent did not confirm that it had not run. Never reset.
  bool may_have_run = false;
  problem last_refusal;  // Why the last attempt failed.
  // The last attempt was refused because of the entry's stale configuration.
  bool stale_configuration = false;
  bool may_have_crashed_upstream = false;
  bool retry_is_free = false;  // The retry after the last refusal is not taken from the retry budget.

  bool head_received = false;
  int status = 200;
  wire::header_list headers;
  model_answer answer;             // For models.
  std::string body;                // For services, and for error responses of engines.
  std::size_t response_bytes = 0;  // As last passed to request_table::count_response().
  bool stream_begun = false;       // Whether the response has been started.
  // A call with a claim continues without its caller, because its outcome is to be stored.
  bool caller_disconnected = false;
  bool done = false;  // Removed by the next sweep().

  std::optional<idempotency::claim> claim;
  std::string claim_key;
  std::string settling_token;  // Token of the attempt whose state an agent has been asked for.
};

class request_table {
public:
  // `value.caller` and `value.wire_id` must be unique.
  request& insert(request value);
  request* find(caller_id caller);
  request* find_by_wire_id(std::string_view wire_id);
  // Marks the request as done. References to it stay valid until sweep().
  void finish(request& value);
  void sweep();

  // Updates the bytes that are allocated for the response to the request. To be called after each change.
  void count_response(request& value);
  // Returns these bytes for all requests that are not done.
  [[nodiscard]] std::size_t response_bytes() const { return m_response_bytes; }
  // Returns the request that holds the most of them; null if there is none.
  [[nodiscard]] request* largest_response();

  // Returns the number of requests that are not done.
  [[nodiscard]] std::size_t size() const { return m_requests.size() - m_done.size(); }
  [[nodiscard]] std::size_t in_flight(const std::string& workspace) const;
  // Returns the number of requests in flight for each workspace that has any.
  [[nodiscard]] const std::unordered_map<std::string, std::size_t>& workspaces() const {
    return m_workspaces;
  }

  // Calls `visit` for each request that is not done. `visit` may finish requests but must not insert any.
  template <class visitor>
  void for_each(visitor visit) {
    for (auto& [caller, value] : m_requests) {
      if (!value.done) {
        visit(value);
      }
    }
  }

private:
  std::unordered_map<caller_id, request> m_requests;
  std::unordered_map<std::string, caller_id> m_wire_ids;
  std::unordered_map<std::string, std::size_t> m_workspaces;
  std::vector<caller_id> m_done;
  std::size_t m_response_bytes = 0;
};

}  // namespace cuminpath::entry
