// What a balancer needs of the platform it runs on. The implementation translates; it decides nothing.
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

class platform_port {
public:
  virtual ~platform_port() = default;

  // Issues the calls to the store that are due. Called several times a second.
  virtual void tick(time_point now, random_source& random) = 0;

  // Of the service that the engine beside this balancer belongs to; absent until the store has been read.
  [[nodiscard]] virtual std::optional<gateway::expert_shape> shape() const = 0;
  // Says whether ranks of the group have not been heard of; their hosts are then looked up more often.
  virtual void set_group_complete(bool complete) = 0;
  // IP addresses of the hosts with engines of that service.
  [[nodiscard]] virtual std::vector<std::string> engine_hosts() const = 0;

  // An engine at IP:PORT.
  [[nodiscard]] virtual std::unique_ptr<engine_port> engine(std::string_view address) = 0;

  // Takes a fencing token for a group, higher than any before. Errors: conflict if another has taken one at
  // the same time, unreachable or refused if the store has not done it.
  virtual void take_token(std::string_view group, std::string_view holder,
                          std::function<void(result<std::uint64_t>)> done) = 0;
};

}  // namespace cuminpath::balancer
