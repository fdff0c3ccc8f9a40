#include "core/gateway/member_list.h"

#include <algorithm>

#include "core/common/hash.h"
#include "core/common/json.h"

namespace cuminpath::gateway {
namespace {

constexpr int k_report_format = 3;
constexpr std::size_t k_max_loads = 512;
constexpr std::size_t k_max_collections = 16;
// Higher ages are all the same to a receiver.
constexpr milliseconds k_max_view_age{60000};
// Bounds of the interval that a report may state.
constexpr milliseconds k_min_report_interval{50};
constexpr milliseconds k_max_report_interval{20000};

json to_json(std::span<const std::uint32_t> hashes) {
  json list = json::array();
  for (const std::uint32_t hash : hashes.first(std::min(hashes.size(), silence_report::k_max_upstreams))) {
    list.push_back(hash);
  }
  return list;
}

std::vector<std::uint32_t> read_hashes(const json& list) {
  std::vector<std::uint32_t> hashes;
  for (std::size_t i = 0; i < std::min(list.size(), silence_report::k_max_upstreams); ++i) {
    hashes.push_back(list[i].get<std::uint32_t>());
  }
  return hashes;
}

// Name, era and number of each collection in turn.
json to_json(const collection_versions& versions) {
  json list = json::array();
  for (const auto& [name, version] : versions) {
    if (list.size() < 3 * k_max_collections) {
      list.insert(list.end(), {name, version.era, version.number});
    }
  }
  return list;
}

collection_versions read_versions(const json& list) {
  collection_versions versions;
  for (std::size_t i = 0; i < std::min(list.size(), 3 * k_max_collections); i += 3) {
    versions.insert_or_assign(
        list.at(i).get<std::string>(),
        store_version{list.at(i + 1).get<std::uint64_t>(), list.at(i + 2).get<std::uint64_t>()});
  }
  return versions;
}

// Names are written to the platform as JSON, which holds no other bytes than UTF-8.
bool is_host_name(std::string_view name) {
  return !name.empty() &&
         std::all_of(name.begin(), name.end(), [](unsigned char c) { return c > ' ' && c < '\x7f'; });
}

}  // namespace

std::string encode_report(const member_report& report) {
  json loads = json::array();
  for (std::size_t i = 0; i < std::min(report.loads.size(), k_max_loads); ++i) {
    loads.push_back(report.loads[i].upstream_hash);
    loads.push_back(report.loads[i].outstanding);
  }
  if (!report.silence.empty() || report.newest_changes) {
    // An element without a second one ends the pairs; gateways that do not know it, or not all of its parts,
    // ignore what they do not know.
    json last = json::array({to_json(report.silence.silent), to_json(report.silence.progressing)});
    if (report.newest_changes) {
      last.push_back(to_json(*report.newest_changes));
      last.push_back(std::clamp(report.view_age, milliseconds{0}, k_max_view_age).count());
    }
    loads.push_back(std::move(last));
  }
  const json document =
      json::array({k_report_format, report.name, report.incarnation, report.sequence, report.caller_address,
                   report.report_address, report.mirror_address, report.availability_zone,
                   static_cast<int>(report.state), report.mirror_version, report.reads_store,
                   report.store_disturbed, report.interval.count(), std::move(loads)});
  std::string bytes;
  json::to_msgpack(document, bytes);
  return bytes;
}

result<member_report> decode_report(std::string_view bytes) {
  const auto parsed = parse_msgpack(bytes);
  if (!parsed) {
    return parsed.error();
  }
  const json& document = parsed.value();
  try {
    if (!document.is_array() || document.size() != 14 || document[0] != k_report_format) {
      return make_error(error_code::invalid_input, "not a report of a gateway");
    }
    member_report report;
    report.name = document[1].get<std::string>();
    report.incarnation = document[2].get<std::uint64_t>();
    report.sequence = document[3].get<std::uint64_t>();
    report.caller_address = document[4].get<std::string>();
    report.report_address = document[5].get<std::string>();
    report.mirror_address = document[6].get<std::string>();
    report.availability_zone = document[7].get<std::string>();
    const int state = document[8].get<int>();
    if (state < 0 || state > static_cast<int>(member_state::leaving) || !is_host_name(report.name)) {
      return make_error(error_code::invalid_input, "report of a gateway with an unknown state or no name");
    }
    report.state = static_cast<member_state>(state);
    report.mirror_version = document[9].get<std::uint64_t>();
    report.reads_store = document[10].get<bool>();
    report.store_disturbed = document[11].get<bool>();
    report.interval = std::clamp(milliseconds(document[12].get<std::int64_t>()), k_min_report_interval,
                                 k_max_report_interval);
    const json& loads = document[13];
    for (std::size_t i = 0; i + 1 < loads.size() && i < 2 * k_max_loads; i += 2) {
      report.loads.push_back({loads[i].get<std::uint32_t>(), loads[i + 1].get<std::uint32_t>()});
    }
    if (loads.size() % 2 == 1) {
      const json& last = loads.back();
      report.silence = {.silent = read_hashes(last.at(0)), .progressing = read_hashes(last.at(1))};
      if (last.size() > 2) {
        report.newest_changes = read_versions(last.at(2));
      }
      if (last.size() > 3) {
        report.view_age = milliseconds(last.at(3).get<std::uint32_t>());
      }
    }
    return report;
  } catch (const json::exception& failure) {
    return make_error(error_code::invalid_input, failure.what());
  }
}

mirror_relation compare_mirrors(const member_report& other, const member_report& local) {
  static const collection_versions s_none;
  const collection_versions& known = local.newest_changes ? *local.newest_changes : s_none;
  if (!other.newest_changes) {
    if (std::any_of(known.begin(), known.end(), [](const auto& each) { return each.second.era > 0; })) {
      return mirror_relation::unusable;
    }
    return other.mirror_version > local.mirror_version    ? mirror_relation::newer
           : other.mirror_version == local.mirror_version ? mirror_relation::equal
                                                          : mirror_relation::older;
  }
  if (lacks_changes(known, *other.newest_changes)) {
    return mirror_relation::newer;
  }
  return lacks_changes(*other.newest_changes, known) ? mirror_relation::older : mirror_relation::equal;
}

member_list::outcome member_list::on_report(member_report report, time_point now) {
  const auto found = std::find_if(m_members.begin(), m_members.end(),
                                  [&](const member& known) { return known.report.name == report.name; });
  if (found == m_members.end()) {
    m_members.push_back({std::move(report), now});
    return outcome::joined;
  }
  const member_report& known = found->report;
  const bool same_incarnation = known.incarnation == report.incarnation;
  if (same_incarnation && report.sequence <= known.sequence) {
    return outcome::ignored;
  }
  const bool joined = !alive(*found, now) || !same_incarnation;
  const bool replaced =
      !same_incarnation && found->last_report_at != time_point{} && known.state != member_state::leaving;
  const bool changed = known.state != report.state;
  found->report = std::move(report);
  found->last_report_at = now;
  std::erase(m_notified_suspected, found->report.name);
  if (replaced) {
    return outcome::replaced;
  }
  return joined ? outcome::joined : changed ? outcome::state_changed : outcome::known;
}

void member_list::on_store_row(member_report report) {
  const auto found = std::find_if(m_members.begin(), m_members.end(),
                                  [&](const member& known) { return known.report.name == report.name; });
  if (found == m_members.end()) {
    m_members.push_back({std::move(report), time_point{}});
  } else if (found->last_report_at == time_point{}) {
    found->report = std::move(report);
  }
}

std::vector<std::string> member_list::take_suspected(time_point now) {
  std::vector<std::string> names;
  for (const member& known : m_members) {
    const bool notified = std::find(m_notified_suspected.begin(), m_notified_suspected.end(),
                                    known.report.name) != m_notified_suspected.end();
    if (known.last_report_at != time_point{} && !alive(known, now) && !notified) {
      names.push_back(known.report.name);
      m_notified_suspected.push_back(known.report.name);
    }
  }
  return names;
}

std::vector<std::string> member_list::remove_expired(time_point now) {
  std::vector<std::string> names;
  std::erase_if(m_members, [&](const member& known) {
    const bool removed =
        known.last_report_at != time_point{} && now - known.last_report_at > m_options.removal_timeout;
    if (removed) {
      names.push_back(known.report.name);
      std::erase(m_notified_suspected, known.report.name);
    }
    return removed;
  });
  return names;
}

std::vector<const member_list::member*> member_list::usable(std::string_view availability_zone,
                                                            std::size_t limit, time_point now) const {
  std::vector<const member*> found;
  for (const member& known : m_members) {
    if (known.report.state == member_state::ready && alive(known, now)) {
      found.push_back(&known);
    }
  }
  if (found.size() > limit) {
    const auto order = [&](const member* value) {
      return std::pair(value->report.availability_zone != availability_zone,
                       rendezvous_weight(availability_zone, value->report.name));
    };
    std::sort(found.begin(), found.end(), [&](auto* a, auto* b) { return order(a) < order(b); });
    found.resize(limit);
  }
  return found;
}

std::size_t member_list::count_alive(time_point now) const {
  return static_cast<std::size_t>(std::count_if(m_members.begin(), m_members.end(),
                                                [&](const member& known) { return alive(known, now); }));
}

std::size_t member_list::count_store_readers(const member_report& local, time_point now) const {
  return static_cast<std::size_t>(std::count_if(m_members.begin(), m_members.end(), [&](const member& known) {
    return known.report.reads_store && alive(known, now) &&
           compare_mirrors(known.report, local) != mirror_relation::unusable;
  }));
}

const member_list::member* member_list::find(std::string_view name) const {
  const auto found = std::find_if(m_members.begin(), m_members.end(),
                                  [&](const member& known) { return known.report.name == name; });
  return found == m_members.end() ? nullptr : &*found;
}

const member_list::member* member_list::find_newer_mirror(const member_report& local, time_point now,
                                                          random_source& random) const {
  const member* chosen = nullptr;
  std::size_t candidates = 0;
  bool chosen_preferred = false;
  for (const member& known : m_members) {
    if (!alive(known, now) || compare_mirrors(known.report, local) != mirror_relation::newer) {
      continue;
    }
    const bool preferred =
        known.report.reads_store && known.report.availability_zone == local.availability_zone;
    if (preferred && !chosen_preferred) {
      chosen_preferred = true;
      candidates = 0;
    }
    if (preferred == chosen_preferred && random_index(random, ++candidates) == 0) {
      chosen = &known;
    }
  }
  return chosen;
}

}  // namespace cuminpath::gateway
