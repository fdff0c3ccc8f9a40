// Checks that the templates in deploy/ are valid settings after the platform has filled in the placeholders.

#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <map>
#include <regex>

#include "core/config/settings_check.h"

namespace cuminpath::config {
namespace {

std::string read_file(const std::string& path) {
  std::ifstream file(path);
  EXPECT_TRUE(file) << path;
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

// Replaces the placeholders with example values of the same form as those of the platform. Fields that
// a deployment does not have render nothing in their sections.
std::string fill_placeholders(std::string text, const std::string& grace_s, bool has_optional) {
  const std::map<std::string, std::string> values = {{"bounds.graceS", grace_s},
                                                     {"bounds.retryBudgetRatio", "0.2"},
                                                     {"bounds.retryBudgetBurst", "207"},
                                                     {"bounds.coldOver", "1.5"},
                                                     {"bounds.coldSlack", "5"},
                                                     {"heartbeatMs", "1200"},
                                                     {"limits.memoryMb", "112"},
                                                     {"limits.maxFds", "2870"},
                                                     {"internalPorts.0", "7340"},
                                                     {"internalPorts.1", "7355"},
                                                     {"ip", "10.1.0.40"},
                                                     {"nodeName", "front-1"},
                                                     {"zone", "z"},
                                                     {"region", "r"},
                                                     {"service", "s"},
                                                     {"app", "10.1.0.40:80"},
                                                     {"platform.address", "10.200.1.7:8223"},
                                                     {"listen.front", "10.1.0.40:1"},
                                                     {"listen.ready", "10.1.0.40:2"},
                                                     {"listen.directory", "10.1.0.40:3"},
                                                     {"listen.control", "10.1.0.40:4"}};
  text = std::regex_replace(text, std::regex(R"(\{\{#seeds\}\}.*\{\{/seeds\}\})"),
                            R"("10.1.0.41:4", "10.1.0.42:4")");
  text = std::regex_replace(
      text, std::regex(R"(\{\{#(bounds\.cold\w+|limits\.\w+|heartbeatMs)\}\}(.*)\{\{/\1\}\})"),
      has_optional ? "$2" : "");
  for (const auto& [name, value] : values) {
    const std::string placeholder = "{{" + name + "}}";
    for (auto at = text.find(placeholder); at != std::string::npos; at = text.find(placeholder)) {
      text.replace(at, placeholder.size(), value);
    }
  }
  return text;
}

TEST(templates, become_valid_settings) {
  for (const char* name : {"gateway.toml.in", "balancer.toml.in"}) {
    for (const char* grace_s : {"8", "7.5"}) {
      const std::string text =
          fill_placeholders(read_file(std::string(CUMINPATH_SOURCE_DIR "/deploy/") + name), grace_s,
                            std::string_view(grace_s) == "8");
      EXPECT_EQ(text.find("{{"), std::string::npos) << text;
      for (const auto& error : check_settings(text, name)) {
        ADD_FAILURE() << to_string(error);
      }
    }
  }
}

TEST(check_settings, checks_the_settings_of_the_named_role) {
  EXPECT_FALSE(check_settings("role = 'gateway'\n", "f").empty());
  EXPECT_FALSE(check_settings("role = 'balancer'\n", "f").empty());
  EXPECT_FALSE(check_settings("role = 'something'\n", "f").empty());
  EXPECT_FALSE(check_settings("not toml", "f").empty());
}

}  // namespace
}  // namespace cuminpath::config
