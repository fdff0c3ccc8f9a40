// The functions that a scenario calls. tests/scenarios/support builds the words of the test language on them.
#pragma once

#include <lua.hpp>

#include "scenario/runner.h"

namespace cuminpath::scenario {

// Registers the functions in the global table "runner". `target` must outlive the state.
//   start(name, program, {argument,...})  -> pid
//   signal(name, "KILL"|"TERM"|"STOP"|"CONT")
//   exit_status(name)                     -> nil while it runs; 128 + signal number if a signal ended it
//   output(name)                          -> text on its standard output
//   free_address()                        -> "127.0.0.1:PORT"
//   open_forwarder(name, target)          -> address
//   cut(name), heal(name), delay(name, ms), reset(name)   for forwarders
//   request(table), http(table)           -> id
//   result(id)                            -> table, or nil while it is open
//   start_load(table)                     -> id
//   load_summary(id), stop_load(id)
//   poll(ms), now()                       -> seconds on a monotonic clock
//   sha256(text), encode(value), decode(text), read_file(path), write_file(path, text)
//   split_manifest(text)                  -> {index = text, contents = {DIGEST = text}}
//   directory                             working directory of the scenario
void register_vocabulary(lua_State* lua, runner& target);

}  // namespace cuminpath::scenario
