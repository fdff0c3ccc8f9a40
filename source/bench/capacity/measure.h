// Measures processor time and heap for the capacity slopes and prints one JSON line per point of a slope.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

namespace cuminpath::bench {

// Returns the processor time of this process in microseconds.
double cpu_us();
// Returns the bytes that are allocated on the heap.
double heap_bytes();

// Returns the processor time of a call of `work` in microseconds.
template <class function>
double cpu_us_of(function work) {
  const double from = cpu_us();
  work();
  return cpu_us() - from;
}

using values = std::vector<std::pair<std::string_view, double>>;

// Prints {"slope":SLOPE,"x_name":X_NAME,"x":X,"values":{...}}.
void print_point(std::string_view slope, std::string_view x_name, double x, const values& measured);

void membership_slope();
void routing_slope();
void scheduling_slope();
void configuration_slope();
void planner_slope();

}  // namespace cuminpath::bench
