// Result tables of the experiments, printed as aligned text or as JSON lines.
#pragma once

#include <string>
#include <variant>
#include <vector>

namespace cuminpath::bench {

using cell = std::variant<std::string, double>;

struct table {
  std::string experiment;
  std::string description;  // States the trace, the size and the seeds.
  std::vector<std::string> columns;
  std::vector<std::vector<cell>> rows;
};

std::string to_text(const table& value);
std::string to_json_lines(const table& value);

}  // namespace cuminpath::bench
