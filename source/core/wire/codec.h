// MessagePack codec of the envelopes.
#pragma once

#include <span>
#include <string>

#include "core/common/error.h"
#include "core/wire/messages.h"

namespace cuminpath::wire {

// Bounds the memory that a malformed envelope can take. The largest legal content is a request body.
constexpr std::size_t k_max_envelope_bytes = 16U << 20U;

std::string encode(const envelope& value);

// Errors: invalid_input for anything but one whole, well-formed envelope.
result<envelope> decode(std::span<const std::byte> bytes);

}  // namespace cuminpath::wire
