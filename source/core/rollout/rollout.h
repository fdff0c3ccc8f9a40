// Distributes each accepted configuration to the local process and brings it into force. The class does no
// input or output: it receives events and returns actions for the caller to execute.
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
  std::string name;  // Host name of the local process.
  std::string availability_zone;
  bool may_read_store = true;  // True for entries, which read the head row if selected; false for agents.
};

// Value of the row with key `head` in the table `configuration`: {"version":N,"index":DIGEST,...}.
struct head {
  configuration_version version{};
  std::string index_digest;
};

// Parses the value of the head row. Errors: invalid_input.
result<head> parse_head(const json& row_value);

// Selects the entries of an availability zone that read the head row, three at most. Every process that has
// the same list of names computes the same selection.
std::vector<std::string> select_store_readers(std::string_view availability_zone,
                                              std::span<const std::string> entry_names);

// Requests a read of the head row; the caller reports with on_head() or on_head_failed().
struct read_head_row {};
// Requests an object from the object store; the caller reports with on_object() or on_object_failed().
struct fetch_object {
  std::string digest;
};
struct send_message {
  std::string peer_address;
  wire::message message;
};
// Reports that a newer configuration is complete and in force.
struct configuration_in_force {
  configuration_version version{};
  std::shared_ptr<const config::manifest> manifest;
};
using action = std::variant<read_head_row, fetch_object, send_message, configuration_in_force>;

// Fetches new versions from peers and from the object store, and serves them to peers. The response to a
// configuration_fetch depends on the digests that the request names:
// - No digests: the index and all sections.
// - Digests of indexes that the requester has with all sections, newest first: the difference from the first
//   one that the responding process knows.
// - Digests of sections: the index and the sections that are not named.
// - Only unknown digests: the index alone, so that the requester can send a second request that names
//   sections.
// An index is sent as its text or as a difference (see index_delta.h).
class rollout {
public:
  explicit rollout(rollout_options options);
  ~rollout();
  rollout(rollout&&) noexcept;
  rollout& operator=(rollout&&) noexcept;

  // Sets the host names of the entries that are alive in the local availability zone; the store readers are
  // selected from them.
  void set_local_entries(std::span<const std::string> entry_names);
  // Sets the peers to ask until the first version is known, in order of preference: store readers of the
  // local availability zone first.
  void set_peers(std::span<const std::string> peer_addresses);

  void on_head(time_point now, const head& value, std::vector<action>& actions);
  void on_head_failed(time_point now, std::vector<action>& actions);
  void on_object(time_point now, std::string_view digest, std::string content, std::vector<action>& actions);
  void on_object_failed(time_point now, std::string_view digest, std::vector<action>& actions);
  // Handles the version that every envelope carries for its sender.
  void on_peer_version(time_point now, std::string_view peer_address, configuration_version version,
                       std::vector<action>& actions);
  void on_fetch(time_point now, std::string_view peer_address, const wire::configuration_fetch& message,
                std::vector<action>& actions);
  void on_sections(time_point now, std::string_view peer_address, const wire::configuration_sections& message,
                   std::vector<action>& actions);
  void tick(time_point now, random_source& random, std::vector<action>& actions);

  // Returns the version in force, 0 until there is one. It never decreases.
  [[nodiscard]] configuration_version version() const;

private:
  class impl;
  std::unique_ptr<impl> m_impl;
};

}  // namespace cuminpath::rollout
