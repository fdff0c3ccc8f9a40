// How Asio allocates the memory of handlers, as translation units with different includes see it.
#pragma once

namespace cuminpath::net {

// Tell whether it is std::aligned_alloc, in a unit that includes Asio before and after the standard library.
bool aligned_alloc_with_asio_first();
bool aligned_alloc_with_asio_last();

}  // namespace cuminpath::net
