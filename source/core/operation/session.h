// Clients of the platform for a command, which waits for each answer.
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

struct endpoints {
  std::string table;
  std::string objects;
  std::string hosts;
};

class session {
public:
  explicit session(const endpoints& urls)
      : table(m_client, urls.table), objects(m_client, urls.objects), hosts(m_client, urls.hosts) {}

  // Starts an operation and waits for its result. Every client reports within its time limit.
  template <class value_type>
  result<value_type> wait(const std::function<void(std::function<void(result<value_type>)>)>& start) {
    std::optional<result<value_type>> done;
    start([&done](result<value_type> value) { done.emplace(std::move(value)); });
    run_while([&done] { return !done; });
    return std::move(*done);
  }

  // Starts `count` operations, at most `limit` at a time, and waits for all.
  void wait_for_all(std::size_t count, std::size_t limit,
                    const std::function<void(std::size_t index, std::function<void()> done)>& start);

  void pause(milliseconds span);

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
