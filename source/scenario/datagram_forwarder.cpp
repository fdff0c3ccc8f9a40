#include "scenario/datagram_forwarder.h"

#include <asio/io_context.hpp>

#include "core/common/random.h"
#include "core/net/datagram_channel.h"

namespace cuminpath::scenario {

class datagram_forwarder::impl {
public:
  impl(std::string target, std::uint64_t seed) : m_target(std::move(target)), m_random(seed) {}

  result<void> open(asio::io_context& context, const std::string& listen_ip) {
    auto channel = net::datagram_channel::open(context, listen_ip + ":0",
                                               [this](std::string_view bytes) { forward(bytes); });
    if (!channel) {
      return channel.error();
    }
    m_channel = std::move(channel.value());
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

  [[nodiscard]] std::string address() const { return m_channel->address(); }
  void set_loss(double loss_ratio) { m_loss_ratio = loss_ratio; }

private:
  void forward(std::string_view bytes) {
    if (!std::bernoulli_distribution(m_loss_ratio)(m_random)) {
      m_channel->send(bytes, std::span(&m_target, 1));
    }
  }

  std::string m_target;
  random_source m_random;
  double m_loss_ratio = 0;
  std::unique_ptr<net::datagram_channel> m_channel;
};

result<std::unique_ptr<datagram_forwarder>> datagram_forwarder::start(asio::io_context& context,
                                                                      const std::string& target,
                                                                      const std::string& listen_ip,
                                                                      std::uint64_t seed) {
  auto implementation = std::make_unique<impl>(target, seed);
  if (const auto opened = implementation->open(context, listen_ip); !opened) {
    return opened.error();
  }
  return std::unique_ptr<datagram_forwarder>(new datagram_forwarder(std::move(implementation)));
}

datagram_forwarder::datagram_forwarder(std::unique_ptr<impl> implementation)
    : m_impl(std::move(implementation)) {}
datagram_forwarder::~datagram_forwarder() = default;

std::string datagram_forwarder::address() const {
  return m_impl->address();
}

void datagram_forwarder::set_loss(double loss_ratio) {
  m_impl->set_loss(loss_ratio);
}

}  // namespace cuminpath::scenario
