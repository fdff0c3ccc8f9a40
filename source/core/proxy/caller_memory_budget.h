// Budget of the memory that callers hold in a gateway. Decides which callers may send on, and which have to
// give up what they hold. Has no sockets; the owners of the connections carry out the decisions.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/common/time.h"

namespace cuminpath::proxy {

// What a connection of a caller holds.
enum class held_part : std::uint8_t {
  connection,  // The objects of the connection itself.
  head,        // The parsed head of the request.
  body,        // Of the request, also while it is retained for a further attempt.
  pipelined,   // Requests that wait behind the one being served.
  response,    // What upstreams have sent and the caller has not been given yet.
  output,      // What has not been handed to the socket.
};
constexpr std::size_t k_held_part_count = 6;

// Memory of one connection without requests: its object, parser, callbacks and entries in tables. Checked
// against the allocator by the unit tests.
constexpr std::size_t k_connection_bytes = 4U << 10U;
// A body up to this size needs no claim.
constexpr std::size_t k_unclaimed_body_bytes = 64U << 10U;
// A holder that has not made progress for this long gives way to others if memory or descriptors are short. A
// lost packet costs an honest caller 200 to 400 ms.
constexpr milliseconds k_caller_stall_time{500};
// Bytes that count as progress. Together with the time above, 16 KB a second, half of a slow mobile link.
constexpr std::size_t k_progress_bytes = 8U << 10U;
// A body that waits longer for its claim is refused; its caller may turn to another gateway.
constexpr milliseconds k_max_claim_wait{1000};

// Every byte is charged with hold() when it is read and credited when it is released.
//
// Bodies larger than k_unclaimed_body_bytes need a claim for their whole size before they are read further.
// Claims are granted only as long as all of them fit, so bodies that have one can always be completed.
// Nothing is allocated for a claim.
class caller_memory_budget {
public:
  using owner_id = const void*;

  // `limit`: bytes of all holders together.
  explicit caller_memory_budget(std::size_t limit) : m_limit(limit) {}
  void set_limit(std::size_t limit) { m_limit = limit; }

  // Adds a connection. remove() credits everything that it holds.
  void add(owner_id owner, time_point now);
  void remove(owner_id owner);

  // States how many bytes the owner holds now for that part.
  void hold(owner_id owner, held_part part, std::size_t bytes);
  // Records that bytes were received from the caller or handed to its socket.
  void on_progress(owner_id owner, std::size_t bytes, time_point now);
  // Records that a request begins, or that a response has been completed.
  void on_step(owner_id owner, time_point now);
  // States whether a request of the owner is being served. It is not evicted unless it has output that its
  // caller does not take.
  void set_served(owner_id owner, bool served);

  // Asks to receive a body of up to `body_bytes`. Returns false if the owner must wait for decide().
  bool claim(owner_id owner, std::size_t body_bytes, time_point now);
  // Gives the claim back, or ends the wait for one.
  void release_claim(owner_id owner);

  // Returns true if that many bytes more are within the limit.
  [[nodiscard]] bool fits(std::size_t bytes) const { return m_used + bytes <= m_limit; }
  // The same for heads, small bodies and small responses, which have a reserve of their own: ordinary
  // requests are served also while large ones use up the limit.
  [[nodiscard]] bool fits_small(std::size_t bytes) const { return m_used + bytes <= m_limit + m_limit / 16; }
  // Returns true if connections should not read ahead of the request that is being served.
  [[nodiscard]] bool under_pressure() const { return m_used > m_limit / 2 || m_waiting > 0; }

  enum class action : std::uint8_t {
    resume,  // The claim has been granted.
    refuse,  // The claim could not be granted in time.
    evict,   // Holds memory that others wait for, and makes no progress.
  };
  struct decision {
    owner_id owner;
    action to_take;
  };
  // Decides about waiting claims. To be called several times a second.
  std::vector<decision> decide(time_point now);
  // Returns the holder that has been without progress longest among those that hold at least an average share
  // of the memory; null if none can be evicted. `except` is never returned.
  [[nodiscard]] owner_id find_stalled(time_point now, owner_id except);
  // Returns a holder whose connection can be closed to make place for another one: one that has not made
  // progress, those that have never completed a request first; null if there is none.
  [[nodiscard]] owner_id find_idle(time_point now) const;

  [[nodiscard]] std::size_t limit() const { return m_limit; }
  [[nodiscard]] std::size_t used() const { return m_used; }
  // Bytes that holders of claims may still receive.
  [[nodiscard]] std::size_t outstanding_claims() const { return m_outstanding; }
  [[nodiscard]] std::size_t waiting() const { return m_waiting; }
  [[nodiscard]] std::size_t holders() const { return m_holders.size(); }
  [[nodiscard]] std::size_t held(owner_id owner) const;

private:
  struct holder {
    std::array<std::size_t, k_held_part_count> parts{};
    std::size_t total = 0;
    std::size_t claimed = 0;  // For the whole body; 0 without a claim.
    std::size_t wanted = 0;   // Waits for a claim of this size; 0 if it does not wait.
    time_point waiting_since{};
    time_point last_progress{};
    std::size_t bytes_since = 0;  // Received or sent since `last_progress`.
    bool served = false;
    bool has_been_served = false;

    [[nodiscard]] std::size_t part(held_part which) const { return parts[static_cast<std::size_t>(which)]; }
    [[nodiscard]] std::size_t outstanding() const {
      return claimed > part(held_part::body) ? claimed - part(held_part::body) : 0;
    }
    [[nodiscard]] bool evictable() const { return !served || part(held_part::output) > 0; }
    [[nodiscard]] bool stalled(time_point now) const {
      return evictable() && wanted == 0 && now - last_progress >= k_caller_stall_time;
    }
  };

  // Whether a claim can be granted on top of what is held and claimed, without `freed` bytes.
  [[nodiscard]] bool grantable(const holder& value, std::size_t wanted, std::size_t freed) const;
  [[nodiscard]] std::vector<owner_id> waiting_in_order() const;
  void end_wait(holder& value);

  std::size_t m_limit;
  std::size_t m_used = 0;
  std::size_t m_outstanding = 0;
  std::size_t m_waiting = 0;
  std::size_t m_claims = 0;
  std::unordered_map<owner_id, holder> m_holders;
  std::optional<time_point> m_last_decision;
  time_point m_no_stalled_until{};  // No holder can be stalled before.
};

}  // namespace cuminpath::proxy
