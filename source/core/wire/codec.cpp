#include "core/wire/codec.h"

#include <msgpack.hpp>
#include <optional>
#include <stdexcept>
#include <tuple>

namespace cuminpath::wire {
namespace {

constexpr std::uint8_t k_protocol_version = 1;
constexpr std::size_t k_max_nesting_depth = 16;
constexpr std::size_t k_max_container_items = 1U << 20U;

// Each overload lists the fields of one struct in wire order.

// clang-format off
template <class m> requires std::same_as<std::remove_const_t<m>, submit_request>
auto fields(m& v) {
  return std::tie(v.request_id, v.attempt, v.kind, v.workspace, v.priority_class, v.model_or_service, v.method,
                  v.path, v.headers, v.body, v.remaining_ms, v.expected_tokens, v.resume_index, v.resume_text,
                  v.repeatable, v.receiver);
}
template <class m> requires std::same_as<std::remove_const_t<m>, cancel_request>
auto fields(m& v) { return std::tie(v.request_id, v.attempt); }
template <class m> requires std::same_as<std::remove_const_t<m>, settle_attempt>
auto fields(m& v) { return std::tie(v.request_id, v.attempt); }
template <class m> requires std::same_as<std::remove_const_t<m>, subscribe_load>
auto fields(m& v) { return std::tie(v.lease_ms); }
template <class m> requires std::same_as<std::remove_const_t<m>, response_head>
auto fields(m& v) { return std::tie(v.request_id, v.attempt, v.status, v.headers); }
template <class m> requires std::same_as<std::remove_const_t<m>, response_chunk>
auto fields(m& v) { return std::tie(v.request_id, v.attempt, v.index, v.tokens, v.data); }
template <class m> requires std::same_as<std::remove_const_t<m>, response_end>
auto fields(m& v) { return std::tie(v.request_id, v.attempt, v.length); }
template <class m> requires std::same_as<std::remove_const_t<m>, refusal>
auto fields(m& v) {
  return std::tie(v.request_id, v.attempt, v.execution_state, v.reason, v.retry_after_ms, v.detail);
}
template <class m> requires std::same_as<std::remove_const_t<m>, attempt_status>
auto fields(m& v) { return std::tie(v.request_id, v.attempt, v.state, v.status, v.headers, v.body); }
template <class m> requires std::same_as<std::remove_const_t<m>, class_load>
auto fields(m& v) { return std::tie(v.priority_class, v.queued, v.running, v.expected_wait_ms); }
template <class m> requires std::same_as<std::remove_const_t<m>, load_report>
auto fields(m& v) {
  return std::tie(v.upstream, v.running, v.queued, v.slots, v.draining, v.upstream_healthy, v.classes);
}
template <class m> requires std::same_as<std::remove_const_t<m>, member_event>
auto fields(m& v) { return std::tie(v.name, v.incarnation_number, v.state); }
template <class m> requires std::same_as<std::remove_const_t<m>, heartbeat>
auto fields(m& v) { return std::tie(v.leaving, v.events); }
template <class m> requires std::same_as<std::remove_const_t<m>, configuration_fetch>
auto fields(m& v) { return std::tie(v.digests); }
template <class m> requires std::same_as<std::remove_const_t<m>, configuration_sections>
auto fields(m& v) { return std::tie(v.version, v.index, v.sections); }
template <class m> requires std::same_as<std::remove_const_t<m>, switch_prepare>
auto fields(m& v) { return std::tie(v.group, v.token, v.switch_id, v.digest, v.plan); }
template <class m> requires std::same_as<std::remove_const_t<m>, switch_prepared>
auto fields(m& v) { return std::tie(v.group, v.token, v.switch_id, v.rank, v.ready, v.step); }
template <class m> requires std::same_as<std::remove_const_t<m>, switch_arm>
auto fields(m& v) { return std::tie(v.group, v.token, v.switch_id, v.step); }
template <class m> requires std::same_as<std::remove_const_t<m>, switch_armed>
auto fields(m& v) { return std::tie(v.group, v.token, v.switch_id, v.rank, v.armed); }
template <class m> requires std::same_as<std::remove_const_t<m>, switch_commit>
auto fields(m& v) { return std::tie(v.group, v.token, v.switch_id); }
template <class m> requires std::same_as<std::remove_const_t<m>, switch_abort>
auto fields(m& v) { return std::tie(v.group, v.token, v.switch_id); }
template <class m> requires std::same_as<std::remove_const_t<m>, switch_query>
auto fields(m& v) { return std::tie(v.group, v.token); }
template <class m> requires std::same_as<std::remove_const_t<m>, switch_state>
auto fields(m& v) { return std::tie(v.group, v.token, v.rank, v.switch_id, v.phase, v.step, v.digest); }
template <class m> requires std::same_as<std::remove_const_t<m>, expert_load>
auto fields(m& v) { return std::tie(v.group, v.rank, v.step, v.step_ms, v.layers); }
template <class m> requires std::same_as<std::remove_const_t<m>, upstream_crash>
auto fields(m& v) { return std::tie(v.request_id, v.attempt, v.crash); }
template <class m> requires std::same_as<std::remove_const_t<m>, crash_record>
auto fields(m& v) { return std::tie(v.crash, v.age_ms); }
template <class m> requires std::same_as<std::remove_const_t<m>, suspected_part>
auto fields(m& v) { return std::tie(v.part, v.last_output_age_ms, v.crashes); }
template <class m> requires std::same_as<std::remove_const_t<m>, crash_evidence>
auto fields(m& v) { return std::tie(v.parts); }
// clang-format on

template <class type>
concept has_fields = requires(type& value) {
  fields(value);
};

using packer = msgpack::packer<msgpack::sbuffer>;

template <class type>
void write(packer& out, const type& value);

template <class first, class second>
void write(packer& out, const std::pair<first, second>& value) {
  out.pack_array(2);
  write(out, value.first);
  write(out, value.second);
}

template <class item>
void write(packer& out, const std::vector<item>& values) {
  out.pack_array(static_cast<std::uint32_t>(values.size()));
  for (const auto& value : values) {
    write(out, value);
  }
}

template <class type>
void write(packer& out, const type& value) {
  if constexpr (has_fields<const type>) {
    std::apply(
        [&out](const auto&... field) {
          out.pack_array(sizeof...(field));
          (write(out, field), ...);
        },
        fields(value));
  } else if constexpr (std::is_enum_v<type>) {
    out.pack(static_cast<std::underlying_type_t<type>>(value));
  } else {
    out.pack(value);
  }
}

// The read functions throw msgpack exceptions, which decode() converts to an error.
template <class type>
void read(const msgpack::object& in, type& value);

const msgpack::object_array& read_array(const msgpack::object& in) {
  if (in.type != msgpack::type::ARRAY) {
    throw msgpack::type_error();
  }
  return in.via.array;
}

template <class first, class second>
void read(const msgpack::object& in, std::pair<first, second>& value) {
  const auto& array = read_array(in);
  if (array.size != 2) {
    throw msgpack::type_error();
  }
  read(array.ptr[0], value.first);
  read(array.ptr[1], value.second);
}

template <class item>
void read(const msgpack::object& in, std::vector<item>& values) {
  const auto& array = read_array(in);
  values.resize(array.size);
  for (std::uint32_t i = 0; i < array.size; ++i) {
    read(array.ptr[i], values[i]);
  }
}

// Returns the highest valid value of an enumeration, or nothing if every integer of its type is valid.
template <class type>
constexpr std::optional<type> max_valid_value() {
  if constexpr (std::is_same_v<type, request_kind>) {
    return request_kind::service;
  } else if constexpr (std::is_same_v<type, execution>) {
    return execution::unknown;
  } else if constexpr (std::is_same_v<type, refusal_reason>) {
    return refusal_reason::agent_restarted;
  } else if constexpr (std::is_same_v<type, attempt_state>) {
    return attempt_state::failed;
  } else if constexpr (std::is_same_v<type, member_state>) {
    return member_state::leaving;
  } else if constexpr (std::is_same_v<type, switch_phase>) {
    return switch_phase::aborted;
  } else {
    return std::nullopt;
  }
}

template <class type>
void read(const msgpack::object& in, type& value) {
  if constexpr (has_fields<type>) {
    const auto& array = read_array(in);
    std::apply(
        [&array](auto&... field) {
          // Additional fields, which a newer peer may append, are ignored.
          if (array.size < sizeof...(field)) {
            throw msgpack::type_error();
          }
          std::uint32_t i = 0;
          (read(array.ptr[i++], field), ...);
        },
        fields(value));
  } else if constexpr (std::is_enum_v<type>) {
    std::underlying_type_t<type> integer{};
    in.convert(integer);
    if (max_valid_value<type>() &&
        integer > static_cast<std::underlying_type_t<type>>(*max_valid_value<type>())) {
      throw msgpack::type_error();
    }
    value = static_cast<type>(integer);
  } else {
    in.convert(value);
  }
}

template <std::size_t index>
void read_alternative(const msgpack::object& in, message& value) {
  read(in, value.emplace<index>());
}

template <std::size_t... indexes>
void read_message(const msgpack::object& in, message& value, std::index_sequence<indexes...>) {
  using reader = void (*)(const msgpack::object&, message&);
  constexpr reader k_alternative_readers[] = {&read_alternative<indexes>...};
  const auto& array = read_array(in);
  if (array.size != 2) {
    throw msgpack::type_error();
  }
  const auto index = array.ptr[0].as<std::size_t>();
  if (index >= sizeof...(indexes)) {
    throw msgpack::type_error();
  }
  k_alternative_readers[index](array.ptr[1], value);
}

envelope read_envelope(const msgpack::object& in) {
  const auto& array = read_array(in);
  if (array.size != 8 || array.ptr[0].as<std::uint8_t>() != k_protocol_version) {
    throw msgpack::type_error();
  }
  envelope value;
  read(array.ptr[1], value.sender);
  read(array.ptr[2], value.sender_address);
  read(array.ptr[3], value.sender_incarnation);
  read(array.ptr[4], value.sequence);
  read(array.ptr[5], value.version);
  read(array.ptr[6], value.logical_time);
  const auto& messages = read_array(array.ptr[7]);
  value.messages.resize(messages.size);
  for (std::uint32_t i = 0; i < messages.size; ++i) {
    read_message(messages.ptr[i], value.messages[i],
                 std::make_index_sequence<std::variant_size_v<message>>{});
  }
  return value;
}

}  // namespace

std::string encode(const envelope& value) {
  msgpack::sbuffer buffer;
  packer out(buffer);
  out.pack_array(8);
  out.pack(k_protocol_version);
  write(out, value.sender);
  write(out, value.sender_address);
  write(out, value.sender_incarnation);
  write(out, value.sequence);
  write(out, value.version);
  write(out, value.logical_time);
  out.pack_array(static_cast<std::uint32_t>(value.messages.size()));
  for (const auto& item : value.messages) {
    out.pack_array(2);
    out.pack(item.index());
    std::visit([&out](const auto& alternative) { write(out, alternative); }, item);
  }
  return {buffer.data(), buffer.size()};
}

result<envelope> decode(std::span<const std::byte> bytes) {
  if (bytes.size() > k_max_envelope_bytes) {
    return make_error(error_code::invalid_input, "envelope is too large");
  }
  try {
    const msgpack::unpack_limit limit(k_max_container_items, k_max_container_items, k_max_envelope_bytes,
                                      k_max_envelope_bytes, 0, k_max_nesting_depth);
    std::size_t offset = 0;
    const auto handle = msgpack::unpack(reinterpret_cast<const char*>(bytes.data()), bytes.size(), offset,
                                        nullptr, nullptr, limit);
    if (offset != bytes.size()) {
      return make_error(error_code::invalid_input, "unexpected bytes after the envelope");
    }
    return read_envelope(handle.get());
  } catch (const std::exception& exception) {
    return make_error(error_code::invalid_input, std::string("malformed envelope: ") + exception.what());
  }
}

}  // namespace cuminpath::wire
