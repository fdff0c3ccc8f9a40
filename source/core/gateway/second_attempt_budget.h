// The operator's limit on second attempts: a share of the requests of a service, and of the tokens of an
// engine, within a sliding window.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

#include "core/common/time.h"

namespace cuminpath::gateway {

struct second_attempt_shares {
  double requests = 0;  // Second attempts as a share of the requests; 0: none.
  double tokens = 0;    // Engines only: the same for prompt and output tokens; 0: none at engines.
};

// Prompt and output tokens of a request, from the header "PROMPT,MAX_OUTPUT". Absent if it is malformed or
// its sum is above 2^32, which no engine accepts.
std::optional<std::uint64_t> parse_token_counts(std::string_view header);

// Limits the second attempts of one service at one gateway. Because each gateway keeps its share of its own
// requests, the fleet keeps it, too, without any exchange.
class second_attempt_budget {
public:
  enum class refusal : std::uint8_t { none, requests, tokens };

  // Window in which the shares hold: whenever a second attempt is begun, those of the window are at most the
  // share of its requests. Attempts that a quiet minute has left unused are available at the onset of a
  // fault.
  static constexpr seconds k_window{60};

  // `tokens` is 0 for services that are not engines, and for requests that do not state them.
  void on_request(std::uint64_t tokens, time_point now);
  // Returns which share a second attempt would exceed. `tokens` is absent for services that are not engines.
  [[nodiscard]] refusal check(std::optional<std::uint64_t> tokens, const second_attempt_shares& shares,
                              time_point now);
  void on_second_attempt(std::uint64_t tokens, time_point now);

private:
  struct slot {
    std::uint64_t requests = 0;
    std::uint64_t tokens = 0;
    std::uint64_t second_attempts = 0;
    std::uint64_t second_tokens = 0;
  };
  // The slots are whole seconds. One more than the window, so that the oldest, which has passed in part,
  // still counts for the second attempts.
  static constexpr std::size_t k_slots = k_window.count() + 1;

  slot& advance(time_point now);

  std::array<slot, k_slots> m_slots{};
  std::int64_t m_second = 0;  // Of the newest slot.
};

}  // namespace cuminpath::gateway
