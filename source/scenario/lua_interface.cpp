#include "scenario/lua_interface.h"

#include <csignal>
#include <fstream>
#include <sstream>

#include "core/common/hash.h"
#include "core/config/manifest_parser.h"
#include "scenario/lua_json.h"

namespace cuminpath::scenario {
namespace {

runner& runner_of(lua_State* lua) {
  return *static_cast<runner*>(lua_touserdata(lua, lua_upvalueindex(1)));
}

std::string string_argument(lua_State* lua, int index) {
  std::size_t size = 0;
  const char* text = luaL_checklstring(lua, index, &size);
  return {text, size};
}

void push_string(lua_State* lua, const std::string& text) {
  lua_pushlstring(lua, text.data(), text.size());
}

// Raises a Lua error. The Lua library is compiled as C++, so its errors are exceptions and destructors run.
int raise_error(lua_State* lua, const std::string& message) {
  return luaL_error(lua, "%s", message.c_str());
}

// Calls a function and turns its exceptions, such as those about the format of an argument, into errors of
// the script.
template <class function_type>
int call_with_lua_errors(lua_State* lua, function_type function) {
  std::string message;
  try {
    return function();
  } catch (const std::exception& failure) {  // Does not catch errors of Lua, which have another type.
    message = failure.what();
  }
  return raise_error(lua, message);
}

child_process& process_argument(lua_State* lua) {
  const auto name = string_argument(lua, 1);
  auto* process = runner_of(lua).find_process(name);
  if (process == nullptr) {
    raise_error(lua, "no process has the name " + name);
  }
  return *process;
}

forwarder& forwarder_argument(lua_State* lua) {
  const auto name = string_argument(lua, 1);
  auto* found = runner_of(lua).find_forwarder(name);
  if (found == nullptr) {
    raise_error(lua, "no forwarder has the name " + name);
  }
  return *found;
}

int start(lua_State* lua) {
  std::vector<std::string> arguments;
  if (lua_istable(lua, 3)) {
    for (const auto& item : to_json(lua, 3)) {
      arguments.push_back(item.is_string() ? item.get<std::string>() : item.dump());
    }
  }
  const auto pid = runner_of(lua).start(string_argument(lua, 1), string_argument(lua, 2), arguments);
  if (!pid) {
    return raise_error(lua, pid.error().message);
  }
  lua_pushinteger(lua, pid.value());
  return 1;
}

int send_signal(lua_State* lua) {
  static const std::map<std::string, int> s_numbers = {{"KILL", SIGKILL}, {"TERM", SIGTERM},
                                                       {"INT", SIGINT},   {"HUP", SIGHUP},
                                                       {"STOP", SIGSTOP}, {"CONT", SIGCONT}};
  const auto found = s_numbers.find(string_argument(lua, 2));
  if (found == s_numbers.end()) {
    return raise_error(lua, "unknown signal");
  }
  process_argument(lua).send_signal(found->second);
  return 0;
}

int exit_status(lua_State* lua) {
  if (const auto status = process_argument(lua).exit_status()) {
    lua_pushinteger(lua, *status);
  } else {
    lua_pushnil(lua);
  }
  return 1;
}

int output(lua_State* lua) {
  push_string(lua, runner_of(lua).output(string_argument(lua, 1)));
  return 1;
}

int free_address(lua_State* lua) {
  push_string(lua, runner_of(lua).free_address());
  return 1;
}

int open_forwarder(lua_State* lua) {
  const auto address = runner_of(lua).open_forwarder(string_argument(lua, 1), string_argument(lua, 2));
  if (!address) {
    return raise_error(lua, address.error().message);
  }
  push_string(lua, address.value());
  return 1;
}

int cut(lua_State* lua) {
  forwarder_argument(lua).cut();
  return 0;
}

int heal(lua_State* lua) {
  forwarder_argument(lua).heal();
  return 0;
}

int delay(lua_State* lua) {
  forwarder_argument(lua).set_delay(milliseconds(luaL_checkinteger(lua, 2)));
  return 0;
}

int reset(lua_State* lua) {
  forwarder_argument(lua).reset_connections();
  return 0;
}

int request(lua_State* lua) {
  return call_with_lua_errors(lua, [lua] {
    lua_pushinteger(lua, static_cast<lua_Integer>(runner_of(lua).send_request(to_json(lua, 1))));
    return 1;
  });
}

int http_request(lua_State* lua) {
  return call_with_lua_errors(lua, [lua] {
    lua_pushinteger(lua, static_cast<lua_Integer>(runner_of(lua).send_http(to_json(lua, 1))));
    return 1;
  });
}

int result_of(lua_State* lua) {
  push_json(lua, runner_of(lua).result_of(static_cast<std::uint64_t>(luaL_checkinteger(lua, 1))));
  return 1;
}

int start_load(lua_State* lua) {
  return call_with_lua_errors(lua, [lua] {
    lua_pushinteger(lua, static_cast<lua_Integer>(runner_of(lua).start_load(to_json(lua, 1))));
    return 1;
  });
}

int stop_load(lua_State* lua) {
  runner_of(lua).stop_load(static_cast<std::uint64_t>(luaL_checkinteger(lua, 1)));
  return 0;
}

int load_summary(lua_State* lua) {
  push_json(lua, runner_of(lua).load_summary(static_cast<std::uint64_t>(luaL_checkinteger(lua, 1))));
  return 1;
}

int poll(lua_State* lua) {
  runner_of(lua).poll(milliseconds(luaL_checkinteger(lua, 1)));
  return 0;
}

int now(lua_State* lua) {
  lua_pushnumber(lua, std::chrono::duration<double>(clock::now().time_since_epoch()).count());
  return 1;
}

int sha256(lua_State* lua) {
  push_string(lua, sha256_hex(string_argument(lua, 1)));
  return 1;
}

int encode(lua_State* lua) {
  push_string(lua, to_json(lua, 1).dump(-1, ' ', false, json::error_handler_t::replace));
  return 1;
}

int decode(lua_State* lua) {
  const auto parsed = parse_json(string_argument(lua, 1));
  if (!parsed) {
    return raise_error(lua, parsed.error().message);
  }
  push_json(lua, parsed.value());
  return 1;
}

int split_manifest(lua_State* lua) {
  const auto parsed = config::parse_manifest(string_argument(lua, 1), "manifest");
  if (!parsed.errors.empty()) {
    return raise_error(lua, config::to_string(parsed.errors.front()));
  }
  const auto parts = config::split_into_sections(parsed.value);
  push_json(lua, {{"index", parts.index}, {"contents", parts.contents}});
  return 1;
}

int read_file(lua_State* lua) {
  const auto path = string_argument(lua, 1);
  std::ifstream file(path);
  if (!file) {
    return raise_error(lua, "cannot read " + path);
  }
  std::ostringstream text;
  text << file.rdbuf();
  push_string(lua, text.str());
  return 1;
}

int write_file(lua_State* lua) {
  const auto path = string_argument(lua, 1);
  std::ofstream file(path);
  file << string_argument(lua, 2);
  file.close();
  if (!file) {
    return raise_error(lua, "cannot write " + path);
  }
  return 0;
}

}  // namespace

void register_runner_functions(lua_State* lua, runner& target) {
  const luaL_Reg functions[] = {{"start", start},
                                {"signal", send_signal},
                                {"exit_status", exit_status},
                                {"output", output},
                                {"free_address", free_address},
                                {"open_forwarder", open_forwarder},
                                {"cut", cut},
                                {"heal", heal},
                                {"delay", delay},
                                {"reset", reset},
                                {"request", request},
                                {"http", http_request},
                                {"result", result_of},
                                {"start_load", start_load},
                                {"stop_load", stop_load},
                                {"load_summary", load_summary},
                                {"poll", poll},
                                {"now", now},
                                {"sha256", sha256},
                                {"encode", encode},
                                {"decode", decode},
                                {"split_manifest", split_manifest},
                                {"read_file", read_file},
                                {"write_file", write_file},
                                {nullptr, nullptr}};
  lua_newtable(lua);
  lua_pushlightuserdata(lua, &target);
  luaL_setfuncs(lua, functions, 1);
  push_string(lua, target.directory());
  lua_setfield(lua, -2, "directory");
  lua_setglobal(lua, "runner");
}

}  // namespace cuminpath::scenario
