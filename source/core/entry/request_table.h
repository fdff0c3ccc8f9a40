// The requests in flight of one entry.
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

// Names a caller's request between the core and the shell.
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
  std::string request_id;  // For the caller: its own or a generated one.
  std::string wire_id;     // Unique between all entries; the claim's token if there is a claim.
  time_point arrival{};
  time_point deadline{};

  attempt_number last_attempt{};
  std::optional<open_attempt> attempt;
  // Upstreams of earlier attempts, to be avoided by the next.
  std::vector<routing::upstream_id> excluded;
  std::uint32_t counted_attempts = 0;  // Without those that were refused before any work was done.
  std::uint32_t free_retries = 0;
  std::optional<time_point> retry_at;   // A new attempt is due then.
  std::optional<time_point> broken_at;  // Since when a started stream has had no upstream.
  // An attempt ended without the agent's word that it had not run. Never reset.
  bool may_have_run = false;
  problem last_refusal;              // Why the last attempt ended.
  bool stale_configuration = false;  // The last attempt was refused for it.
  bool retry_is_free = false;        // The last refusal does not count against the retry budget.

  bool head_received = false;
  int status = 200;
  wire::header_list headers;
  model_answer answer;        // Models.
  std::string body;           // Services, and error bodies of engines.
  bool stream_begun = false;  // Something has been sent to the caller.
  bool caller_gone = false;   // The call goes on because its outcome is to be stored.
  bool done = false;          // Removed by the next sweep().

  std::optional<idempotency::claim> claim;
  std::string claim_key;
  std::string settling;  // Token that an agent has been asked about.
};

class request_table {
public:
  // `value.caller` and `value.wire_id` must be unique.
  request& insert(request value);
  request* find(caller_id caller);
  request* find_wire(std::string_view wire_id);
  // Marks the request as done; references stay valid until sweep().
  void finish(request& value);
  void sweep();

  // Requests that are not done.
  [[nodiscard]] std::size_t size() const { return m_requests.size() - m_done.size(); }
  [[nodiscard]] std::size_t in_flight(const std::string& workspace) const;
  // Workspaces with requests in flight, and how many.
  [[nodiscard]] const std::unordered_map<std::string, std::size_t>& workspaces() const {
    return m_workspaces;
  }

  // Calls `visit` for each request that is not done. It may finish requests but not insert any.
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
};

}  // namespace cuminpath::entry
