// cuminpath_bench [--json FILE] [EXPERIMENT ...]: runs the given experiments, or all, and prints their
// tables. All but `cost`, which measures wall time, run on virtual time.
#include <fmt/format.h>

#include <cstdio>
#include <fstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "bench/experiments.h"

namespace {

using namespace cuminpath::bench;

constexpr std::pair<std::string_view, std::vector<table> (*)()> k_experiments[] = {
    {"flood", flood_experiment}, {"fairness", fairness_experiment}, {"choice", choice_experiment},
    {"retry", retry_experiment}, {"overload", overload_experiment}, {"ejection", ejection_experiment},
    {"cost", cost_experiment}};

int usage() {
  std::string names;
  for (const auto& [name, run] : k_experiments) {
    names += fmt::format(" {}", name);
  }
  fmt::print(stderr, "usage: cuminpath_bench [--json FILE] [EXPERIMENT ...]\nexperiments:{}\n", names);
  return 2;
}

}  // namespace

int main(int argc, char** argv) {
  std::vector<std::string_view> requested;
  std::ofstream json;
  for (int i = 1; i < argc; ++i) {
    const std::string_view argument = argv[i];
    if (argument == "--json" && i + 1 < argc) {
      json.open(argv[++i]);
      if (!json) {
        fmt::print(stderr, "cannot write {}\n", argv[i]);
        return 1;
      }
      continue;
    }
    bool known = false;
    for (const auto& [name, run] : k_experiments) {
      known = known || name == argument;
    }
    if (!known) {
      return usage();
    }
    requested.push_back(argument);
  }
  for (const auto& [name, run] : k_experiments) {
    bool selected = requested.empty();
    for (const std::string_view value : requested) {
      selected = selected || value == name;
    }
    if (!selected) {
      continue;
    }
    for (const table& result : run()) {
      fmt::print("{}\n", to_text(result));
      json << to_json_lines(result);
    }
    std::fflush(stdout);
  }
  return 0;
}
