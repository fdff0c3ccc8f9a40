// Asks another gateway for what its mirror of the store has and the own one lacks. One call at a time.
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

// Where gateways serve their mirror: POST with the versions that the caller has.
constexpr std::string_view k_mirror_path = "/mirror";

class mirror_client {
public:
  // Both outlive this object.
  mirror_client(http::client& client, mirror& target) : m_client(client), m_target(target) {}

  [[nodiscard]] bool asking() const { return m_asking; }
  // Calls `done` with whether the mirror has changed. Errors: unreachable, invalid_input. Does nothing while
  // a call is under way.
  void ask(const std::string& address, std::function<void(result<bool>)> done);

private:
  http::client& m_client;
  mirror& m_target;
  bool m_asking = false;
};

// Keeps a mirror up to date from seeds, for processes that only need it now and then.
class seed_reader {
public:
  seed_reader(http::client& client, mirror& target, std::vector<std::string> seeds)
      : m_client(client, target), m_seeds(std::move(seeds)) {}

  // Asks a seed, drawn at random, if the last one was asked `interval` ago.
  void tick(time_point now, milliseconds interval, random_source& random, std::function<void()> changed);

  // False once no seed has answered for a while; the store has to be read then.
  [[nodiscard]] bool answered_lately(time_point now, milliseconds interval) const;

private:
  mirror_client m_client;
  std::vector<std::string> m_seeds;
  std::optional<time_point> m_answered;  // At first, when the first seed was asked.
  time_point m_asked{};
};

}  // namespace cuminpath::gateway
