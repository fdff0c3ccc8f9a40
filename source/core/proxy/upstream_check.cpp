#include "core/proxy/upstream_check.h"

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <utility>

#include <fmt/format.h>

#include "core/proxy/upstream_connection.h"

namespace cuminpath::proxy {

struct upstream_check::pending_check {
  pending_check(asio::io_context& context, const std::string& id)
      : upstream_id(id), connection(std::make_shared<upstream_connection>(context, id)), timer(context) {}

  std::string upstream_id;
  std::shared_ptr<upstream_connection> connection;
  asio::steady_timer timer;
  http::header_list headers;        // Of the response.
  std::vector<callback> callbacks;  // Empty once the check has finished.
};

upstream_check::upstream_check(asio::io_context& context, std::string path, milliseconds time_limit)
    : m_context(context), m_path(std::move(path)), m_time_limit(time_limit) {}

upstream_check::~upstream_check() = default;

void upstream_check::start(const std::string& upstream_id, const asio::ip::tcp::endpoint& peer,
                           callback done) {
  const auto running = std::find_if(m_pending.begin(), m_pending.end(),
                                    [&](const auto& each) { return each->upstream_id == upstream_id; });
  if (running != m_pending.end()) {
    (*running)->callbacks.push_back(std::move(done));
    return;
  }
  const auto check = std::make_shared<pending_check>(m_context, upstream_id);
  check->callbacks.push_back(std::move(done));
  m_pending.push_back(check);
  check->timer.expires_after(m_time_limit);
  check->timer.async_wait([this, check](std::error_code cancelled) {
    if (!cancelled) {
      finish(check, upstream_state::ended);
    }
  });
  const std::string request = fmt::format("GET {} HTTP/1.1\r\nHost: {}:{}\r\nConnection: close\r\n\r\n",
                                          m_path, peer.address().to_string(), peer.port());
  check->connection->connect(peer, m_time_limit, [this, check, request](std::string_view failure) {
    if (!failure.empty()) {
      finish(check, upstream_state::ended);
      return;
    }
    check->connection->send(
        request, nullptr, "", "", false,
        {.head = [check](message_head&& head) { check->headers = std::move(head.headers); },
         .end = [this, check] { finish(check, upstream_state::running); },
         .failed = [this, check](std::string_view) { finish(check, upstream_state::ended); }});
  });
}

void upstream_check::finish(const std::shared_ptr<pending_check>& check, upstream_state state) {
  const auto callbacks = std::exchange(check->callbacks, {});
  std::erase(m_pending, check);
  check->timer.cancel();
  check->connection->close();
  for (const callback& done : callbacks) {
    done(state, state == upstream_state::running ? check->headers : http::header_list{});
  }
}

}  // namespace cuminpath::proxy
