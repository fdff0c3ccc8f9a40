// What a gateway needs of the platform it runs on. The implementation translates; it decides nothing.
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
#include "core/gateway/header_names.h"
#include "core/gateway/member_list.h"
#include "core/gateway/mirror.h"
#include "core/gateway/upstream_table.h"

namespace cuminpath::proxy {

class platform_port {
public:
  virtual ~platform_port() = default;

  struct events {
    // The mirror has changed.
    std::function<void()> changed;
    // A call to the store was answered, or not; `reason` says why not.
    std::function<void(bool answered, std::string_view reason)> contact;
  };
  // Starts to follow the store. The mirror outlives this object.
  virtual void start(gateway::mirror& target, events handlers) = 0;
  // Issues the calls that are due. Called several times a second.
  virtual void tick(time_point now, random_source& random) = 0;
  // Reads everything again, because calls under way may be out of date.
  virtual void restart_reading(time_point now) = 0;

  // Whether the store is read at all; a gateway that does not read it takes changes from others.
  virtual void set_reading(bool reading) = 0;
  // Number of gateways that read the store, this one included. Changes that one of them sees reach the
  // others, so the calls to the store can be spread over them.
  virtual void set_readers(std::size_t count) = 0;

  // Keeps this gateway's row in the store until withdraw().
  virtual void announce(const gateway::member_report& self) = 0;
  virtual void withdraw() = 0;
  // Removes the row of a gateway that is gone.
  virtual void remove_member(std::string_view name) = 0;

  // Null if the mirror holds no configuration. Errors: invalid_input.
  [[nodiscard]] virtual result<std::shared_ptr<const gateway::configuration>> read_configuration(
      const gateway::mirror& source) const = 0;
  // Rows that cannot be read are skipped; their number is added to `skipped`.
  [[nodiscard]] virtual std::vector<gateway::upstream_record> read_upstreams(const gateway::mirror& source,
                                                                             std::size_t& skipped) const = 0;
  [[nodiscard]] virtual std::vector<gateway::member_report> read_members(const gateway::mirror& source) = 0;

  [[nodiscard]] virtual gateway::header_names header_names() const = 0;
  // Paths of the calls that the platform and callers make.
  [[nodiscard]] virtual std::string directory_path() const = 0;
  [[nodiscard]] virtual std::string ready_path() const = 0;
  [[nodiscard]] virtual std::string directory_answer(std::span<const std::string> addresses,
                                                     milliseconds ttl) const = 0;
};

}  // namespace cuminpath::proxy
