#include "core/gateway/crash_report.h"

#include <algorithm>

#include "core/common/json.h"

namespace cuminpath::gateway {
namespace {

// Distinguishes the message from membership reports, whose formats have lower numbers.
constexpr int k_crash_report_format = 100;
constexpr hours k_max_age{24};

json encode_age(milliseconds age) {
  return std::clamp<milliseconds>(age, milliseconds{0}, k_max_age).count();
}

milliseconds decode_age(const json& value) {
  return std::clamp<milliseconds>(milliseconds(value.get<std::int64_t>()), milliseconds{0}, k_max_age);
}

routing::part_evidence decode_part(const json& document) {
  routing::part_evidence part{.part = document.at(0).get<routing::prompt_part>()};
  if (!document.at(1).is_null()) {
    part.last_output_age = decode_age(document.at(1));
  }
  const json& crashes = document.at(2);
  for (std::size_t i = 0; i + 1 < crashes.size(); i += 2) {
    part.crashes.push_back({crashes[i].get<routing::crash_id>(), decode_age(crashes[i + 1])});
  }
  return part;
}

}  // namespace

std::string encode_crash_report(const crash_report& report) {
  json parts = json::array();
  for (const auto& part : report.parts) {
    json crashes = json::array();
    for (const auto& crash : part.crashes) {
      crashes.push_back(crash.id);
      crashes.push_back(encode_age(crash.age));
    }
    parts.push_back(
        {part.part, part.last_output_age ? encode_age(*part.last_output_age) : json(), std::move(crashes)});
  }
  std::string bytes;
  json::to_msgpack(json::array({k_crash_report_format, report.sender, std::move(parts)}), bytes);
  return bytes;
}

result<crash_report> decode_crash_report(std::string_view bytes) {
  const auto parsed = parse_msgpack(bytes);
  if (!parsed) {
    return parsed.error();
  }
  const json& document = parsed.value();
  try {
    if (!document.is_array() || document.size() != 3 || document[0] != k_crash_report_format) {
      return make_error(error_code::invalid_input, "not a crash report");
    }
    crash_report report{.sender = document[1].get<std::string>()};
    if (document[2].size() > routing::k_max_exchanged_parts) {
      return make_error(error_code::invalid_input, "crash report with too many parts");
    }
    for (const json& part : document[2]) {
      report.parts.push_back(decode_part(part));
      if (report.parts.back().crashes.size() > routing::k_max_crashes_per_part) {
        return make_error(error_code::invalid_input, "crash report with too many crashes");
      }
    }
    return report;
  } catch (const json::exception& failure) {
    return make_error(error_code::invalid_input, failure.what());
  }
}

}  // namespace cuminpath::gateway
