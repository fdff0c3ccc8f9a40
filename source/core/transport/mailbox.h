// Sends messages between processes over nng. A mailbox listens on one PULL socket and holds one PUSH socket
// for each peer that it sends to. Both ends report the loss of a link, because its messages may be lost
// without a later message that would reveal the gap. All functions and callbacks run on the thread of the
// io_context.
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
  std::string name;                     // Name of the local process.
  std::string address = "127.0.0.1:0";  // IP:PORT to listen on; port 0 selects a free port.
  incarnation local_incarnation{};
  // A message that nng can't pass to a connection for this long is dropped, because the times in it become
  // wrong. Equal to the suspicion timeout of the design.
  milliseconds max_unsent_age{2000};
  std::size_t max_queued_bytes = 32U << 20U;  // For each peer; a peer that exceeds it is reported as lost.
};

enum class link_loss {
  connection_closed,  // The connection ended; messages on it may be lost.
  sequence_gap,       // Envelopes from the peer are missing.
  peer_restarted,     // The peer has a new incarnation.
  queue_overflow,     // The peer is too slow; all messages queued for it were dropped.
  not_accepted,       // No connection accepted a message in time; all messages for the peer were dropped.
};

struct mailbox_handler {
  // Called with each well-formed envelope. Its messages are in order.
  std::function<void(wire::envelope)> on_envelope;
  // Called when messages to or from the peer may be lost. Attempts that wait for messages from it, or that
  // have already sent messages to it, can't continue.
  std::function<void(std::string_view peer_address, link_loss)> on_link_lost;
};

struct mailbox_counters {
  std::uint64_t envelopes_sent = 0;
  std::uint64_t envelopes_received = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t malformed_envelopes = 0;
  std::uint64_t peers = 0;
  std::uint64_t queued_bytes = 0;  // Not yet passed to nng, for all peers.
};

class mailbox {
public:
  // Listens on the address of the options. Errors: unreachable if the address can't be bound.
  static result<std::unique_ptr<mailbox>> open(asio::io_context& context, mailbox_options options,
                                               mailbox_handler handler);
  ~mailbox();
  mailbox(const mailbox&) = delete;
  mailbox& operator=(const mailbox&) = delete;

  [[nodiscard]] std::string address() const;

  // Queues a message. All messages for a peer up to the next flush() share an envelope, unless they are too
  // large for one.
  void send(std::string_view peer_address, wire::message value);
  // Sends all queued messages. The envelopes contain these values.
  void flush(configuration_version version, std::uint64_t logical_time);
  // Closes the link to a peer that needs no more messages. Messages queued for it are dropped, and the peer
  // reports the end of the connection as a loss.
  void close_link(std::string_view peer_address);

  [[nodiscard]] mailbox_counters counters() const;
  // Returns the bytes that wait for a peer and have not been passed to nng; 0 for an unknown peer.
  [[nodiscard]] std::size_t queued_bytes(std::string_view peer_address) const;

private:
  class impl;
  explicit mailbox(std::shared_ptr<impl> implementation);
  std::shared_ptr<impl> m_impl;
};

}  // namespace cuminpath::transport
