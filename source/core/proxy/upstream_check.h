// Checks whether an upstream has ended, after a connection to it has broken.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/common/time.h"
#include "core/proxy/message_parser.h"

namespace cuminpath::proxy {

enum class upstream_state : std::uint8_t {
  running,  // It sent a complete response.
  ended,    // It did not within the time limit; a host that has lost power does not even refuse connections.
};

// Asks upstreams for their status. Checks of one upstream that overlap share one connection.
class upstream_check {
public:
  // The headers are those of the status; empty if there was none.
  using callback = std::function<void(upstream_state, const http::header_list& headers)>;

  // `path` is the HTTP path of the status that every upstream serves without delay.
  upstream_check(asio::io_context& context, std::string path, milliseconds time_limit);
  ~upstream_check();
  upstream_check(const upstream_check&) = delete;
  upstream_check& operator=(const upstream_check&) = delete;

  // Calls `done` once, at the latest after the time limit.
  void start(const std::string& upstream_id, const asio::ip::tcp::endpoint& peer, callback done);

private:
  struct pending_check;
  void finish(const std::shared_ptr<pending_check>& check, upstream_state state);

  asio::io_context& m_context;
  std::string m_path;
  milliseconds m_time_limit;
  std::vector<std::shared_ptr<pending_check>> m_pending;
};

}  // namespace cuminpath::proxy
