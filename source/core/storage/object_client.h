// Client of the platform's object store, which is used only for content-addressed objects.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "core/common/error.h"
#include "core/common/time.h"
#include "core/http/client.h"

namespace cuminpath::storage {

class object_client {
public:
  object_client(http::client& client, std::string base_url, milliseconds timeout = milliseconds(5000));

  // Stores the content under its SHA-256 digest. Idempotent, so it may be repeated.
  void put(std::string content, std::function<void(result<void>)> done);
  // Reads the object with this digest. Errors: not_found; invalid_input if the content does not match the
  // digest; unreachable, timed_out.
  void fetch(std::string_view digest, std::function<void(result<std::string>)> done);

private:
  http::client& m_client;
  std::string m_base_url;
  milliseconds m_timeout;
};

}  // namespace cuminpath::storage
