// Many rollout cores in one program on virtual time, with a table, an object store and lossy links.
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

struct world_options {
  std::size_t zones = 3;
  std::size_t entries = 6;      // For each zone.
  std::size_t agents = 12;      // For each zone.
  std::size_t agent_links = 4;  // Entries that use an agent and exchange messages with it.
  double loss = 0;              // Of messages and of requests to the platform.
  milliseconds interval{500};   // Between two messages on a link.
};

struct traffic {
  std::uint64_t messages = 0;  // Sent and received.
  std::uint64_t bytes = 0;
};

class world {
public:
  struct process {
    std::string name;
    std::string zone;
    bool entry = false;
    bool alive = true;
    rollout core;
    std::vector<std::size_t> peers = {};  // Processes that it sends heartbeats to.
    configuration_version highest{};      // Survives restarts of the process.
    traffic used = {};                    // By this library's own messages and objects.
  };

  world(world_options options, std::uint64_t seed) : m_options(options), m_random(seed) {
    for (std::size_t zone = 0; zone < options.zones; ++zone) {
      for (std::size_t i = 0; i < options.entries + options.agents; ++i) {
        const bool entry = i < options.entries;
        const std::string zone_name = "z" + std::to_string(zone);
        const std::string name = zone_name + (entry ? "-entry-" : "-agent-") + std::to_string(i);
        processes.push_back({name, zone_name, entry, true, rollout({name, zone_name, entry})});
      }
    }
    for (std::size_t i = 0; i < processes.size(); ++i) {
      link(i);
      restart(i);
      // Ticks and messages of different processes have different phases.
      at(milliseconds(random_index(m_random, 10)), [this, i] { tick(i); });
      at(milliseconds(random_index(m_random, 500)), [this, i] { talk(i); });
    }
  }

  // Replaces the process by a new one without any state.
  void restart(std::size_t index) {
    process& one = processes[index];
    one.alive = true;
    one.core = rollout({one.name, one.zone, one.entry});
    std::vector<std::string> addresses;
    for (const std::size_t peer : one.peers) {
      addresses.push_back(processes[peer].name);
    }
    one.core.set_peers(addresses);
    update_zone(index);
  }

  // What membership does once it suspects the processes that died.
  void update_zone(std::size_t index) {
    std::vector<std::string> names;
    for (const process& other : processes) {
      if (other.entry && other.alive && other.zone == processes[index].zone) {
        names.push_back(other.name);
      }
    }
    processes[index].core.set_local_entries(names);
  }

  void apply(const config::manifest& value) {
    const config::sections parts = config::split(value);
    for (const auto& [digest, content] : parts.contents) {
      objects[digest] = content;
    }
    objects[sha256_hex(parts.index)] = parts.index;
    row = {configuration_version{to_integer(row.version) + 1}, sha256_hex(parts.index)};
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

  // Time until every live process has the version of the head row; at most `limit`.
  milliseconds run_until_everywhere(milliseconds limit) {
    const time_point begin = now;
    while (now < begin + limit && !everywhere()) {
      run_for(milliseconds(10));
    }
    return std::chrono::duration_cast<milliseconds>(now - begin);
  }

  bool everywhere() const {
    return std::all_of(processes.begin(), processes.end(), [this](const process& one) {
      return !one.alive || one.core.version() == row.version;
    });
  }

  std::vector<process> processes;
  head row;
  std::map<std::string, std::string, std::less<>> objects;
  bool table_up = true;
  bool store_up = true;
  bool zones_connected = true;
  // Set to damage messages between processes.
  std::function<void(wire::message&)> damage;
  time_point now{};

private:
  void at(milliseconds delay, std::function<void()> run) { m_events.emplace(now + delay, std::move(run)); }

  bool lost() { return std::uniform_real_distribution<double>(0, 1)(m_random) < m_options.loss; }

  // Entries: three entries of the zone and one of each other zone. Agents: some entries of the zone, both
  // ways.
  void link(std::size_t index) {
    const std::size_t zone_size = m_options.entries + m_options.agents;
    const std::size_t first = index / zone_size * zone_size;
    const std::size_t own = index - first;
    process& one = processes[index];
    if (one.entry) {
      for (std::size_t k = 1; k <= std::min<std::size_t>(3, m_options.entries - 1); ++k) {
        one.peers.push_back(first + (own + k) % m_options.entries);
      }
      for (std::size_t zone = 0; zone < m_options.zones; ++zone) {
        if (zone * zone_size != first) {
          one.peers.push_back(zone * zone_size + own);
        }
      }
      return;
    }
    for (std::size_t k = 0; k < m_options.agent_links; ++k) {
      const std::size_t entry = first + (own * 7 + k) % m_options.entries;
      one.peers.push_back(entry);
      processes[entry].peers.push_back(index);
    }
  }

  void tick(std::size_t index) {
    if (processes[index].alive) {
      std::vector<action> actions;
      processes[index].core.tick(now, m_random, actions);
      execute(index, actions);
    }
    at(milliseconds(10), [this, index] { tick(index); });
  }

  void talk(std::size_t index) {
    if (processes[index].alive) {
      for (const std::size_t peer : processes[index].peers) {
        send(index, peer, {});
      }
    }
    at(m_options.interval, [this, index] { talk(index); });
  }

  void send(std::size_t from, std::size_t to, std::vector<wire::message> messages) {
    wire::envelope envelope{.sender = processes[from].name,
                            .sender_address = processes[from].name,
                            .version = processes[from].core.version(),
                            .messages = std::move(messages)};
    if (!envelope.messages.empty()) {
      count(from, to, envelope);
      if (damage) {
        damage(envelope.messages.front());
      }
    }
    const bool cut = !zones_connected && processes[from].zone != processes[to].zone;
    if (!lost() && !cut) {
      at(milliseconds(1 + random_index(m_random, 3)),
         [this, from, to, envelope] { deliver(from, to, envelope); });
    }
  }

  void count(std::size_t from, std::size_t to, const wire::envelope& envelope) {
    const std::size_t bytes = wire::encode(envelope).size();
    for (const std::size_t end : {from, to}) {
      ++processes[end].used.messages;
      processes[end].used.bytes += bytes;
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
    for (const action& one : actions) {
      if (const auto* message = std::get_if<send_message>(&one)) {
        const auto to = std::find_if(processes.begin(), processes.end(), [&](const process& candidate) {
          return candidate.name == message->peer_address;
        });
        send(index, static_cast<std::size_t>(to - processes.begin()), {message->message});
      } else if (std::holds_alternative<read_head_row>(one)) {
        read_head(index);
      } else if (const auto* object = std::get_if<fetch_object>(&one)) {
        read_object(index, object->digest);
      } else {
        const auto& in_force = std::get<configuration_in_force>(one);
        EXPECT_GT(in_force.version, m_last[index]) << "configuration went backwards";
        m_last[index] = in_force.version;
        processes[index].highest = std::max(processes[index].highest, in_force.version);
      }
    }
  }

  template <class function>
  void respond(std::size_t index, milliseconds delay, function run) {
    at(delay, [this, index, run] {
      if (processes[index].alive) {
        std::vector<action> actions;
        run(processes[index].core, actions);
        execute(index, actions);
      }
    });
  }

  void read_head(std::size_t index) {
    ++head_reads;
    if (!table_up || lost()) {
      respond(index, milliseconds(2000),
              [this](rollout& core, std::vector<action>& actions) { core.on_head_failed(now, actions); });
      return;
    }
    // The row is read when the request arrives and reported later, so a report may be out of date.
    respond(index, milliseconds(2 + random_index(m_random, 50)),
            [this, value = row](rollout& core, std::vector<action>& actions) {
              core.on_head(now, value, actions);
            });
  }

  void read_object(std::size_t index, const std::string& digest) {
    const auto found = objects.find(digest);
    if (!store_up || found == objects.end() || lost()) {
      respond(index, milliseconds(100), [this, digest](rollout& core, std::vector<action>& actions) {
        core.on_object_failed(now, digest, actions);
      });
      return;
    }
    processes[index].used.messages += 2;
    processes[index].used.bytes += digest.size() + found->second.size();
    respond(index, milliseconds(5),
            [this, digest, content = found->second](rollout& core, std::vector<action>& actions) {
              core.on_object(now, digest, content, actions);
            });
  }

public:
  std::uint64_t head_reads = 0;
  // A restarted process may start with an older version than its predecessor had.
  void forget(std::size_t index) { m_last[index] = {}; }

private:
  world_options m_options;
  random_source m_random;
  std::multimap<time_point, std::function<void()>> m_events;
  std::map<std::size_t, configuration_version> m_last;
};

}  // namespace cuminpath::rollout
