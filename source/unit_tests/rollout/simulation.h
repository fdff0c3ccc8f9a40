// Simulation of many processes with one rollout object each: virtual time, a table, an object store and lossy
// links.
#pragma once

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/common/hash.h"
#include "core/config/manifest_parser.h"
#include "core/rollout/rollout.h"
#include "core/wire/codec.h"

namespace cuminpath::rollout {

inline config::manifest make_manifest(std::size_t upstreams, std::uint32_t slots) {
  config::manifest value;
  value.classes.push_back({.name = "urgent"});
  value.models.push_back({.name = "m"});
  for (std::size_t i = 0; i < upstreams; ++i) {
    value.upstreams.push_back({.name = "engine-zone-1-" + std::to_string(i),
                               .host = "host-zone-1-" + std::to_string(i),
                               .kind = config::upstream_kind::engine,
                               .model_or_service = "m",
                               .group = "",
                               .rank = 0,
                               .slots = i == 0 ? slots : 16,
                               .checks_fencing = true});
  }
  return value;
}

struct simulation_options {
  std::size_t availability_zones = 3;
  std::size_t entries = 6;      // In each availability zone.
  std::size_t agents = 12;      // In each availability zone.
  std::size_t agent_links = 4;  // Entries that use an agent and exchange messages with it.
  double loss = 0;              // Share of messages and of requests to the platform that is lost.
  milliseconds interval{500};   // Time between two heartbeats on a link.
};

struct traffic {
  std::uint64_t messages = 0;  // Sent and received.
  std::uint64_t bytes = 0;     // Sent and received.
};

class simulation {
public:
  struct process {
    std::string name;
    std::string availability_zone;
    bool entry = false;
    bool alive = true;
    rollout core;
    std::vector<std::size_t> peers = {};  // Processes that it sends heartbeats to.
    configuration_version highest{};      // Kept across restarts of the process.
    traffic rollout_traffic = {};         // Messages of the rollout library and objects, without heartbeats.
  };

  simulation(simulation_options options, std::uint64_t seed) : m_options(options), m_random(seed) {
    for (std::size_t zone_index = 0; zone_index < options.availability_zones; ++zone_index) {
      for (std::size_t i = 0; i < options.entries + options.agents; ++i) {
        const bool entry = i < options.entries;
        const std::string availability_zone = "z" + std::to_string(zone_index);
        const std::string name = availability_zone + (entry ? "-entry-" : "-agent-") + std::to_string(i);
        processes.push_back(
            {name, availability_zone, entry, true, rollout({name, availability_zone, entry})});
      }
    }
    for (std::size_t i = 0; i < processes.size(); ++i) {
      connect_peers(i);
      restart(i);
      // Gives the ticks and heartbeats of each process a random phase.
      schedule(milliseconds(random_index(m_random, 10)), [this, i] { tick(i); });
      schedule(milliseconds(random_index(m_random, 500)), [this, i] { send_heartbeats(i); });
    }
  }

  // Replaces the process by a new one without any state.
  void restart(std::size_t index) {
    process& node = processes[index];
    node.alive = true;
    node.core = rollout({node.name, node.availability_zone, node.entry});
    std::vector<std::string> addresses;
    for (const std::size_t peer : node.peers) {
      addresses.push_back(processes[peer].name);
    }
    node.core.set_peers(addresses);
    update_local_entries(index);
  }

  // Reports the entries that are alive, as membership does once it suspects those that failed.
  void update_local_entries(std::size_t index) {
    std::vector<std::string> names;
    for (const process& other : processes) {
      if (other.entry && other.alive && other.availability_zone == processes[index].availability_zone) {
        names.push_back(other.name);
      }
    }
    processes[index].core.set_local_entries(names);
  }

  void apply(const config::manifest& value) {
    const config::sections parts = config::split_into_sections(value);
    for (const auto& [digest, content] : parts.contents) {
      objects[digest] = content;
    }
    objects[sha256_hex(parts.index)] = parts.index;
    head_row = {configuration_version{to_integer(head_row.version) + 1}, sha256_hex(parts.index)};
  }

  void run_for(milliseconds span) {
    const time_point end = now + span;
    while (!m_events.empty() && m_events.begin()->first <= end) {
      auto event = m_events.extract(m_events.begin());
      now = event.key();
      event.mapped()();
    }
    now = end;
  }

  // Runs until every process that is alive has the version of the head row, `limit` at most. Returns the time
  // that it took.
  milliseconds run_until_all_up_to_date(milliseconds limit) {
    const time_point begin = now;
    while (now < begin + limit && !all_up_to_date()) {
      run_for(milliseconds(10));
    }
    return std::chrono::duration_cast<milliseconds>(now - begin);
  }

  bool all_up_to_date() const {
    return std::all_of(processes.begin(), processes.end(), [this](const process& node) {
      return !node.alive || node.core.version() == head_row.version;
    });
  }

  std::vector<process> processes;
  head head_row;
  std::map<std::string, std::string, std::less<>> objects;
  bool table_available = true;
  bool object_store_available = true;
  bool availability_zones_connected = true;
  // Corrupts messages between processes if it is set.
  std::function<void(wire::message&)> corrupt_message;
  time_point now{};

private:
  void schedule(milliseconds delay, std::function<void()> run) {
    m_events.emplace(now + delay, std::move(run));
  }

  bool is_lost() { return std::uniform_real_distribution<double>(0, 1)(m_random) < m_options.loss; }

  // Sets the peers of a process. An entry has three entries of its availability zone and one of each other as
  // peers. An agent has some entries of its availability zone as peers, which have the agent as a peer too.
  void connect_peers(std::size_t index) {
    const std::size_t processes_per_zone = m_options.entries + m_options.agents;
    const std::size_t first = index / processes_per_zone * processes_per_zone;
    const std::size_t offset = index - first;
    process& node = processes[index];
    if (node.entry) {
      for (std::size_t k = 1; k <= std::min<std::size_t>(3, m_options.entries - 1); ++k) {
        node.peers.push_back(first + (offset + k) % m_options.entries);
      }
      for (std::size_t zone_index = 0; zone_index < m_options.availability_zones; ++zone_index) {
        if (zone_index * processes_per_zone != first) {
          node.peers.push_back(zone_index * processes_per_zone + offset);
        }
      }
      return;
    }
    for (std::size_t k = 0; k < m_options.agent_links; ++k) {
      const std::size_t entry = first + (offset * 7 + k) % m_options.entries;
      node.peers.push_back(entry);
      processes[entry].peers.push_back(index);
    }
  }

  void tick(std::size_t index) {
    if (processes[index].alive) {
      std::vector<action> actions;
      processes[index].core.tick(now, m_random, actions);
      execute(index, actions);
    }
    schedule(milliseconds(10), [this, index] { tick(index); });
  }

  void send_heartbeats(std::size_t index) {
    if (processes[index].alive) {
      for (const std::size_t peer : processes[index].peers) {
        send(index, peer, {});
      }
    }
    schedule(m_options.interval, [this, index] { send_heartbeats(index); });
  }

  void send(std::size_t from, std::size_t to, std::vector<wire::message> messages) {
    wire::envelope envelope{.sender = processes[from].name,
                            .sender_address = processes[from].name,
                            .version = processes[from].core.version(),
                            .messages = std::move(messages)};
    if (!envelope.messages.empty()) {
      count(from, to, envelope);
      if (corrupt_message) {
        corrupt_message(envelope.messages.front());
      }
    }
    const bool disconnected =
        !availability_zones_connected && processes[from].availability_zone != processes[to].availability_zone;
    if (!is_lost() && !disconnected) {
      schedule(milliseconds(1 + random_index(m_random, 3)),
               [this, from, to, envelope] { deliver(from, to, envelope); });
    }
  }

  void count(std::size_t from, std::size_t to, const wire::envelope& envelope) {
    const std::size_t bytes = wire::encode(envelope).size();
    for (const std::size_t end : {from, to}) {
      ++processes[end].rollout_traffic.messages;
      processes[end].rollout_traffic.bytes += bytes;
    }
  }

  void deliver(std::size_t from, std::size_t to, const wire::envelope& envelope) {
    process& receiver = processes[to];
    if (!receiver.alive) {
      return;
    }
    std::vector<action> actions;
    const std::string& peer = processes[from].name;
    receiver.core.on_peer_version(now, peer, envelope.version, actions);
    for (const wire::message& message : envelope.messages) {
      if (const auto* fetch = std::get_if<wire::configuration_fetch>(&message)) {
        receiver.core.on_fetch(now, peer, *fetch, actions);
      } else if (const auto* sections = std::get_if<wire::configuration_sections>(&message)) {
        receiver.core.on_sections(now, peer, *sections, actions);
      }
    }
    execute(to, actions);
  }

  void execute(std::size_t index, const std::vector<action>& actions) {
    for (const action& next : actions) {
      if (const auto* message = std::get_if<send_message>(&next)) {
        const auto to = std::find_if(processes.begin(), processes.end(), [&](const process& candidate) {
          return candidate.name == message->peer_address;
        });
        send(index, static_cast<std::size_t>(to - processes.begin()), {message->message});
      } else if (std::holds_alternative<read_head_row>(next)) {
        read_head(index);
      } else if (const auto* object = std::get_if<fetch_object>(&next)) {
        read_object(index, object->digest);
      } else {
        const auto& in_force = std::get<configuration_in_force>(next);
        EXPECT_GT(in_force.version, m_last_versions[index]) << "configuration went backwards";
        m_last_versions[index] = in_force.version;
        processes[index].highest = std::max(processes[index].highest, in_force.version);
      }
    }
  }

  template <class function>
  void respond(std::size_t index, milliseconds delay, function run) {
    schedule(delay, [this, index, run] {
      if (processes[index].alive) {
        std::vector<action> actions;
        run(processes[index].core, actions);
        execute(index, actions);
      }
    });
  }

  void read_head(std::size_t index) {
    ++head_reads;
    if (!table_available || is_lost()) {
      respond(index, milliseconds(2000),
              [this](rollout& core, std::vector<action>& actions) { core.on_head_failed(now, actions); });
      return;
    }
    // The row is read when the request arrives and reported later, so the reported value may be outdated.
    respond(index, milliseconds(2 + random_index(m_random, 50)),
            [this, value = head_row](rollout& core, std::vector<action>& actions) {
              core.on_head(now, value, actions);
            });
  }

  void read_object(std::size_t index, const std::string& digest) {
    const auto found = objects.find(digest);
    if (!object_store_available || found == objects.end() || is_lost()) {
      respond(index, milliseconds(100), [this, digest](rollout& core, std::vector<action>& actions) {
        core.on_object_failed(now, digest, actions);
      });
      return;
    }
    processes[index].rollout_traffic.messages += 2;
    processes[index].rollout_traffic.bytes += digest.size() + found->second.size();
    respond(index, milliseconds(5),
            [this, digest, content = found->second](rollout& core, std::vector<action>& actions) {
              core.on_object(now, digest, content, actions);
            });
  }

public:
  std::uint64_t head_reads = 0;
  // Permits a restarted process to start with an older version than it had before the restart.
  void reset_last_version(std::size_t index) { m_last_versions[index] = {}; }

private:
  simulation_options m_options;
  random_source m_random;
  std::multimap<time_point, std::function<void()>> m_events;
  std::map<std::size_t, configuration_version> m_last_versions;
};

}  // namespace cuminpath::rollout
