#include "bench/report.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace cuminpath::bench {
namespace {

std::string to_text(const cell& value) {
  if (const auto* text = std::get_if<std::string>(&value)) {
    return *text;
  }
  const double number = std::get<double>(value);
  if (std::isnan(number)) {
    return "-";
  }
  if (std::isinf(number)) {
    return "inf";
  }
  return number == std::floor(number) && std::abs(number) >= 10 ? fmt::format("{:.0f}", number)
                                                                : fmt::format("{:.3f}", number);
}

}  // namespace

std::string to_text(const table& value) {
  std::vector<std::size_t> widths;
  for (const std::string& column : value.columns) {
    widths.push_back(column.size());
  }
  for (const auto& row : value.rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], to_text(row[i]).size());
    }
  }
  std::string text = fmt::format("{}: {}\n", value.experiment, value.description);
  const auto append = [&](const auto& cells, const auto& convert) {
    for (std::size_t i = 0; i < cells.size(); ++i) {
      text += i == 0 ? fmt::format("  {:<{}}", convert(cells[i]), widths[i])
                     : fmt::format("  {:>{}}", convert(cells[i]), widths[i]);
    }
    text += '\n';
  };
  append(value.columns, [](const std::string& column) { return column; });
  for (const auto& row : value.rows) {
    append(row, [](const cell& content) { return to_text(content); });
  }
  return text;
}

std::string to_json_lines(const table& value) {
  std::string lines;
  for (const auto& row : value.rows) {
    nlohmann::ordered_json line{{"experiment", value.experiment}};
    for (std::size_t i = 0; i < row.size(); ++i) {
      const auto* number = std::get_if<double>(&row[i]);
      if (number == nullptr) {
        line[value.columns[i]] = std::get<std::string>(row[i]);
      } else if (std::isfinite(*number)) {
        line[value.columns[i]] = *number;
      } else {
        line[value.columns[i]] = nullptr;
      }
    }
    lines += line.dump() + '\n';
  }
  return lines;
}

}  // namespace cuminpath::bench
