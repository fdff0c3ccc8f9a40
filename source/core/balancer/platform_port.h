// Interface between a balancer and the platform on which it runs. Implementations only translate calls and
// make no decisions.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/balancer/engine_port.h"
#include "core/common/error.h"
#include "core/common/random.h"
#include "core/common/time.h"
#include "core/gateway/configuration.h"

namespace cuminpath::balancer {

// A fencing token of a group.
struct acquired_token {
  std::uint64_t value = 0;
  // The last token that any process has acquired before; no other one was acquired in between. 0 if it is not
  // known.
  std::uint64_t previous = 0;
};

class platform_port {
public:
  virtual ~platform_port() = default;

  // Issues the store calls that are due. Called several times a second.
  virtual void tick(time_point now, random_source& random) = 0;

  // Returns the expert layout of the service to which the local engine belongs; absent until the store has
  // been read.
  [[nodiscard]] virtual std::optional<gateway::expert_layout> expert_layout() const = 0;
  // Sets whether all ranks of the group have reported. While some have not, their hosts are looked up more
  // often.
  virtual void set_all_ranks_reported(bool complete) = 0;
  // Returns the IP addresses of the hosts with engines of that service.
  [[nodiscard]] virtual std::vector<std::string> engine_hosts() const = 0;

  // Returns a port to the engine at `address`, which is IP:PORT.
  [[nodiscard]] virtual std::unique_ptr<engine_port> engine(std::string_view address) = 0;

  // Acquires a fencing token for a group that is higher than all earlier ones. Errors: conflict if another
  // process acquired one at the same time, unreachable or refused if the store did not execute the call.
  virtual void acquire_token(std::string_view group, std::string_view holder,
                             std::function<void(result<acquired_token>)> done) = 0;
};

}  // namespace cuminpath::balancer
