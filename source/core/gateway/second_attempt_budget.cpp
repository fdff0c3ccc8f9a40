#include "core/gateway/second_attempt_budget.h"

#include <charconv>

namespace cuminpath::gateway {
namespace {

constexpr std::uint64_t k_max_tokens = std::uint64_t{1} << 32U;

std::optional<std::uint64_t> parse_count(std::string_view text) {
  std::uint64_t value = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  const bool whole = parsed.ec == std::errc() && parsed.ptr == end;
  return whole && value <= k_max_tokens ? std::optional(value) : std::nullopt;
}

}  // namespace

std::optional<std::uint64_t> parse_token_counts(std::string_view header) {
  const std::size_t comma = header.find(',');
  if (comma == std::string_view::npos) {
    return std::nullopt;
  }
  const auto prompt = parse_count(header.substr(0, comma));
  const auto output = parse_count(header.substr(comma + 1));
  if (!prompt || !output || *prompt + *output > k_max_tokens) {
    return std::nullopt;
  }
  return *prompt + *output;
}

second_attempt_budget::slot& second_attempt_budget::advance(time_point now) {
  const std::int64_t second = std::chrono::floor<seconds>(now.time_since_epoch()).count();
  if (second - m_second >= static_cast<std::int64_t>(k_slots)) {
    m_slots.fill({});
    m_second = second;
  }
  while (m_second < second) {
    ++m_second;
    m_slots[static_cast<std::size_t>(m_second) % k_slots] = {};
  }
  return m_slots[static_cast<std::size_t>(m_second) % k_slots];
}

void second_attempt_budget::on_request(std::uint64_t tokens, time_point now) {
  slot& current = advance(now);
  ++current.requests;
  current.tokens += tokens;
}

second_attempt_budget::refusal second_attempt_budget::check(std::optional<std::uint64_t> tokens,
                                                            const second_attempt_shares& shares,
                                                            time_point now) {
  advance(now);
  slot sum;
  for (std::size_t i = 0; i < k_slots; ++i) {
    const slot& each = m_slots[i];
    sum.second_attempts += each.second_attempts;
    sum.second_tokens += each.second_tokens;
    if (i != static_cast<std::size_t>(m_second + 1) % k_slots) {  // The oldest slot has passed in part.
      sum.requests += each.requests;
      sum.tokens += each.tokens;
    }
  }
  if (static_cast<double>(sum.second_attempts + 1) > shares.requests * static_cast<double>(sum.requests)) {
    return refusal::requests;
  }
  if (tokens &&
      static_cast<double>(sum.second_tokens + *tokens) > shares.tokens * static_cast<double>(sum.tokens)) {
    return refusal::tokens;
  }
  return refusal::none;
}

void second_attempt_budget::on_second_attempt(std::uint64_t tokens, time_point now) {
  slot& current = advance(now);
  ++current.second_attempts;
  current.second_tokens += tokens;
}

}  // namespace cuminpath::gateway
