// Brings each accepted configuration into force in this process. A core without input or output: events come
// in, actions go out.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/common/error.h"
#include "core/common/ids.h"
#include "core/common/json.h"
#include "core/common/random.h"
#include "core/common/time.h"
#include "core/config/manifest.h"
#include "core/wire/messages.h"

namespace cuminpath::rollout {

struct rollout_options {
  std::string name;  // Host name of this process.
  std::string availability_zone;
  bool may_read_store = true;  // Chosen entries poll the head row; agents never do.
};

// The head row of table `configuration`, key `head`: {"version":N,"index":DIGEST,...}.
struct head {
  configuration_version version{};
  std::string index_digest;
};

// Reads the value of the head row. Errors: invalid_input.
result<head> parse_head(const json& row_value);

// The entries of an availability zone that poll the head: three at most, the same wherever it is computed.
std::vector<std::string> pollers(std::string_view availability_zone,
                                 std::span<const std::string> entry_names);

struct read_head_row {};  // Read the head row; report with on_head() or on_head_failed().
struct fetch_object {     // From the object store; report with on_object() or on_object_failed().
  std::string digest;
};
struct send_message {
  std::string peer_address;
  wire::message message;
};
struct configuration_in_force {  // A newer configuration is complete.
  configuration_version version{};
  std::shared_ptr<const config::manifest> manifest;
};
using action = std::variant<read_head_row, fetch_object, send_message, configuration_in_force>;

// How a configuration_fetch is answered. Without digests: index and all sections. With digests of indexes
// that the sender holds completely, newest first: the difference to the first one that the answering process
// knows. With digests of sections: the index and the sections that are not named. With only unknown digests:
// the index alone, so that the sender can ask again by sections. An index is sent as its text or as a
// difference (see index_delta.h).
class rollout {
public:
  explicit rollout(rollout_options options);
  ~rollout();
  rollout(rollout&&) noexcept;
  rollout& operator=(rollout&&) noexcept;

  // Entries of the own availability zone (host names, live), for the choice of pollers.
  void set_local_entries(std::span<const std::string> entry_names);
  // Peers to ask while nothing is known yet, in order of preference: pollers of the own zone first.
  void set_peers(std::span<const std::string> peer_addresses);

  void on_head(time_point now, const head& value, std::vector<action>& actions);
  void on_head_failed(time_point now, std::vector<action>& actions);
  void on_object(time_point now, std::string_view digest, std::string content, std::vector<action>& actions);
  void on_object_failed(time_point now, std::string_view digest, std::vector<action>& actions);
  // Every envelope carries its sender's version.
  void on_peer_version(time_point now, std::string_view peer_address, configuration_version version,
                       std::vector<action>& actions);
  void on_fetch(time_point now, std::string_view peer_address, const wire::configuration_fetch& message,
                std::vector<action>& actions);
  void on_sections(time_point now, std::string_view peer_address, const wire::configuration_sections& message,
                   std::vector<action>& actions);
  void tick(time_point now, random_source& random, std::vector<action>& actions);

  // 0 until a first configuration is in force. Never decreases.
  [[nodiscard]] configuration_version version() const;

private:
  class impl;
  std::unique_ptr<impl> m_impl;
};

}  // namespace cuminpath::rollout
