#include "scenario/lua_json.h"

namespace cuminpath::scenario {
namespace {

constexpr int k_max_nesting_depth = 32;

json value_to_json(lua_State* lua, int index, int depth);

bool is_array(lua_State* lua, int index) {
  if (lua_rawlen(lua, index) > 0) {
    return true;
  }
  if (luaL_getmetafield(lua, index, "array") != LUA_TNIL) {
    lua_pop(lua, 1);
    return true;
  }
  return false;
}

json table_to_json(lua_State* lua, int index, int depth) {
  if (depth > k_max_nesting_depth) {
    luaL_error(lua, "table is nested too deeply");
  }
  luaL_checkstack(lua, 4, "table is nested too deeply");
  if (is_array(lua, index)) {
    auto array = json::array();
    const auto size = static_cast<lua_Integer>(lua_rawlen(lua, index));
    for (lua_Integer position = 1; position <= size; ++position) {
      lua_rawgeti(lua, index, position);
      array.push_back(value_to_json(lua, lua_gettop(lua), depth + 1));
      lua_pop(lua, 1);
    }
    return array;
  }
  auto object = json::object();
  lua_pushnil(lua);
  while (lua_next(lua, index) != 0) {
    lua_pushvalue(lua, -2);  // lua_tostring converts a number in place, which would break lua_next.
    const std::string key = lua_tostring(lua, -1) == nullptr ? "" : lua_tostring(lua, -1);
    lua_pop(lua, 1);
    object[key] = value_to_json(lua, lua_gettop(lua), depth + 1);
    lua_pop(lua, 1);
  }
  return object;
}

json value_to_json(lua_State* lua, int index, int depth) {
  switch (lua_type(lua, index)) {
    case LUA_TBOOLEAN:
      return lua_toboolean(lua, index) != 0;
    case LUA_TNUMBER:
      if (lua_isinteger(lua, index) != 0) {
        return static_cast<std::int64_t>(lua_tointeger(lua, index));
      }
      return lua_tonumber(lua, index);
    case LUA_TSTRING: {
      std::size_t size = 0;
      const char* text = lua_tolstring(lua, index, &size);
      return std::string(text, size);
    }
    case LUA_TTABLE:
      return table_to_json(lua, index, depth);
    default:
      return json();
  }
}

}  // namespace

json to_json(lua_State* lua, int index) {
  return value_to_json(lua, lua_absindex(lua, index), 0);
}

void push_json(lua_State* lua, const json& value) {
  luaL_checkstack(lua, 4, "value is nested too deeply");
  if (value.is_boolean()) {
    lua_pushboolean(lua, value.get<bool>() ? 1 : 0);
  } else if (value.is_number_integer()) {
    lua_pushinteger(lua, value.get<lua_Integer>());
  } else if (value.is_number()) {
    lua_pushnumber(lua, value.get<double>());
  } else if (value.is_string()) {
    const auto& text = value.get_ref<const std::string&>();
    lua_pushlstring(lua, text.data(), text.size());
  } else if (value.is_array()) {
    lua_createtable(lua, static_cast<int>(value.size()), 0);
    lua_Integer position = 0;
    for (const auto& item : value) {
      push_json(lua, item);
      lua_rawseti(lua, -2, ++position);
    }
  } else if (value.is_object()) {
    lua_createtable(lua, 0, static_cast<int>(value.size()));
    for (const auto& [key, item] : value.items()) {
      lua_pushlstring(lua, key.data(), key.size());
      push_json(lua, item);
      lua_rawset(lua, -3);
    }
  } else {
    lua_pushnil(lua);
  }
}

}  // namespace cuminpath::scenario
