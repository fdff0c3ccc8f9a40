// Conversion of values between Lua and JSON.
#pragma once

#include <lua.hpp>

#include "core/common/json.h"

namespace cuminpath::scenario {

// Returns the Lua value at a stack index as JSON. A table with a value at index 1 becomes an array, any other
// table an object. An empty table becomes an object unless its metatable has the field "array".
json to_json(lua_State* lua, int index);
// Pushes a JSON value on the Lua stack. null becomes nil; the indexes of arrays start at 1.
void push_json(lua_State* lua, const json& value);

}  // namespace cuminpath::scenario
