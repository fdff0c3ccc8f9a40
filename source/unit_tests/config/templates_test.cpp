// The templates of deploy/ are settings once the platform has filled them in.

#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <map>
#include <regex>

#include "core/config/settings_check.h"

namespace cuminpath::config {
namespace {

std::string read(const std::string& path) {
  std::ifstream file(path);
  EXPECT_TRUE(file) << path;
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

// Fills in values of the kinds that the platform has for its fields.
std::string filled(std::string text) {
  const std::map<std::string, std::string> values = {{"bounds.graceS", "8"},
                                                     {"bounds.retryBudgetRatio", "0.2"},
                                                     {"bounds.retryBudgetBurst", "207"},
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
  for (const auto& [name, value] : values) {
    const std::string placeholder = "{{" + name + "}}";
    for (auto at = text.find(placeholder); at != std::string::npos; at = text.find(placeholder)) {
      text.replace(at, placeholder.size(), value);
    }
  }
  return text;
}

TEST(templates, become_settings_without_an_error) {
  for (const char* name : {"gateway.toml.in", "balancer.toml.in"}) {
    const std::string text = filled(read(std::string(CUMINPATH_SOURCE_DIR "/deploy/") + name));
    EXPECT_EQ(text.find("{{"), std::string::npos) << text;
    for (const auto& error : check_settings(text, name)) {
      ADD_FAILURE() << to_string(error);
    }
  }
}

TEST(check_settings, goes_by_the_role) {
  EXPECT_FALSE(check_settings("role = 'gateway'\n", "f").empty());
  EXPECT_FALSE(check_settings("role = 'balancer'\n", "f").empty());
  EXPECT_FALSE(check_settings("role = 'something'\n", "f").empty());
  EXPECT_FALSE(check_settings("not toml", "f").empty());
}

}  // namespace
}  // namespace cuminpath::config
