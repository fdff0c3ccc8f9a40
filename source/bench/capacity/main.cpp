// cuminpath-bench-capacity [SLOPE ...]: measures the cost of the decision cores against the size of the fleet
// and prints JSON lines. Runs all slopes if none is given.
#include <cstdio>
#include <string_view>
#include <utility>

#include "bench/capacity/measure.h"

int main(int argc, char** argv) {
  using namespace cuminpath::bench;
  const std::pair<std::string_view, void (*)()> slopes[] = {{"membership", membership_slope},
                                                            {"routing", routing_slope},
                                                            {"scheduling", scheduling_slope},
                                                            {"configuration", configuration_slope},
                                                            {"planner", planner_slope}};
  for (int i = 1; i < argc; ++i) {
    bool known = false;
    for (const auto& [name, run] : slopes) {
      known = known || name == argv[i];
    }
    if (!known) {
      std::fprintf(stderr, "unknown slope %s; known: membership routing scheduling configuration planner\n",
                   argv[i]);
      return 2;
    }
  }
  for (const auto& [name, run] : slopes) {
    bool selected = argc == 1;
    for (int i = 1; i < argc; ++i) {
      selected = selected || name == argv[i];
    }
    if (selected) {
      run();
    }
  }
  return 0;
}
