#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "core/operation/commands.h"

int main(int argument_count, char** arguments) {
  const std::vector<std::string> list(arguments + 1, arguments + argument_count);
  const auto read_variable = [](const std::string& name) {
    const char* value = std::getenv(name.c_str());
    return std::string(value == nullptr ? "" : value);
  };
  return static_cast<int>(cuminpath::operation::run(list, read_variable, std::cout, std::cerr));
}
