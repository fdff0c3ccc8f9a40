// Fetches from another gateway the changes that its mirror of the store has and the local one lacks. One call
// at a time.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/error.h"
#include "core/common/random.h"
#include "core/common/time.h"
#include "core/gateway/mirror.h"
#include "core/http/client.h"

namespace cuminpath::gateway {

// Path at which gateways serve their mirror: POST with the versions that the caller has.
constexpr std::string_view k_mirror_path = "/mirror";

class mirror_client {
public:
  // `client` and `target` must outlive this object.
  mirror_client(http::client& client, mirror& target) : m_client(client), m_target(target) {}

  [[nodiscard]] bool fetching() const { return m_call_in_progress; }
  // Fetches changes and calls `done` with whether the local mirror has changed. Errors: unreachable,
  // invalid_input. Does nothing while a call is in progress.
  void fetch(const std::string& address, std::function<void(result<bool>)> done);

private:
  http::client& m_client;
  mirror& m_target;
  bool m_call_in_progress = false;
};

// Keeps a mirror up to date from seed gateways, for processes that need it only occasionally.
class seed_reader {
public:
  seed_reader(http::client& client, mirror& target, std::vector<std::string> seeds)
      : m_client(client, target), m_seeds(std::move(seeds)) {}

  // Fetches changes from a random seed if the last request was sent at least `interval` ago.
  void tick(time_point now, milliseconds interval, random_source& random, std::function<void()> changed);

  // Returns false if no seed has responded for a while; the store has to be read then.
  [[nodiscard]] bool responded_recently(time_point now, milliseconds interval) const;

private:
  mirror_client m_client;
  std::vector<std::string> m_seeds;
  std::optional<time_point> m_last_response_at;  // Initially the time of the first request.
  time_point m_last_request_at{};
};

}  // namespace cuminpath::gateway
