// Conversion of manifest entities to JSON objects. Private to this library.
#pragma once

#include "core/common/json.h"
#include "core/config/manifest.h"

namespace cuminpath::config {

// Converts an entity with all of its fields, including those that have their default value.
json to_row(const priority_class& value);
json to_row(const model& value);
json to_row(const group& value);
json to_row(const service& value);
json to_row(const workspace& value);
json to_row(const upstream& value);

}  // namespace cuminpath::config
