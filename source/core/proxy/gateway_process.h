// The gateway role: serves callers directly from the upstreams that the platform lists.
#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "core/config/gateway_settings.h"
#include "core/http/client.h"
#include "core/proxy/platform_port.h"

namespace cuminpath::proxy {

using platform_factory = std::function<std::unique_ptr<platform_port>(
    http::client& client, const config::gateway_settings& settings)>;

// Runs until SIGTERM or SIGINT has been carried out. Returns the exit code: 0 after a planned stop, 1 if an
// address cannot be bound. `settings_file` is read again on SIGHUP.
int run_gateway(const config::gateway_settings& settings, const std::string& settings_file,
                const platform_factory& make_platform);

}  // namespace cuminpath::proxy
