// The balancer role: runs beside one rank of an expert-parallel group and keeps the group's experts evenly
// loaded.
#pragma once

#include <functional>
#include <memory>

#include "core/balancer/platform_port.h"
#include "core/config/balancer_settings.h"
#include "core/http/client.h"

namespace cuminpath::balancer {

using platform_factory = std::function<std::unique_ptr<platform_port>(
    http::client& client, const config::balancer_settings& settings)>;

// Runs a balancer until SIGTERM or SIGINT. It takes part in a switch under way until that has ended, for half
// of the grace period at most, and tells its group that it leaves; SIGINT during that time ends it at once.
// Returns the exit code: 0 after a planned stop, 1 if an address cannot be bound.
int run_balancer(const config::balancer_settings& settings, const platform_factory& make_platform);

}  // namespace cuminpath::balancer
