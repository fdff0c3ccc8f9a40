// Synchronous access to the platform for commands.
#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <optional>
#include <string>

#include "core/common/error.h"
#include "core/http/client.h"
#include "core/storage/host_list_client.h"
#include "core/storage/object_client.h"
#include "core/storage/table_client.h"

namespace cuminpath::operation {

// URLs of the platform services; empty if not given.
struct endpoints {
  std::string table;
  std::string objects;
  std::string hosts;
};

// Runs the clients of the platform on an event loop of its own and blocks until they have finished.
class platform_session {
public:
  explicit platform_session(const endpoints& urls)
      : table(m_client, urls.table), objects(m_client, urls.objects), hosts(m_client, urls.hosts) {}

  // Starts an operation and waits for its result. Waits without a timeout, as every client reports a result
  // within a timeout of its own.
  template <class value_type>
  result<value_type> wait(const std::function<void(std::function<void(result<value_type>)>)>& start) {
    std::optional<result<value_type>> done;
    start([&done](result<value_type> value) { done.emplace(std::move(value)); });
    run_while([&done] { return !done; });
    return std::move(*done);
  }

  // Starts `count` operations, at most `max_in_flight` at a time, and waits for all of them.
  void wait_for_all(std::size_t count, std::size_t max_in_flight,
                    const std::function<void(std::size_t index, std::function<void()> done)>& start);

  // Blocks for `duration`.
  void pause(milliseconds duration);

  http::client& client() { return m_client; }

private:
  void run_while(const std::function<bool()>& condition);

  asio::io_context m_context;
  http::client m_client{m_context};

public:
  storage::table_client table;
  storage::object_client objects;
  storage::host_list_client hosts;
};

}  // namespace cuminpath::operation
