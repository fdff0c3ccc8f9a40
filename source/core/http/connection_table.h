// Connections of a server of RESTinio and what they hold. For server.cpp only.
#pragma once

#include <sys/socket.h>

#include <algorithm>
#include <memory>
#include <restinio/all.hpp>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "core/common/time.h"

namespace cuminpath::http {

using connection_id = restinio::connection_id_t;

class connection_responder;

// What an open connection has sent of a request that is not complete.
struct connection_use {
  int descriptor = -1;
  std::size_t incomplete_bytes = 0;
  time_point last_progress{};  // Accepted, last read or last complete request.
  bool given_up = false;
};

// The open connections of a server and the bounds on them.
struct connection_table {
  std::unordered_set<connection_id> open;
  std::unordered_map<connection_id, std::shared_ptr<connection_use>> uses;
  std::size_t max_connections = 0;
  std::size_t max_incomplete_bytes = 0;
  std::size_t incomplete_bytes = 0;
  // Responses in progress, used to notify them when their connection closes.
  std::unordered_map<connection_id, std::weak_ptr<connection_responder>> responders;
  bool close_after_responses = false;

  // Gives up the connection without progress for longest, of those that hold at least `min_bytes` and have no
  // request in service. Its pending read ends, upon which RESTinio closes it. Returns false if there is none.
  bool give_up_one(std::size_t min_bytes, time_point latest_progress) {
    connection_use* chosen = nullptr;
    for (const auto& [id, use] : uses) {
      if (!use->given_up && use->incomplete_bytes >= min_bytes && use->last_progress <= latest_progress &&
          !responders.contains(id) && (chosen == nullptr || use->last_progress < chosen->last_progress)) {
        chosen = use.get();
      }
    }
    if (chosen != nullptr) {
      chosen->given_up = true;
      ::shutdown(chosen->descriptor, SHUT_RD);
    }
    return chosen != nullptr;
  }

  void on_read(connection_use& use, std::size_t size, time_point now) {
    use.last_progress = now;
    use.incomplete_bytes += size;
    incomplete_bytes += size;
    if (incomplete_bytes > max_incomplete_bytes) {
      give_up_one(std::max<std::size_t>(incomplete_bytes / std::max<std::size_t>(uses.size(), 1), 1), now);
    }
  }

  void on_request(connection_id id, time_point now) {
    if (const auto found = uses.find(id); found != uses.end()) {
      incomplete_bytes -= std::exchange(found->second->incomplete_bytes, 0);
      found->second->last_progress = now;
    }
  }

  void on_closed(connection_id id) {
    on_request(id, {});
    uses.erase(id);
    open.erase(id);
  }
};

// Reports the bytes that RESTinio reads from a connection.
class counted_socket : public restinio::asio_ns::ip::tcp::socket {
public:
  using socket_type = restinio::asio_ns::ip::tcp::socket;
  explicit counted_socket(socket_type socket) : socket_type(std::move(socket)) {}
  counted_socket(socket_type socket, std::shared_ptr<connection_table> table,
                 std::shared_ptr<connection_use> use)
      : socket_type(std::move(socket)), m_table(std::move(table)), m_use(std::move(use)) {}

  template <typename Buffers, typename Handler>
  void async_read_some(const Buffers& buffers, Handler&& handler) {
    socket_type::async_read_some(buffers,
                                 [table = m_table, use = m_use, then = std::forward<Handler>(handler)](
                                     const restinio::asio_ns::error_code& failure, std::size_t size) mutable {
                                   if (!failure) {
                                     table->on_read(*use, size, clock::now());
                                   }
                                   then(failure, size);
                                 });
  }

private:
  std::shared_ptr<connection_table> m_table;
  std::shared_ptr<connection_use> m_use;
};

}  // namespace cuminpath::http
