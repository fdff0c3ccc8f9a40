#include "core/operation/command_line.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <sstream>

#include "core/common/random.h"
#include "core/operation/commands.h"
#include "unit_tests/support/property.h"

namespace cuminpath::operation {
namespace {

using ::testing::HasSubstr;

exit_code run_without_platform(const std::vector<std::string>& arguments, std::string& out) {
  std::ostringstream text;
  std::ostringstream err;
  const exit_code code = run(
      arguments, [](const std::string&) { return std::string(); }, text, err);
  out = text.str();
  return code;
}

// Guards against a mistyped command that has an effect or reports success.
TEST(command_line, unknown_input_is_a_usage_error) {
  std::string out;
  for (const std::vector<std::string>& arguments :
       std::vector<std::vector<std::string>>{{},
                                             {"sttus"},
                                             {"status", "extra"},
                                             {"manifest"},
                                             {"manifest", "apply"},
                                             {"manifest", "apply", "a", "b"},
                                             {"manifest", "status", "--verbose"},
                                             {"manifest", "history", "--lim", "1"},
                                             {"manifest", "history", "--limit", "x"},
                                             {"manifest", "apply", "f", "--based-on"},
                                             {"drain"},
                                             {"expert-map", "destroy", "g"},
                                             {"status", "--operator-key-file", "/nonexistent"},
                                             {"status"},
                                             {"drain", "host"}}) {
    EXPECT_EQ(run_without_platform(arguments, out), exit_code::usage) << testing::PrintToString(arguments);
  }
}

// Guards against a command without help, and against a help option that runs the command.
TEST(command_line, help_is_available_everywhere) {
  std::string out;
  for (const std::vector<std::string>& arguments : std::vector<std::vector<std::string>>{
           {"--help"}, {"status", "-h"}, {"manifest", "--help"}, {"drain", "x", "--help"}}) {
    EXPECT_EQ(run_without_platform(arguments, out), exit_code::success);
    EXPECT_THAT(out, HasSubstr("--operator-key-file"));
  }
  EXPECT_EQ(run_without_platform({"manifest", "apply", "--help"}, out), exit_code::success);
  EXPECT_THAT(out, HasSubstr("cuminpath manifest apply FILE"));
  EXPECT_EQ(out.find("manifest history"), std::string::npos);
}

// Guards against arguments that terminate the program without one of its exit codes.
TEST(command_line, survives_random_arguments) {
  const std::vector<std::string> parts{"manifest", "apply",  "--json",     "--limit",  "-1",
                                       "--",       "-",      "",           "\xff",     "drain",
                                       "--table",  "--help", "-h",         "--json=1", "--limit=99999999999",
                                       "status",   "check",  "expert-map", "/dev/null"};
  EXPECT_TRUE(support::check_property(500, [&parts](std::uint64_t seed) {
    random_source random(seed);
    std::vector<std::string> arguments;
    for (std::size_t i = random_index(random, 6); i > 0; --i) {
      arguments.push_back(parts[random_index(random, parts.size())]);
    }
    std::string out;
    const exit_code code = run_without_platform(arguments, out);
    RC_ASSERT(code != exit_code::conflict);
  }));
}

}  // namespace
}  // namespace cuminpath::operation
