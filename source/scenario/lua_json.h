// Values between Lua and C++ as JSON.
#pragma once

#include <lua.hpp>

#include "core/common/json.h"

namespace cuminpath::scenario {

// A table with a value at 1 becomes an array, any other table an object; an empty table becomes an object
// unless its metatable has the field "array".
json to_json(lua_State* lua, int index);
// null becomes nil; arrays start at 1.
void push_json(lua_State* lua, const json& value);

}  // namespace cuminpath::scenario
