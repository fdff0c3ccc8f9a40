// Strong integer types for numbers that must not be confused with each other.
#pragma once

#include <cstdint>

namespace cuminpath {

// Version of the configuration; increases by one with each accepted change. 0 means that there is none yet.
enum class configuration_version : std::uint64_t {};

// Chosen at random when a process starts; distinguishes a restarted process from its predecessor.
enum class incarnation : std::uint64_t {};

// Number of an attempt of one request, counted from 1 by the entry.
enum class attempt_number : std::uint32_t {};

// Fencing token of a group; increases each time a process acquires the leadership of the group.
enum class fencing_token : std::uint64_t {};

constexpr std::uint64_t to_integer(configuration_version value) {
  return static_cast<std::uint64_t>(value);
}
constexpr std::uint64_t to_integer(incarnation value) {
  return static_cast<std::uint64_t>(value);
}
constexpr std::uint32_t to_integer(attempt_number value) {
  return static_cast<std::uint32_t>(value);
}
constexpr std::uint64_t to_integer(fencing_token value) {
  return static_cast<std::uint64_t>(value);
}

}  // namespace cuminpath
