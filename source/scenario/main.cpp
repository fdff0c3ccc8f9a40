// cuminpath-scenario FILE.lua: runs a Lua scenario against real processes on loopback addresses.
#include <unistd.h>

#include <atomic>
#include <boost/program_options.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <lua.hpp>

#include "scenario/lua_interface.h"
#include "scenario/runner.h"

namespace cuminpath::scenario {
namespace {

namespace options = boost::program_options;
namespace files = std::filesystem;

std::atomic<bool> s_interrupted = false;
time_point s_deadline;

// Hook that ends the script with an error when its timeout has passed or the program was interrupted.
void check_deadline(lua_State* lua, lua_Debug*) {
  if (s_interrupted) {
    luaL_error(lua, "interrupted");
  }
  if (clock::now() > s_deadline) {
    luaL_error(lua, "the scenario exceeded its timeout");
  }
}

int add_traceback(lua_State* lua) {
  luaL_traceback(lua, lua, lua_tostring(lua, 1), 1);
  return 1;
}

// Makes the script's support directory the search path of require() and loads the functions that every
// scenario uses.
bool load_support_functions(lua_State* lua, const files::path& script) {
  const auto support = files::absolute(script).parent_path() / "support" / "?.lua";
  lua_getglobal(lua, "package");
  lua_pushstring(lua, support.c_str());
  lua_setfield(lua, -2, "path");
  lua_pop(lua, 1);
  return luaL_dostring(lua, "require('language')") == LUA_OK;
}

bool run_script(lua_State* lua, const files::path& script) {
  lua_pushcfunction(lua, add_traceback);
  if (!load_support_functions(lua, script) || luaL_loadfile(lua, script.c_str()) != LUA_OK) {
    return false;
  }
  return lua_pcall(lua, 0, 0, 1) == LUA_OK;
}

int run(const files::path& script, const std::vector<std::string>& program_directories, seconds timeout) {
  auto directory = (files::temp_directory_path() / "cuminpath-scenario-XXXXXX").string();
  if (::mkdtemp(directory.data()) == nullptr) {
    std::cerr << "cannot create a directory in " << files::temp_directory_path() << "\n";
    return 1;
  }
  s_deadline = clock::now() + timeout;
  bool passed = false;
  {
    runner target(program_directories, directory);
    lua_State* lua = luaL_newstate();
    luaL_openlibs(lua);
    register_runner_functions(lua, target);
    constexpr int k_instructions_per_check = 1000;
    lua_sethook(lua, check_deadline, LUA_MASKCOUNT, k_instructions_per_check);
    passed = run_script(lua, script);
    if (!passed) {
      std::cout << "FAILED " << script.filename().string() << ": "
                << (lua_tostring(lua, -1) == nullptr ? "error" : lua_tostring(lua, -1)) << "\n"
                << target.log_tails();
    }
    target.kill_processes();
    lua_close(lua);
  }
  if (passed) {
    std::cout << "passed " << script.filename().string() << "\n";
  }
  std::error_code ignored;
  if (passed || std::getenv("CUMINPATH_KEEP_LOGS") == nullptr) {
    files::remove_all(directory, ignored);
  } else {
    std::cout << "logs: " << directory << "\n";
  }
  return passed ? 0 : 1;
}

int parse_and_run(int argc, char** argv) {
  options::options_description descriptions(
      "cuminpath-scenario FILE.lua [options]\n"
      "With CUMINPATH_KEEP_LOGS set, the logs of a failed scenario are kept");
  auto add = descriptions.add_options();
  add("help", "print this text");
  add("file", options::value<std::string>(), "scenario (also the first argument)");
  add("programs", options::value<std::vector<std::string>>()->default_value({"."}, "."),
      "directory with programs; may be repeated");
  add("timeout", options::value<int>()->default_value(120), "seconds until the scenario fails");
  options::positional_options_description positional;
  positional.add("file", 1);
  options::variables_map values;
  try {
    options::store(
        options::command_line_parser(argc, argv).options(descriptions).positional(positional).run(), values);
  } catch (const options::error& failure) {
    std::cerr << failure.what() << "\n";
    return 2;
  }
  if (values.count("help") > 0 || values.count("file") == 0) {
    std::cout << descriptions;
    return values.count("help") > 0 ? 0 : 2;
  }
  std::signal(SIGINT, [](int) { s_interrupted = true; });
  std::signal(SIGTERM, [](int) { s_interrupted = true; });
  return run(values["file"].as<std::string>(), values["programs"].as<std::vector<std::string>>(),
             seconds(values["timeout"].as<int>()));
}

}  // namespace
}  // namespace cuminpath::scenario

int main(int argc, char** argv) {
  return cuminpath::scenario::parse_and_run(argc, argv);
}
