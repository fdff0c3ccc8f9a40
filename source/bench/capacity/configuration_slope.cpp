// Measures the costs of a configuration and of its changes against the number of upstreams: the split into
// sections, the transfer between two processes, and the application of a configuration by an entry and an
// agent.
#include <fmt/format.h>

#include <functional>
#include <memory>
#include <optional>

#include "bench/capacity/measure.h"
#include "bench/capacity/sample_fleet.h"
#include "core/agent/agent_core.h"
#include "core/common/assert.h"
#include "core/common/hash.h"
#include "core/config/manifest_parser.h"
#include "core/entry/entry_core.h"
#include "core/rollout/rollout.h"
#include "core/wire/codec.h"

namespace cuminpath::bench {
namespace {

// Number of configuration changes per measurement. It exceeds the number of versions that a process keeps as
// bases for differences, so that the measured memory includes all of them.
constexpr int k_change_count = 40;
constexpr int k_max_ticks_per_rollout = 2000;
constexpr milliseconds k_tick_interval{10};

// A process that takes part in the rollout.
struct participant {
  std::string name;
  std::string address;
  rollout::rollout core;
  double cpu_time_us = 0;
  double bytes_sent = 0;
  std::shared_ptr<const config::manifest> manifest = {};
};

// A process that reads the store, and a follower that fetches configurations from that process.
class process_pair {
public:
  explicit process_pair(random_source& random)
      : m_random(random),
        m_store_reader{"entry-00000", "10.0.0.1:1", rollout::rollout({"entry-00000", zone_name(0), true})},
        m_follower{"host-00000", "10.0.0.2:1", rollout::rollout({"host-00000", zone_name(0), false})} {
    m_store_reader.core.set_local_entries(std::vector<std::string>{"entry-00000"});
  }

  // Rolls out a version until both processes have applied it.
  void roll_out(configuration_version version, const config::sections& sections) {
    const auto digest = sha256_hex(sections.index);
    run(
        m_store_reader,
        [&](auto& actions) {
          m_store_reader.core.on_head(m_now, {version, digest}, actions);
        },
        sections, digest);
    for (int i = 0; i < k_max_ticks_per_rollout && m_follower.core.version() < version; ++i) {
      m_now += k_tick_interval;
      for (auto* process : {&m_store_reader, &m_follower}) {
        run(
            *process, [&](auto& actions) { process->core.tick(m_now, m_random, actions); }, sections, digest);
      }
      run(
          m_follower,
          [&](auto& actions) {
            m_follower.core.on_peer_version(m_now, m_store_reader.address, m_store_reader.core.version(),
                                            actions);
          },
          sections, digest);
    }
    CUMINPATH_ASSERT(m_follower.core.version() == version);
  }

  [[nodiscard]] const participant& store_reader() const { return m_store_reader; }
  [[nodiscard]] const participant& follower() const { return m_follower; }
  void reset_counts() {
    for (auto* process : {&m_store_reader, &m_follower}) {
      process->cpu_time_us = 0;
      process->bytes_sent = 0;
    }
  }

private:
  using rollout_event = std::function<void(std::vector<rollout::action>&)>;

  // Passes an event to the process and performs the resulting actions. The event is a std::function and not a
  // template parameter, because the function calls itself with another lambda.
  void run(participant& process, const rollout_event& event, const config::sections& sections,
           const std::string& digest) {
    std::vector<rollout::action> actions;
    process.cpu_time_us += cpu_us_of([&] { event(actions); });
    for (auto& item : actions) {
      if (auto* fetch = std::get_if<rollout::fetch_object>(&item)) {
        auto content = fetch->digest == digest ? sections.index : sections.contents.at(fetch->digest);
        run(
            process,
            [&](auto& next_actions) {
              process.core.on_object(m_now, fetch->digest, std::move(content), next_actions);
            },
            sections, digest);
      } else if (auto* sent = std::get_if<rollout::send_message>(&item)) {
        process.bytes_sent += static_cast<double>(wire::encode({.messages = {sent->message}}).size());
        deliver(process, sent->message, sections, digest);
      } else if (auto* ready = std::get_if<rollout::configuration_in_force>(&item)) {
        process.manifest = std::move(ready->manifest);
      }
    }
  }

  void deliver(const participant& from, const wire::message& message, const config::sections& sections,
               const std::string& digest) {
    auto& to = &from == &m_store_reader ? m_follower : m_store_reader;
    run(
        to,
        [&](auto& actions) {
          if (const auto* fetch = std::get_if<wire::configuration_fetch>(&message)) {
            to.core.on_fetch(m_now, from.address, *fetch, actions);
          } else if (const auto* reply = std::get_if<wire::configuration_sections>(&message)) {
            to.core.on_sections(m_now, from.address, *reply, actions);
          }
        },
        sections, digest);
  }

  random_source& m_random;
  time_point m_now = k_start;
  participant m_store_reader;
  participant m_follower;
};

struct role_costs {
  double entry_state_bytes = 0;
  double entry_apply_us = 0;
  double entry_hosts_us = 0;
  double agent_state_bytes = 0;
  double agent_apply_us = 0;
};

role_costs measure_role_costs(const std::shared_ptr<const config::manifest>& manifest,
                              std::uint32_t upstreams, random_source& random) {
  role_costs costs;
  std::vector<entry::host_location> hosts;
  for (std::uint32_t i = 0; i < upstreams; ++i) {
    hosts.push_back(
        {fmt::format("host-{:05}", i), zone_name(i / k_ranks), region_name(i / k_ranks), peer_address(i)});
  }
  std::vector<entry::action> actions;
  entry::event_context context{k_start, random, actions};
  double heap_before = heap_bytes();
  entry::entry_core entry(
      {.name = "entry-00000", .availability_zone = zone_name(0), .region = region_name(0)});
  entry.on_configuration(context, configuration_version{1}, manifest);
  costs.entry_hosts_us = cpu_us_of([&] { entry.on_hosts(context, hosts); });
  costs.entry_state_bytes = heap_bytes() - heap_before;
  costs.entry_apply_us =
      cpu_us_of([&] { entry.on_configuration(context, configuration_version{2}, manifest); });
  std::vector<agent::action> agent_actions;
  heap_before = heap_bytes();
  agent::agent_core agent({.host = "host-00000"});
  agent.on_configuration(k_start, configuration_version{1}, manifest, agent_actions);
  costs.agent_state_bytes = heap_bytes() - heap_before;
  costs.agent_apply_us =
      cpu_us_of([&] { agent.on_configuration(k_start, configuration_version{2}, manifest, agent_actions); });
  return costs;
}

void measure(std::uint32_t upstreams) {
  random_source random(1);
  auto manifest = sample_manifest(upstreams, upstreams * k_full_size_workspaces / k_full_size_upstreams);
  config::sections sections;
  const double split_us = cpu_us_of([&] { sections = config::split_into_sections(manifest); });
  double manifest_bytes = static_cast<double>(sections.index.size());
  for (const auto& [digest, content] : sections.contents) {
    manifest_bytes += static_cast<double>(content.size());
  }
  const double heap_before = heap_bytes();
  process_pair processes(random);
  processes.roll_out(configuration_version{1}, sections);
  const double first_us = processes.follower().cpu_time_us;
  const double first_bytes = processes.store_reader().bytes_sent;
  processes.reset_counts();
  // Each version changes one upstream. The stride keeps the changed upstreams apart.
  for (int i = 0; i < k_change_count; ++i) {
    auto& changed = manifest.upstreams[static_cast<std::size_t>(i) * 31 % upstreams];
    changed.slots = changed.slots == 8 ? 7 : 8;
    sections = config::split_into_sections(manifest);
    processes.roll_out(configuration_version{static_cast<std::uint64_t>(i) + 2}, sections);
  }
  const double state_bytes_per_process = (heap_bytes() - heap_before) / 2;
  const role_costs costs = measure_role_costs(processes.follower().manifest, upstreams, random);
  print_point("configuration", "upstreams", upstreams,
              {{"manifest_bytes", manifest_bytes},
               {"index_bytes", static_cast<double>(sections.index.size())},
               {"split_us", split_us},
               {"rollout_state_bytes", state_bytes_per_process},
               {"first_transfer_bytes", first_bytes},
               {"first_join_us", first_us},
               {"change_reply_bytes", processes.store_reader().bytes_sent / k_change_count},
               {"change_ask_bytes", processes.follower().bytes_sent / k_change_count},
               {"change_poller_us", processes.store_reader().cpu_time_us / k_change_count},
               {"change_follower_us", processes.follower().cpu_time_us / k_change_count},
               {"entry_in_force_us", costs.entry_apply_us},
               {"entry_hosts_us", costs.entry_hosts_us},
               {"entry_core_bytes", costs.entry_state_bytes},
               {"agent_in_force_us", costs.agent_apply_us},
               {"agent_core_bytes", costs.agent_state_bytes}});
}

}  // namespace

void configuration_slope() {
  for (const std::uint32_t upstreams : {1536U, 3008U, 6016U, 12000U}) {
    measure(upstreams);
  }
}

}  // namespace cuminpath::bench
