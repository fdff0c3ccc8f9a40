// Messages between processes over nng. A mailbox listens on one PULL socket and holds one PUSH socket for
// each peer that it sends to. Each link is reported as lost at both ends, because messages that were on it
// may be lost without a later one that would show the gap. All functions and callbacks run on the thread of
// the io_context.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "core/common/error.h"
#include "core/common/time.h"
#include "core/wire/messages.h"

namespace asio {
class io_context;
}

namespace cuminpath::transport {

struct mailbox_options {
  std::string name;                     // Name of this process.
  std::string address = "127.0.0.1:0";  // IP:PORT to listen on; port 0 takes a free one.
  incarnation number{};
  // A message that nng cannot hand to a connection for this long is dropped, since the times in it get wrong.
  // The suspicion timeout of the design.
  milliseconds max_unsent_age{2000};
  std::size_t max_queued_bytes = 32U << 20U;  // For each peer; a peer over it is reported as lost.
};

enum class link_loss {
  connection_closed,  // The connection to the peer ended; messages on it may be lost.
  sequence_gap,       // Envelopes from the peer are missing.
  peer_restarted,     // The peer has a new incarnation.
  queue_overflow,     // The peer does not take messages; everything queued for it was dropped.
  not_accepted,       // No connection took a message in time; everything queued for the peer was dropped.
};

struct mailbox_handler {
  // A well-formed envelope, with its messages in order.
  std::function<void(wire::envelope)> received;
  // Attempts that wait for messages from this peer, or whose messages to it were sent before now, are broken.
  std::function<void(std::string_view peer_address, link_loss)> lost;
};

struct mailbox_counters {
  std::uint64_t envelopes_sent = 0;
  std::uint64_t envelopes_received = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t malformed = 0;
  std::uint64_t peers = 0;
  std::uint64_t queued_bytes = 0;  // Not handed to nng yet, for all peers.
};

class mailbox {
public:
  // Errors: unreachable if the address cannot be bound.
  static result<std::unique_ptr<mailbox>> open(asio::io_context& context, mailbox_options options,
                                               mailbox_handler handler);
  ~mailbox();
  mailbox(const mailbox&) = delete;
  mailbox& operator=(const mailbox&) = delete;

  [[nodiscard]] std::string address() const;

  // Queues a message; all messages for a peer up to the next flush() share an envelope.
  void send(std::string_view peer_address, wire::message value);
  // Sends what is queued, stamped with these values.
  void flush(configuration_version version, std::uint64_t logical_time);
  // Closes the link to a peer that nothing is sent to any more. What is queued for it is dropped, and the
  // peer reports the end of the connection as a loss.
  void close_link(std::string_view peer_address);

  [[nodiscard]] mailbox_counters counters() const;

private:
  class impl;
  explicit mailbox(std::shared_ptr<impl> implementation);
  std::shared_ptr<impl> m_impl;
};

}  // namespace cuminpath::transport
