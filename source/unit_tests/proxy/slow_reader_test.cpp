// Peers that read slowly, that read nothing, and that are gone. All cases of a test run at the same time.

#include <gtest/gtest.h>

#include <linux/filter.h>
#include <sys/socket.h>

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <functional>
#include <list>
#include <memory>

#include <fmt/format.h>

#include "core/proxy/caller_connection.h"
#include "core/proxy/upstream_connection.h"

namespace cuminpath::proxy {
namespace {

constexpr std::size_t k_kb = 1U << 10U;
constexpr std::size_t k_long_bytes = 192 * k_kb;
constexpr milliseconds k_read_interval{250};
// Stated in docs/design/slow-readers.md: time for which a peer may take nothing, and the most until that is
// noticed.
constexpr milliseconds k_unread_time{15000};
constexpr milliseconds k_notice_time{1000};
// A peer that is gone was noticed by the kernel after 1.5 s if it had something to acknowledge, otherwise by
// keep-alive probes after 3 s.
constexpr milliseconds k_gone_time{2000};
constexpr milliseconds k_idle_gone_time{3500};

// Makes the socket drop every segment that it receives, so that its peer gets no acknowledgements, either.
void drop_received_segments(asio::ip::tcp::socket& socket) {
  sock_filter drop_all{.code = BPF_RET | BPF_K, .jt = 0, .jf = 0, .k = 0};
  const sock_fprog program{.len = 1, .filter = &drop_all};
  ASSERT_EQ(::setsockopt(socket.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program)), 0);
}

// How a peer reads.
struct pace {
  std::size_t receive_buffer = 0;    // 0: as the system has it.
  std::size_t bytes_per_second = 0;  // 0: reads nothing.
  milliseconds pause_begins{0};
  milliseconds pause{0};

  [[nodiscard]] std::string text() const {
    return fmt::format("buffer {}, {} bytes a second, pause of {} ms", receive_buffer, bytes_per_second,
                       pause.count());
  }
};

class paced_reader {
public:
  paced_reader(asio::io_context& context, const pace& how)
      : m_socket(context), m_timer(context), m_pace(how), m_start(clock::now()) {}

  void connect(const asio::ip::tcp::endpoint& to) {
    m_socket.open(to.protocol());
    if (m_pace.receive_buffer > 0) {
      m_socket.set_option(asio::socket_base::receive_buffer_size(static_cast<int>(m_pace.receive_buffer)));
    }
    m_socket.connect(to);
  }
  void begin() {
    m_start = clock::now();
    m_socket.non_blocking(true);
    if (m_pace.bytes_per_second > 0) {
      read_later();
    }
  }
  asio::ip::tcp::socket& socket() { return m_socket; }
  [[nodiscard]] const std::string& received() const { return m_received; }
  [[nodiscard]] bool ended() const { return m_ended; }
  [[nodiscard]] std::string text() const { return m_pace.text(); }

private:
  void read_later() {
    m_timer.expires_after(k_read_interval);
    m_timer.async_wait([this](std::error_code cancelled) {
      if (!cancelled && !m_ended) {
        read();
        read_later();
      }
    });
  }
  void read() {
    const auto since_start = clock::now() - m_start;
    if (since_start >= m_pace.pause_begins && since_start < m_pace.pause_begins + m_pace.pause) {
      return;
    }
    std::string buffer(m_pace.bytes_per_second * static_cast<std::size_t>(k_read_interval.count()) / 1000,
                       '\0');
    std::error_code error;
    m_received.append(buffer.data(), m_socket.read_some(asio::buffer(buffer), error));
    m_ended = error && error != asio::error::would_block && error != asio::error::try_again;
  }

  asio::ip::tcp::socket m_socket;
  asio::steady_timer m_timer;
  pace m_pace;
  time_point m_start;
  std::string m_received;
  bool m_ended = false;
};

// A request on a connection to an upstream that reads it at some pace.
struct paced_request {
  paced_request(asio::io_context& context, const pace& how, std::size_t body_bytes)
      : reader(context, how), connection(std::make_shared<upstream_connection>(context, "i-1")) {
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
    if (how.receive_buffer > 0) {
      acceptor.set_option(asio::socket_base::receive_buffer_size(static_cast<int>(how.receive_buffer)));
    }
    const std::string head = fmt::format("POST / HTTP/1.1\r\nContent-Length: {}\r\n\r\n", body_bytes);
    size = head.size() + body_bytes;
    connection->connect(acceptor.local_endpoint(), milliseconds{1000}, [this, head, body_bytes](auto error) {
      ASSERT_EQ(error, "");
      connection->send(head, std::make_shared<byte_blocks>(std::string(body_bytes, 'x')), "X-Id", "a", false,
                       {.failed = [this](std::string_view reason) { failure = reason; }});
    });
    reader.socket() = acceptor.accept();
    reader.begin();
  }
  ~paced_request() { connection->close(); }
  paced_request(const paced_request&) = delete;
  paced_request& operator=(const paced_request&) = delete;

  paced_reader reader;
  std::shared_ptr<upstream_connection> connection;
  std::size_t size = 0;
  std::string failure;
};

// A request of a caller that reads the response at some pace.
struct paced_response {
  paced_response(asio::io_context& context, caller_memory_budget& memory, const pace& how,
                 std::size_t body_bytes, const std::function<void(paced_reader&)>& before_response = {})
      : reader(context, how) {
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
    reader.connect(acceptor.local_endpoint());
    caller_connection::handlers callbacks;
    callbacks.request = [this, body_bytes, before_response](const auto& to, auto&&...) {
      if (before_response) {
        before_response(reader);
      }
      to->respond({.status = 200, .headers = {}, .body = std::string(body_bytes, 'y')});
      size = to->unsent_bytes();
    };
    callbacks.closed = [this](const caller_connection* /*connection*/) { closed = true; };
    callbacks.limits = [] { return gateway::caller_limits{}; };
    callbacks.make_room = [](const auto*) { return false; };
    connection = std::make_shared<caller_connection>(acceptor.accept(), callbacks, memory, clock::now());
    connection->start();
    asio::write(reader.socket(), asio::buffer(std::string_view("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
    reader.begin();
  }
  ~paced_response() { connection->evict("end of the test", milliseconds{0}); }
  paced_response(const paced_response&) = delete;
  paced_response& operator=(const paced_response&) = delete;

  paced_reader reader;
  std::shared_ptr<caller_connection> connection;
  std::size_t size = 0;
  bool closed = false;
};

class slow_reader : public ::testing::Test {
protected:
  void TearDown() override {
    m_requests.clear();
    m_responses.clear();
    m_context.poll();
  }
  // Sends a request, and a response, with a body of that size to a peer of that pace each.
  void send(const pace& how, std::size_t body_bytes,
            const std::function<void(paced_reader&)>& before_response = {}) {
    m_requests.emplace_back(m_context, how, body_bytes);
    m_responses.emplace_back(m_context, m_memory, how, body_bytes, before_response);
  }
  // Runs the event loop with the ticks of a gateway. Returns the time until the condition holds, or `limit`.
  milliseconds run(milliseconds limit, const std::function<bool()>& done) {
    const time_point start = clock::now();
    while (clock::now() < start + limit && !done()) {
      m_context.run_for(milliseconds{20});
      m_context.restart();
      for (auto& response : m_responses) {
        response.connection->enforce_limits(clock::now());
      }
    }
    return std::min(limit, std::chrono::duration_cast<milliseconds>(clock::now() - start));
  }
  // Runs until all peers have everything or are cut off. Returns true if all have everything.
  bool run_until_received(milliseconds limit) {
    bool all = false;
    run(limit, [&] {
      const auto whole = [](const auto& each) {
        return each.size > 0 && each.reader.received().size() == each.size;
      };
      all = std::all_of(m_requests.begin(), m_requests.end(), whole) &&
            std::all_of(m_responses.begin(), m_responses.end(), whole);
      return all || cut_off();
    });
    return all;
  }
  // Returns true if all peers are cut off.
  [[nodiscard]] bool cut_off() const {
    return std::all_of(m_requests.begin(), m_requests.end(),
                       [](const auto& each) { return !each.failure.empty(); }) &&
           std::all_of(m_responses.begin(), m_responses.end(), [](const auto& each) { return each.closed; });
  }
  [[nodiscard]] std::string state() const {
    std::string text;
    for (const auto& each : m_requests) {
      text += fmt::format("upstream, {}: {} of {} {}\n", each.reader.text(), each.reader.received().size(),
                          each.size, each.failure);
    }
    for (const auto& each : m_responses) {
      text += fmt::format("caller, {}: {} of {}{}\n", each.reader.text(), each.reader.received().size(),
                          each.size, each.closed ? " closed" : "");
    }
    return text;
  }

  asio::io_context m_context;
  caller_memory_budget m_memory{64 * k_kb * k_kb};
  std::list<paced_request> m_requests;
  std::list<paced_response> m_responses;
};

// Guards against a peer that is cut off because its window is closed, though it reads steadily.
TEST_F(slow_reader, gets_everything) {
  for (const std::size_t buffer : {16 * k_kb, std::size_t{0}}) {
    for (const std::size_t bytes_per_second : {32 * k_kb, 64 * k_kb}) {
      send({.receive_buffer = buffer, .bytes_per_second = bytes_per_second}, k_long_bytes);
    }
    send({.receive_buffer = buffer,
          .bytes_per_second = 64 * k_kb,
          .pause_begins = milliseconds{1000},
          .pause = milliseconds{2000}},
         k_long_bytes);
  }
  EXPECT_TRUE(run_until_received(seconds{12})) << state();
}

// Guards against memory that a peer which reads nothing holds for good, or that is not charged to it.
TEST_F(slow_reader, that_has_stopped_is_cut_off_after_the_stated_time) {
  constexpr std::size_t k_body_bytes = 12 * k_kb * k_kb;
  constexpr std::size_t k_max_socket_bytes = 5 * k_kb * k_kb;
  send({.receive_buffer = 16 * k_kb}, k_body_bytes);
  const auto any_is_cut_off = [this] {
    return !m_requests.front().failure.empty() || m_responses.front().closed;
  };
  const milliseconds not_yet = k_unread_time - milliseconds{500};
  EXPECT_EQ(run(not_yet, any_is_cut_off), not_yet) << state();
  EXPECT_GT(m_memory.used(), k_body_bytes - k_max_socket_bytes);
  run(milliseconds{500} + k_notice_time, [this] { return cut_off(); });
  EXPECT_TRUE(cut_off()) << state();
  EXPECT_EQ(m_memory.used(), 0U);
}

// Guards against a peer whose host has failed that is taken for one that reads slowly.
TEST_F(slow_reader, that_is_gone_is_noticed_with_bytes_in_flight) {
  send({}, 1, [](auto& reader) { drop_received_segments(reader.socket()); });
  drop_received_segments(m_requests.front().reader.socket());
  EXPECT_LT(run(k_gone_time, [this] { return cut_off(); }), k_gone_time) << state();
}

TEST_F(slow_reader, that_is_gone_is_noticed_behind_a_closed_window) {
  send({.receive_buffer = 4 * k_kb}, k_kb * k_kb);
  run(milliseconds{500}, [] { return false; });
  EXPECT_FALSE(cut_off());
  drop_received_segments(m_requests.front().reader.socket());
  drop_received_segments(m_responses.front().reader.socket());
  EXPECT_LT(run(k_gone_time, [this] { return cut_off(); }), k_gone_time) << state();
}

TEST_F(slow_reader, that_is_gone_is_noticed_by_keep_alive_probes) {
  send({.bytes_per_second = 64 * k_kb}, 1);
  EXPECT_TRUE(run_until_received(seconds{2})) << state();
  drop_received_segments(m_requests.front().reader.socket());
  drop_received_segments(m_responses.front().reader.socket());
  EXPECT_LT(run(k_idle_gone_time, [this] { return cut_off(); }), k_idle_gone_time) << state();
}

}  // namespace
}  // namespace cuminpath::proxy
