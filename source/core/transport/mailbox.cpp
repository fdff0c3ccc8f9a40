#include "core/transport/mailbox.h"

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <charconv>
#include <cstring>
#include <deque>
#include <mutex>
#include <span>
#include <thread>
#include <unordered_map>
#include <unordered_set>

#include "core/common/assert.h"
#include "core/wire/codec.h"

namespace cuminpath::transport {
namespace {

constexpr nng_duration k_reconnect_min_ms = 20;
constexpr nng_duration k_reconnect_max_ms = 500;
// Peers whose sequence numbers are kept. At this number, peers without a connection are removed.
constexpr std::size_t k_max_known_peers = 16384;
// A link without a connection and without messages is closed after this time: its peer has probably been
// replaced, and nng would dial it forever.
constexpr seconds k_max_disconnected_time{10};
// Closed connections that are remembered. The envelope that nng holds for the io_context may be handled after
// its connection has ended, but only a few other connections can end in between.
constexpr std::size_t k_max_closed_connections = 64;
// An envelope that reaches this size takes no more messages. The others go into further envelopes, so that a
// burst to one peer does not exceed the limit of the codec.
constexpr std::size_t k_envelope_target_bytes = 256U << 10U;

std::string nng_url(std::string_view address) {
  return "tcp://" + std::string(address);
}

// Estimates the encoded size of a message.
std::size_t approximate_size(const wire::message& value) {
  constexpr std::size_t k_base = 64;
  if (const auto* chunk = std::get_if<wire::response_chunk>(&value)) {
    return k_base + chunk->data.size();
  }
  if (const auto* submit = std::get_if<wire::submit_request>(&value)) {
    return k_base + submit->body.size() + submit->resume_text.size();
  }
  if (const auto* status = std::get_if<wire::attempt_status>(&value)) {
    return k_base + status->body.size();
  }
  if (const auto* plan = std::get_if<wire::switch_prepare>(&value)) {
    return k_base + plan->plan.size();
  }
  if (const auto* load = std::get_if<wire::expert_load>(&value)) {
    std::size_t size = k_base;
    for (const auto& layer : load->layers) {
      size += layer.size() * sizeof(layer.front());
    }
    return size;
  }
  if (const auto* sections = std::get_if<wire::configuration_sections>(&value)) {
    std::size_t size = k_base + sections->index.size();
    for (const auto& [digest, content] : sections->sections) {
      size += digest.size() + content.size();
    }
    return size;
  }
  return k_base;
}

// Whether the text is a numeric IP:PORT. Other texts are not dialled, because nng would resolve them as
// names.
bool is_numeric_address(const std::string& address) {
  const auto colon = address.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  unsigned port = 0;
  const auto* end = address.data() + address.size();
  const auto [stop, code] = std::from_chars(address.data() + colon + 1, end, port);
  if (code != std::errc() || stop != end || port == 0 || port > UINT16_MAX) {
    return false;
  }
  auto host = address.substr(0, colon);
  std::array<unsigned char, sizeof(in6_addr)> bytes{};
  if (host.starts_with('[') && host.ends_with(']')) {
    return inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), bytes.data()) == 1;
  }
  return inet_pton(AF_INET, host.c_str(), bytes.data()) == 1;
}

}  // namespace

// nng runs callbacks on its own threads. They only post functions to the io_context; a weak pointer shows
// whether the mailbox still exists when a posted function runs.
class mailbox::impl : public std::enable_shared_from_this<mailbox::impl> {
public:
  impl(asio::io_context& context, mailbox_options options, mailbox_handler handler)
      : m_context(context), m_options(std::move(options)), m_handler(std::move(handler)) {}

  ~impl() {
    while (!m_links.empty()) {
      erase_link(m_links.begin()->first);
    }
    if (m_receive_aio != nullptr) {
      nng_aio_stop(m_receive_aio);
      nng_aio_free(m_receive_aio);
    }
    if (m_listening) {
      m_pull_target->release();
      // Closed on a separate thread, because nng 1.5.2 may never return from closing a PULL socket or its
      // listener while a message of several kilobytes arrives, and a drained process must still exit.
      std::thread([socket = m_pull, keep_alive = m_pull_target] { nng_close(socket); }).detach();
    }
  }
  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  result<void> listen() {
    if (const int code = nng_pull0_open(&m_pull); code != 0) {
      return make_error(error_code::internal, nng_strerror(code));
    }
    m_listening = true;
    m_pull_target->owner = this;
    nng_socket_set_size(m_pull, NNG_OPT_RECVMAXSZ, wire::k_max_envelope_bytes);
    nng_pipe_notify(m_pull, NNG_PIPE_EV_REM_POST, &impl::on_incoming_closed, m_pull_target.get());
    nng_listener listener{};
    if (const int code = nng_listen(m_pull, nng_url(m_options.address).c_str(), &listener, 0); code != 0) {
      return make_error(error_code::unreachable,
                        "cannot listen on " + m_options.address + ": " + nng_strerror(code));
    }
    nng_sockaddr bound{};
    nng_listener_get_addr(listener, NNG_OPT_LOCADDR, &bound);
    const auto colon = m_options.address.rfind(':');
    m_address = m_options.address.substr(0, colon) + ":" + std::to_string(ntohs(bound.s_in.sa_port));
    CUMINPATH_ASSERT(nng_aio_alloc(&m_receive_aio, &impl::on_receive, this) == 0);
    nng_recv_aio(m_pull, m_receive_aio);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

  [[nodiscard]] const std::string& address() const { return m_address; }

  void send(std::string_view peer_address, wire::message value) {
    auto& target = link_to(peer_address);
    if (target.pending.empty()) {
      m_unflushed.push_back(target.peer);
    }
    target.pending_bytes += approximate_size(value);
    target.pending.push_back(std::move(value));
  }

  void flush(configuration_version version, std::uint64_t logical_time) {
    std::vector<std::string> overflowed;
    std::vector<std::string> unflushed;
    unflushed.swap(m_unflushed);
    for (const auto& peer : unflushed) {
      const auto found = m_links.find(peer);
      if (found == m_links.end() || found->second->pending.empty()) {
        continue;
      }
      auto& target = *found->second;
      encode_pending(target, version, logical_time);
      if (target.queued_bytes > m_options.max_queued_bytes) {
        overflowed.push_back(peer);
      } else {
        start_send(target);
      }
    }
    for (const auto& peer : overflowed) {
      drop_link(peer, link_loss::queue_overflow);
    }
    close_unused_links();
  }

  void close_link(std::string_view peer_address) { erase_link(std::string(peer_address)); }

  [[nodiscard]] mailbox_counters counters() const {
    auto value = m_counters;
    value.peers = m_links.size();
    for (const auto& [peer, target] : m_links) {
      value.queued_bytes += target->queued_bytes + target->pending_bytes;
    }
    return value;
  }

  [[nodiscard]] std::size_t queued_bytes(std::string_view peer_address) const {
    const auto found = m_links.find(std::string(peer_address));
    return found == m_links.end() ? 0 : found->second->queued_bytes + found->second->pending_bytes;
  }

private:
  // Gives the callbacks of nng access to the mailbox. Exists until their socket is closed.
  struct callback_target {
    std::mutex mutex;
    impl* owner = nullptr;  // Null once the mailbox ignores the callbacks.

    void release() {
      const std::lock_guard lock(mutex);
      owner = nullptr;
    }
  };

  // Connection to one peer, with the messages queued for it.
  struct link {
    ~link() {
      // The send is stopped first, so that no callback uses a freed link.
      if (send_aio != nullptr) {
        nng_aio_stop(send_aio);
      }
      nng_close(socket);
      if (send_aio != nullptr) {
        nng_aio_free(send_aio);
      }
    }
    callback_target target;
    std::uint64_t id = 0;
    std::string peer;
    nng_socket socket{};
    nng_aio* send_aio = nullptr;
    bool sending = false;
    bool connected = false;
    time_point disconnected_since = clock::now();
    std::uint64_t sequence = 0;
    std::vector<wire::message> pending;
    std::size_t pending_bytes = 0;
    std::deque<std::string> encoded;
    std::size_t queued_bytes = 0;
  };

  struct peer_state {
    incarnation number{};
    std::uint64_t sequence = 0;
  };

  link& link_to(std::string_view peer_address) {
    auto& entry = m_links[std::string(peer_address)];
    if (entry != nullptr) {
      return *entry;
    }
    entry = std::make_unique<link>();
    entry->target.owner = this;
    entry->id = ++m_last_link_id;
    entry->peer = peer_address;
    CUMINPATH_ASSERT(nng_push0_open(&entry->socket) == 0);
    nng_socket_set_ms(entry->socket, NNG_OPT_RECONNMINT, k_reconnect_min_ms);
    nng_socket_set_ms(entry->socket, NNG_OPT_RECONNMAXT, k_reconnect_max_ms);
    nng_pipe_notify(entry->socket, NNG_PIPE_EV_ADD_POST, &impl::on_pipe_added, entry.get());
    nng_pipe_notify(entry->socket, NNG_PIPE_EV_REM_POST, &impl::on_pipe_removed, entry.get());
    CUMINPATH_ASSERT(nng_aio_alloc(&entry->send_aio, &impl::on_sent, entry.get()) == 0);
    // If the peer is not listening yet, nng dials it again in the background.
    nng_dial(entry->socket, nng_url(peer_address).c_str(), nullptr, NNG_FLAG_NONBLOCK);
    return *entry;
  }

  // Encodes the pending messages of a link into envelopes.
  void encode_pending(link& target, configuration_version version, std::uint64_t logical_time) {
    wire::envelope value{.sender = m_options.name,
                         .sender_address = m_address,
                         .sender_incarnation = m_options.local_incarnation,
                         .sequence = 0,
                         .version = version,
                         .logical_time = logical_time};
    std::size_t bytes = 0;
    const auto finish_envelope = [&] {
      value.sequence = ++target.sequence;
      target.encoded.push_back(wire::encode(value));
      target.queued_bytes += target.encoded.back().size();
      value.messages.clear();
      bytes = 0;
    };
    for (auto& item : target.pending) {
      bytes += approximate_size(item);
      value.messages.push_back(std::move(item));
      if (bytes >= k_envelope_target_bytes) {
        finish_envelope();
      }
    }
    if (!value.messages.empty()) {
      finish_envelope();
    }
    target.pending.clear();
    target.pending_bytes = 0;
  }

  void start_send(link& target) {
    if (target.sending || target.encoded.empty()) {
      return;
    }
    const auto& bytes = target.encoded.front();
    nng_msg* message = nullptr;
    CUMINPATH_ASSERT(nng_msg_alloc(&message, bytes.size()) == 0);
    std::memcpy(nng_msg_body(message), bytes.data(), bytes.size());
    nng_aio_set_msg(target.send_aio, message);
    nng_aio_set_timeout(target.send_aio, static_cast<nng_duration>(m_options.max_unsent_age.count()));
    target.sending = true;
    ++m_counters.envelopes_sent;
    m_counters.bytes_sent += bytes.size();
    nng_send_aio(target.socket, target.send_aio);
  }

  static void on_sent(void* argument) {
    auto* target = static_cast<link*>(argument);
    const int code = nng_aio_result(target->send_aio);
    if (code != 0) {
      nng_msg_free(nng_aio_get_msg(target->send_aio));
    }
    if (code == NNG_ECLOSED || code == NNG_ECANCELED) {
      return;
    }
    post(target->target, [peer = target->peer, id = target->id, code](impl& self) {
      if (self.find_link(peer, id) == nullptr) {
        return;
      }
      if (code == 0) {
        self.send_finished(peer, id);
      } else {
        self.drop_link(peer, link_loss::not_accepted);
      }
    });
  }

  void send_finished(const std::string& peer, std::uint64_t id) {
    auto& target = *find_link(peer, id);
    target.sending = false;
    target.queued_bytes -= target.encoded.front().size();
    target.encoded.pop_front();
    start_send(target);
  }

  static void on_pipe_added(nng_pipe, nng_pipe_ev, void* argument) {
    auto* target = static_cast<link*>(argument);
    post(target->target, [peer = target->peer, id = target->id](impl& self) {
      if (auto* found = self.find_link(peer, id)) {
        found->connected = true;
      }
    });
  }

  static void on_pipe_removed(nng_pipe, nng_pipe_ev, void* argument) {
    auto* target = static_cast<link*>(argument);
    post(target->target, [peer = target->peer, id = target->id](impl& self) {
      if (auto* found = self.find_link(peer, id)) {
        found->connected = false;
        found->disconnected_since = clock::now();
        self.m_handler.on_link_lost(peer, link_loss::connection_closed);
      }
    });
  }

  void close_unused_links() {
    const auto now = clock::now();
    if (now < m_next_unused_check) {
      return;
    }
    m_next_unused_check = now + k_max_disconnected_time;
    std::vector<std::string> unused;
    for (const auto& [peer, target] : m_links) {
      if (!target->connected && target->pending.empty() && target->encoded.empty() &&
          now - target->disconnected_since > k_max_disconnected_time) {
        unused.push_back(peer);
      }
    }
    for (const auto& peer : unused) {
      erase_link(peer);
    }
  }

  // Closes the link on a separate thread. Closing waits for the single thread of nng that ends connections,
  // and that thread can wait forever for another connection (see the destructor). The event loop must not
  // block.
  void erase_link(const std::string& peer) {
    const auto found = m_links.find(peer);
    if (found == m_links.end()) {
      return;
    }
    found->second->target.release();
    std::thread([closing = std::move(found->second)]() mutable { closing.reset(); }).detach();
    m_links.erase(found);
  }

  link* find_link(const std::string& peer, std::uint64_t id) {
    const auto found = m_links.find(peer);
    return found == m_links.end() || found->second->id != id ? nullptr : found->second.get();
  }

  // Closes a link and reports the loss. The next message opens a new link, whose envelopes are numbered from
  // 1 again. The peer reports this as a gap.
  void drop_link(const std::string& peer, link_loss loss) {
    erase_link(peer);
    m_handler.on_link_lost(peer, loss);
  }

  // Reports the loss at the receiving end, because the sender may send no more envelopes, and then no gap in
  // the sequence shows that envelopes were lost.
  static void on_incoming_closed(nng_pipe pipe, nng_pipe_ev, void* argument) {
    post(*static_cast<callback_target*>(argument), [id = nng_pipe_id(pipe)](impl& self) {
      self.record_closed_connection(id);
      const auto found = self.m_incoming_senders.find(id);
      if (found == self.m_incoming_senders.end()) {
        return;  // No envelope was received on it yet.
      }
      const auto peer = std::move(found->second);
      self.m_incoming_senders.erase(found);
      self.m_handler.on_link_lost(peer, link_loss::connection_closed);
    });
  }

  void record_closed_connection(int pipe) {
    m_closed_connections.push_back(pipe);
    if (m_closed_connections.size() > k_max_closed_connections) {
      m_closed_connections.pop_front();
    }
  }

  static void on_receive(void* argument) {
    auto* self = static_cast<impl*>(argument);
    const int code = nng_aio_result(self->m_receive_aio);
    if (code == NNG_ECLOSED || code == NNG_ECANCELED) {
      return;
    }
    std::string bytes;
    int pipe = -1;
    if (code == 0) {
      nng_msg* message = nng_aio_get_msg(self->m_receive_aio);
      bytes.assign(static_cast<const char*>(nng_msg_body(message)), nng_msg_len(message));
      pipe = nng_pipe_id(nng_msg_get_pipe(message));
      nng_msg_free(message);
    }
    // The next receive starts only when this message is handled. This bounds the memory, and the connection
    // slows down the senders. After any other error, such as a lack of memory, the receive is repeated.
    post(self, [bytes = std::move(bytes), pipe, code](impl& owner) {
      nng_recv_aio(owner.m_pull, owner.m_receive_aio);
      if (code == 0) {
        owner.handle(bytes, pipe);
      }
    });
  }

  void handle(const std::string& bytes, int pipe) {
    ++m_counters.envelopes_received;
    m_counters.bytes_received += bytes.size();
    auto decoded = wire::decode(std::as_bytes(std::span(bytes)));
    if (!decoded || !is_numeric_address(decoded.value().sender_address)) {
      ++m_counters.malformed_envelopes;
      return;
    }
    const std::string sender = decoded.value().sender_address;
    const bool closed = std::find(m_closed_connections.begin(), m_closed_connections.end(), pipe) !=
                        m_closed_connections.end();
    if (!closed) {
      m_incoming_senders.insert_or_assign(pipe, sender);
    }
    check_sequence(decoded.value());
    m_handler.on_envelope(std::move(decoded.value()));
    if (closed) {
      m_handler.on_link_lost(sender, link_loss::connection_closed);
    }
  }

  void check_sequence(const wire::envelope& value) {
    if (m_peers.size() >= k_max_known_peers && !m_peers.contains(value.sender_address)) {
      erase_disconnected_peers();
    }
    const auto [found, added] = m_peers.try_emplace(value.sender_address);
    auto& known = found->second;
    const bool restarted = !added && known.number != value.sender_incarnation;
    // A peer that reopens its link starts again at 1. Messages that it had queued on the old link are lost.
    const bool gap = !added && !restarted && value.sequence != known.sequence + 1;
    known = {value.sender_incarnation, value.sequence};
    if (restarted) {
      m_handler.on_link_lost(value.sender_address, link_loss::peer_restarted);
    } else if (gap) {
      m_handler.on_link_lost(value.sender_address, link_loss::sequence_gap);
    }
  }

  void erase_disconnected_peers() {
    std::unordered_set<std::string_view> open;
    for (const auto& [pipe, peer] : m_incoming_senders) {
      open.insert(peer);
    }
    std::erase_if(m_peers, [&open](const auto& item) { return !open.contains(item.first); });
  }

  template <class function>
  static void post(callback_target& target, function action) {
    const std::lock_guard lock(target.mutex);
    if (target.owner != nullptr) {
      post(target.owner, std::move(action));
    }
  }

  template <class function>
  static void post(impl* self, function action) {
    asio::post(self->m_context, [weak = self->weak_from_this(), action = std::move(action)]() mutable {
      if (const auto alive = weak.lock()) {
        action(*alive);
      }
    });
  }

  asio::io_context& m_context;
  mailbox_options m_options;
  mailbox_handler m_handler;
  std::string m_address;
  nng_socket m_pull{};
  std::shared_ptr<callback_target> m_pull_target = std::make_shared<callback_target>();
  bool m_listening = false;
  nng_aio* m_receive_aio = nullptr;
  std::uint64_t m_last_link_id = 0;
  std::unordered_map<std::string, std::unique_ptr<link>> m_links;
  time_point m_next_unused_check{};
  std::vector<std::string> m_unflushed;  // Addresses of peers with pending messages.
  std::unordered_map<std::string, peer_state> m_peers;
  std::deque<int> m_closed_connections;                     // Incoming connections that ended most recently.
  std::unordered_map<int, std::string> m_incoming_senders;  // Sender address of each incoming connection.
  mailbox_counters m_counters;
};

result<std::unique_ptr<mailbox>> mailbox::open(asio::io_context& context, mailbox_options options,
                                               mailbox_handler handler) {
  auto implementation = std::make_shared<impl>(context, std::move(options), std::move(handler));
  if (auto listening = implementation->listen(); !listening) {
    return listening.error();
  }
  return std::unique_ptr<mailbox>(new mailbox(std::move(implementation)));
}

mailbox::mailbox(std::shared_ptr<impl> implementation) : m_impl(std::move(implementation)) {}
mailbox::~mailbox() = default;
std::string mailbox::address() const {
  return m_impl->address();
}
void mailbox::send(std::string_view peer_address, wire::message value) {
  m_impl->send(peer_address, std::move(value));
}
void mailbox::flush(configuration_version version, std::uint64_t logical_time) {
  m_impl->flush(version, logical_time);
}
void mailbox::close_link(std::string_view peer_address) {
  m_impl->close_link(peer_address);
}
mailbox_counters mailbox::counters() const {
  return m_impl->counters();
}
std::size_t mailbox::queued_bytes(std::string_view peer_address) const {
  return m_impl->queued_bytes(peer_address);
}

}  // namespace cuminpath::transport
