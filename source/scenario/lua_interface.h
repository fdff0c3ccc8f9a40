// The Lua interface of the runner. The functions of tests/scenarios/support are built on it.
#pragma once

#include <lua.hpp>

#include "scenario/runner.h"

namespace cuminpath::scenario {

// Registers these functions and fields in the global table "runner". `target` must outlive the Lua state.
//   start(name, program, {argument,...})  -> pid
//   signal(name, "KILL"|"TERM"|"INT"|"HUP"|"STOP"|"CONT")
//   exit_status(name)                     -> nil while it runs; 128 + signal number if a signal ended it
//   output(name)                          -> what it has written to its standard output
//   free_address()                        -> "127.0.0.1:PORT"
//   open_forwarder(name, target)          -> address
//   cut(name), heal(name), delay(name, ms), reset(name)   set faults of a forwarder
//   request(table), http(table)           -> id
//   result(id)                            -> table, or nil until the request has ended
//   start_load(table)                     -> id
//   load_summary(id), stop_load(id)
//   poll(ms)                              runs asynchronous work for that time
//   now()                                 -> seconds on a monotonic clock
//   sha256(text), encode(value), decode(text), read_file(path), write_file(path, text)
//   split_manifest(text)                  -> {index = text, contents = {DIGEST = text}}
//   directory                             working directory of the scenario
void register_runner_functions(lua_State* lua, runner& target);

}  // namespace cuminpath::scenario
