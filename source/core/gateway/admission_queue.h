// Requests that wait in a gateway for a place at an upstream, and the times at which refused callers return.
// Load: a wave above capacity, a burst of more than twice the usual rate, callers that retry too soon.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/common/random.h"
#include "core/common/time.h"

namespace cuminpath::gateway {

struct admission_queue_options {
  // Longest wait as a share of the latency target of the route, from 0 to 1; 0: nothing waits.
  double max_wait_share = 0;
  std::size_t max_requests = 256;  // That wait at one time, of all services.
};

// What the order in the queue depends on: priority first, then returning callers, then arrival.
struct queue_rank {
  std::uint32_t priority = 0;  // 0 is the most urgent.
  bool returning = false;      // The caller has been refused before; see retry_detector.
};

struct queue_candidate {
  std::string_view service;
  queue_rank rank;
  milliseconds target_latency{0};  // Of the route.
  time_point arrived;
  time_point deadline;
};

// One queue for each service. Keeps no state of callers beyond the requests that wait and the times at which
// refused callers are due.
class admission_queue {
public:
  using ticket = std::uint64_t;  // Identifies a waiting request.

  struct place {
    ticket id = 0;
    std::size_t position = 0;  // Requests of the service that go before it.
    milliseconds expected_wait{0};
    time_point wait_until;            // It is late if it gets no place by then.
    std::optional<ticket> displaced;  // The request that left the full queue for this more urgent one.
  };
  enum class refusal : std::uint8_t {
    off,       // Nothing waits.
    too_long,  // It would be late, or nothing is known about the rate at which places become free.
    full
  };
  using outcome = std::variant<place, refusal>;

  admission_queue();
  ~admission_queue();
  admission_queue(admission_queue&& other) noexcept;
  admission_queue& operator=(admission_queue&& other) noexcept;

  // Requests that wait already stay, whatever the new bounds are.
  void set_options(const admission_queue_options& options);
  [[nodiscard]] bool enabled() const;

  // Adds a request that has found no place.
  [[nodiscard]] outcome join(const queue_candidate& candidate, time_point now);
  // Removes a request. Returns false if it does not wait.
  bool leave(ticket id);
  // Returns the services with waiting requests.
  [[nodiscard]] std::vector<std::string> services() const;
  // Returns the requests of a service in their order.
  [[nodiscard]] std::vector<ticket> order(std::string_view service) const;
  // Returns how many waiting requests of a service go before a new one.
  [[nodiscard]] std::size_t count_before(std::string_view service, queue_rank rank) const;
  [[nodiscard]] std::size_t size() const;

  // A request of this gateway has ended and its place is free.
  void on_place_freed(std::string_view service, time_point now);
  // Places a second that became free lately.
  [[nodiscard]] double freed_per_s(std::string_view service, time_point now) const;

  // Returns after what time a refused caller should return. The places that are expected to become free are
  // promised at a limited rate and one caller at a time, so that callers do not return together. Once all
  // places within a third of the caller's time are promised, the time is random within the rest of it.
  // A caller that has returned already gets no promise, because few callers return twice. Absent if nothing
  // is known about the rate at which places become free.
  [[nodiscard]] std::optional<milliseconds> promise_return(std::string_view service, queue_rank rank,
                                                           milliseconds time_left, time_point now,
                                                           random_source& random);
  // A refused caller has returned, perhaps one that another gateway has refused: callers choose a gateway
  // anew, so each gateway sees about as many as it has refused.
  void on_return(std::string_view service, std::uint32_t priority, time_point now);
  // Returns how many promised places a new request of this rank must leave free now; 0 for returning ones.
  [[nodiscard]] std::uint32_t promised_places(std::string_view service, queue_rank rank, time_point now);

private:
  struct impl;
  std::unique_ptr<impl> m_impl;
};

}  // namespace cuminpath::gateway
