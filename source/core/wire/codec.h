// MessagePack encoding and decoding of envelopes.
#pragma once

#include <span>
#include <string>

#include "core/common/error.h"
#include "core/wire/messages.h"

namespace cuminpath::wire {

// Limits the memory that a malformed envelope can use. The largest valid content is a request body.
constexpr std::size_t k_max_envelope_bytes = 16U << 20U;

std::string encode(const envelope& value);

// Decodes one envelope. Errors: invalid_input if the bytes are not exactly one well-formed envelope.
result<envelope> decode(std::span<const std::byte> bytes);

}  // namespace cuminpath::wire
