// Client of the platform's host list, which may lag behind the actual state of the hosts.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "core/common/error.h"
#include "core/common/time.h"
#include "core/http/client.h"

namespace cuminpath::storage {

enum class host_role : std::uint8_t { entry, agent };

struct host_entry {
  std::string name;
  host_role role = host_role::entry;
  std::string availability_zone;
  std::string region;
  std::string address;  // IP:PORT for callers; entries only.
  std::string peer_address;
  std::string admin_address;
  bool leaving = false;
};

struct host_list {
  std::uint64_t generation = 0;
  std::vector<host_entry> hosts;
};

class host_list_client {
public:
  host_list_client(http::client& client, std::string base_url, milliseconds timeout = milliseconds(2000));
  // Reads the host list, without its malformed hosts. Errors: not_found, unreachable, timed_out, internal.
  void fetch(std::function<void(result<host_list>)> done);

private:
  http::client& m_client;
  std::string m_base_url;
  milliseconds m_timeout;
};

}  // namespace cuminpath::storage
