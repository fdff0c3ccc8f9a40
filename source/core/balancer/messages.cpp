#include "core/balancer/messages.h"

#include <algorithm>
#include <span>

#include "core/common/json.h"

namespace cuminpath::balancer {
namespace {

constexpr int k_format_version = 4;
constexpr int k_report_kind = 1;
constexpr int k_directive_kind = 2;

json optional_number(const std::optional<std::uint64_t>& value) {
  return value ? json(*value) : json();
}

std::optional<std::uint64_t> read_optional(const json& from) {
  return from.is_null() ? std::nullopt : std::optional(from.get<std::uint64_t>());
}

json to_json(const engine_status& status) {
  return json::array({status.group, status.epoch, status.rank, status.ranks, status.open, status.busy,
                      status.step, status.map_version, optional_number(status.prepared),
                      status.armed ? json::array({status.armed->version, status.armed->step}) : json(),
                      optional_number(status.held)});
}

engine_status read_status(const json& from) {
  engine_status status;
  status.group = from.at(0).get<std::string>();
  status.epoch = from.at(1).get<std::uint64_t>();
  status.rank = from.at(2).get<std::uint32_t>();
  status.ranks = from.at(3).get<std::uint32_t>();
  status.open = from.at(4).get<bool>();
  status.busy = from.at(5).get<bool>();
  status.step = from.at(6).get<std::uint64_t>();
  status.map_version = from.at(7).get<std::uint64_t>();
  status.prepared = read_optional(from.at(8));
  if (!from.at(9).is_null()) {
    status.armed = armed_switch{from.at(9).at(0).get<std::uint64_t>(), from.at(9).at(1).get<std::uint64_t>()};
  }
  status.held = read_optional(from.at(10));
  return status;
}

// Loads are quantized to steps of a 255th of the highest load, one byte each. The planner needs no higher
// precision.
constexpr std::uint64_t k_load_steps = 255;

json encode_loads(const std::vector<std::uint64_t>& loads) {
  const std::uint64_t highest = loads.empty() ? 0 : *std::max_element(loads.begin(), loads.end());
  const std::uint64_t step = std::max<std::uint64_t>(1, (highest + k_load_steps - 1) / k_load_steps);
  std::vector<std::uint8_t> steps;
  steps.reserve(loads.size());
  for (const std::uint64_t load : loads) {
    steps.push_back(static_cast<std::uint8_t>(std::min(k_load_steps, (load + step / 2) / step)));
  }
  return json::array({step, json::binary(std::move(steps))});
}

std::vector<std::uint64_t> decode_loads(const json& from) {
  const auto step = from.at(0).get<std::uint64_t>();
  const auto& steps = from.at(1).get_binary();
  std::vector<std::uint64_t> loads(steps.size());
  std::transform(steps.begin(), steps.end(), loads.begin(),
                 [step](std::uint8_t load) { return load * step; });
  return loads;
}

// A map is encoded as bytes: the number of layers, the number of ranks, then for each rank of each layer the
// number of its experts and their ids. Numbers below 128 take one byte, others two. As nested arrays, the map
// of 96 ranks takes each rank longer to decode than to receive.
constexpr unsigned k_one_byte_limit = 128;

void append_number(std::vector<std::uint8_t>& bytes, std::size_t value) {
  if (value < k_one_byte_limit) {
    bytes.push_back(static_cast<std::uint8_t>(value));
    return;
  }
  constexpr std::size_t k_byte = 256;
  bytes.push_back(static_cast<std::uint8_t>(k_one_byte_limit + value / k_byte % k_one_byte_limit));
  bytes.push_back(static_cast<std::uint8_t>(value % k_byte));
}

json encode_map(const rank_map& map) {
  std::vector<std::uint8_t> bytes;
  append_number(bytes, map.size());
  append_number(bytes, map.empty() ? 0 : map.front().size());
  for (const auto& layer : map) {
    for (const auto& experts : layer) {
      append_number(bytes, experts.size());
      for (const std::uint32_t expert : experts) {
        append_number(bytes, expert);
      }
    }
  }
  return json::binary(std::move(bytes));
}

class number_reader {
public:
  explicit number_reader(std::span<const std::uint8_t> bytes) : m_bytes(bytes) {}

  // Returns the next number; absent at the end of the bytes.
  std::optional<std::uint16_t> next() {
    const std::size_t size = m_bytes.empty() || m_bytes[0] < k_one_byte_limit ? 1 : 2;
    if (m_bytes.size() < size) {
      return std::nullopt;
    }
    constexpr unsigned k_byte = 256;
    const auto value = static_cast<std::uint16_t>(
        size == 1 ? m_bytes[0] : (m_bytes[0] - k_one_byte_limit) * k_byte + m_bytes[1]);
    m_bytes = m_bytes.subspan(size);
    return value;
  }
  [[nodiscard]] bool at_end() const { return m_bytes.empty(); }

private:
  std::span<const std::uint8_t> m_bytes;
};

std::optional<rank_map> decode_map(std::span<const std::uint8_t> bytes) {
  number_reader in(bytes);
  const auto layers = in.next();
  const auto ranks = in.next();
  // Each rank takes at least one byte in each layer, so a size that exceeds the bytes is refused before
  // anything is allocated for it.
  if (!layers || !ranks || std::size_t{*layers} * *ranks > bytes.size()) {
    return std::nullopt;
  }
  rank_map map(*layers, std::vector<std::vector<std::uint32_t>>(*ranks));
  for (auto& layer : map) {
    for (auto& experts : layer) {
      const auto count = in.next();
      for (std::uint16_t i = 0; count && i < *count; ++i) {
        const auto expert = in.next();
        if (!expert) {
          return std::nullopt;
        }
        experts.push_back(*expert);
      }
      if (!count) {
        return std::nullopt;
      }
    }
  }
  return in.at_end() ? std::optional(std::move(map)) : std::nullopt;
}

json encode_switch_state(const rank_view& view) {
  return json::array({view.fenced.token, view.fenced.epoch, view.armed_token, view.armed_version,
                      view.checked.version, view.checked.round, view.latched.epoch, view.latched.version,
                      view.latched.leader});
}

void read_switch_state(const json& from, rank_view& view) {
  view.fenced = {.token = from.at(0).get<std::uint64_t>(), .epoch = from.at(1).get<std::uint64_t>()};
  view.armed_token = from.at(2).get<std::uint64_t>();
  view.armed_version = from.at(3).get<std::uint64_t>();
  view.checked = {.version = from.at(4).get<std::uint64_t>(), .round = from.at(5).get<std::uint32_t>()};
  view.latched = {.epoch = from.at(6).get<std::uint64_t>(),
                  .version = from.at(7).get<std::uint64_t>(),
                  .leader = from.at(8).get<std::uint32_t>()};
}

struct encoder {
  json operator()(const rank_report& value) const {
    return json::array({k_format_version, k_report_kind, value.host, value.incarnation, value.sequence,
                        value.report_address, value.engine_address, value.interval.count(), value.may_lead,
                        to_json(value.view.status), value.view.disarmed_token, value.view.disarmed_epoch,
                        value.view.refused_token, value.view.followed_token, encode_loads(value.loads),
                        value.experts ? json::array({value.experts->epoch, value.experts->map_version,
                                                     value.experts->experts})
                                      : json(),
                        encode_switch_state(value.view)});
  }
  json operator()(const group_directive& value) const {
    json body;
    if (value.value) {
      const directive& content = *value.value;
      body = json::array({static_cast<int>(content.kind), content.epoch, content.version, content.step,
                          content.holder, encode_map(content.map), content.leader, content.round,
                          content.absent ? json(*content.absent) : json()});
    }
    return json::array(
        {k_format_version, k_directive_kind, value.group, value.token, std::move(body), value.relay});
  }
};

rank_report read_report(const json& from) {
  rank_report report;
  report.host = from.at(2).get<std::string>();
  report.incarnation = from.at(3).get<std::uint64_t>();
  report.sequence = from.at(4).get<std::uint64_t>();
  report.report_address = from.at(5).get<std::string>();
  report.engine_address = from.at(6).get<std::string>();
  report.interval = milliseconds(from.at(7).get<std::int64_t>());
  report.may_lead = from.at(8).get<bool>();
  report.view.status = read_status(from.at(9));
  report.view.disarmed_token = from.at(10).get<std::uint64_t>();
  report.view.disarmed_epoch = from.at(11).get<std::uint64_t>();
  report.view.refused_token = from.at(12).get<std::uint64_t>();
  report.view.followed_token = from.at(13).get<std::uint64_t>();
  report.loads = decode_loads(from.at(14));
  if (const json& held = from.at(15); !held.is_null()) {
    report.experts = engine_experts{.epoch = held.at(0).get<std::uint64_t>(),
                                    .map_version = held.at(1).get<std::uint64_t>(),
                                    .experts = held.at(2).get<std::vector<std::vector<std::uint32_t>>>()};
  }
  read_switch_state(from.at(16), report.view);
  return report;
}

result<message> read_directive(const json& from) {
  group_directive read{.group = from.at(2).get<std::string>(),
                       .token = from.at(3).get<std::uint64_t>(),
                       .relay = from.at(5).get<std::vector<std::uint32_t>>()};
  const json& body = from.at(4);
  if (!body.is_null()) {
    const int kind = body.at(0).get<int>();
    if (kind <= static_cast<int>(phase::idle) || kind > static_cast<int>(phase::releasing)) {
      return make_error(error_code::invalid_input, "directive with an unknown phase");
    }
    auto map = decode_map(body.at(5).get_binary());
    if (!map) {
      return make_error(error_code::invalid_input, "directive with a malformed expert map");
    }
    read.value = directive{.kind = static_cast<phase>(kind),
                           .token = read.token,
                           .epoch = body.at(1).get<std::uint64_t>(),
                           .version = body.at(2).get<std::uint64_t>(),
                           .step = body.at(3).get<std::uint64_t>(),
                           .holder = body.at(4).get<std::uint32_t>(),
                           .leader = body.at(6).get<std::uint32_t>(),
                           .round = body.at(7).get<std::uint32_t>(),
                           .map = std::move(*map)};
    if (const json& absent = body.at(8); !absent.is_null()) {
      read.value->absent = absent.get<std::uint32_t>();
    }
  }
  return message(std::move(read));
}

}  // namespace

std::string encode(const message& value) {
  std::string bytes;
  json::to_msgpack(std::visit(encoder{}, value), bytes);
  return bytes;
}

result<message> decode(std::string_view bytes) {
  const auto parsed = parse_msgpack(bytes);
  if (!parsed) {
    return parsed.error();
  }
  const json& from = parsed.value();
  try {
    if (!from.is_array() || from.size() < 2 || from[0] != k_format_version) {
      return make_error(error_code::invalid_input, "not a balancer message of a supported format");
    }
    if (from[1] == k_report_kind) {
      return message(read_report(from));
    }
    if (from[1] == k_directive_kind) {
      return read_directive(from);
    }
    return make_error(error_code::invalid_input, "message of unknown kind");
  } catch (const json::exception& failure) {
    return make_error(error_code::invalid_input, failure.what());
  }
}

}  // namespace cuminpath::balancer
