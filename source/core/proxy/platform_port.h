// Interface between a gateway and the platform it runs on. Implementations only translate between the two and
// contain no decisions.
#pragma once

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "core/common/error.h"
#include "core/common/random.h"
#include "core/common/time.h"
#include "core/gateway/configuration.h"
#include "core/gateway/evacuation.h"
#include "core/gateway/header_names.h"
#include "core/gateway/member_list.h"
#include "core/gateway/mirror.h"
#include "core/gateway/upstream_table.h"

namespace cuminpath::proxy {

// Access to the store, the documents in it, and the names that the platform uses.
class platform_port {
public:
  virtual ~platform_port() = default;

  struct events {
    // Called after the mirror has changed.
    std::function<void()> mirror_changed;
    // Called after each call to the store. A call is answered if its response was used, or stated that there
    // is nothing newer; otherwise, `reason` says why it was not.
    std::function<void(bool answered, std::string_view reason)> store_call_finished;
    // Called when the mirror equals the store as of `at` or later.
    std::function<void(time_point at)> store_confirmed;
    // Called when the store begins to return versions of a table that are older than the known one.
    std::function<void()> store_versions_went_back;
    // Called when the store was restored from an older copy.
    std::function<void()> store_restored;
  };
  // Starts to copy the content of the store into `target`, which must outlive this object.
  virtual void start(gateway::mirror& target, events handlers) = 0;
  // Issues the calls to the store that are due. Called several times a second.
  virtual void tick(time_point now, random_source& random) = 0;
  // Reads the store again from the beginning, because responses in flight may be outdated.
  virtual void restart_store_reading(time_point now) = 0;

  // Turns reading of the store on or off. A gateway that does not read it receives the changes from other
  // gateways.
  virtual void set_store_reading(bool reading) = 0;
  // Sets the number of gateways that read the store, the local one included. Each of them forwards the
  // changes that it reads, so the calls to the store can be distributed over them.
  virtual void set_store_reader_count(std::size_t count) = 0;

  // Maintains the row of the local gateway in the store until withdraw().
  virtual void announce(const gateway::member_report& self) = 0;
  virtual void withdraw() = 0;
  // Removes the row of a gateway that is no longer a member.
  virtual void remove_member(std::string_view name) = 0;

  // Returns the configuration, or null if the mirror holds none. Errors: invalid_input.
  [[nodiscard]] virtual result<std::shared_ptr<const gateway::configuration>> read_configuration(
      const gateway::mirror& source) const = 0;
  // Returns the upstreams listed in the mirror. Skips rows that describe none, and logs which.
  [[nodiscard]] virtual gateway::upstream_list read_upstreams(const gateway::mirror& source) = 0;
  // Returns the availability zones that the operator has evacuated.
  [[nodiscard]] virtual gateway::evacuation_list read_evacuations(const gateway::mirror& source) const = 0;
  [[nodiscard]] virtual std::vector<gateway::member_report> read_members(const gateway::mirror& source) = 0;

  [[nodiscard]] virtual gateway::header_names header_names() const = 0;
  // HTTP paths that callers and the platform request from the gateway.
  [[nodiscard]] virtual std::string directory_path() const = 0;
  [[nodiscard]] virtual std::string ready_path() const = 0;
  // HTTP path of the status of an engine, which is served without delay also while the engine is full.
  [[nodiscard]] virtual std::string engine_status_path() const = 0;
  // Returns the body of the response that lists gateway addresses for callers.
  [[nodiscard]] virtual std::string directory_response_body(std::span<const std::string> addresses,
                                                            milliseconds ttl) const = 0;
};

}  // namespace cuminpath::proxy
