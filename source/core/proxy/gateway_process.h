// The gateway role: proxies requests of callers to the upstreams that the platform lists.
#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "core/config/gateway_settings.h"
#include "core/http/client.h"
#include "core/proxy/platform_port.h"

namespace cuminpath::proxy {

// Creates the interface to the platform from the HTTP client and the settings of the gateway.
using platform_factory = std::function<std::unique_ptr<platform_port>(
    http::client& client, const config::gateway_settings& settings)>;

// Runs the gateway until a stop requested by SIGTERM or SIGINT has completed. Returns the exit code: 0 after
// a planned stop, 1 if an address cannot be bound. SIGHUP reloads `settings_file`.
int run_gateway(const config::gateway_settings& settings, const std::string& settings_file,
                const platform_factory& make_platform);

}  // namespace cuminpath::proxy
