#include "bench/capacity/measure.h"

#include <fmt/format.h>
#include <malloc.h>

#include <cstdio>
#include <ctime>
#include <nlohmann/json.hpp>
#include <string>

namespace cuminpath::bench {

double cpu_us() {
  timespec value{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &value);
  return static_cast<double>(value.tv_sec) * 1e6 + static_cast<double>(value.tv_nsec) / 1e3;
}

double heap_bytes() {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

void print_point(std::string_view slope, std::string_view x_name, double x, const values& measured) {
  nlohmann::json document = {
      {"slope", slope}, {"x_name", x_name}, {"x", x}, {"values", nlohmann::json::object()}};
  for (const auto& [name, value] : measured) {
    document["values"][std::string(name)] = value;
  }
  fmt::print("{}\n", document.dump());
  std::fflush(stdout);
}

}  // namespace cuminpath::bench
