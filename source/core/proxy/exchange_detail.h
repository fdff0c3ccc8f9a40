// Shared by the source files of the exchange.
#pragma once

#include <charconv>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include "core/common/time.h"
#include "core/gateway/configuration.h"

namespace cuminpath::proxy {

constexpr milliseconds k_default_service_time{500};
// A single event may have been sent before the upstream crashed on the request.
constexpr std::uint32_t k_events_of_sound_request = 2;
constexpr std::string_view k_timed_out = "timeout of the route or the caller";

inline std::int64_t ms_between(time_point from, time_point to) {
  return std::chrono::duration_cast<milliseconds>(to - from).count();
}

inline std::optional<std::int64_t> parse_integer(std::string_view text) {
  std::int64_t value = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
  return parsed.ec == std::errc() ? std::optional(value) : std::nullopt;
}

inline std::string_view call_kind_name(gateway::call_kind kind) {
  switch (kind) {
    case gateway::call_kind::repeatable:
      return "repeatable";
    case gateway::call_kind::at_most_once:
      return "at_most_once";
    case gateway::call_kind::stream:
      return "stream";
  }
  return "";
}

}  // namespace cuminpath::proxy
