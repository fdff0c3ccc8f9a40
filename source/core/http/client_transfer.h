// One call of the client as libcurl runs it. For client.cpp only.
#pragma once

#include <curl/curl.h>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>
#include <vector>

#include "core/http/client.h"

namespace cuminpath::http {

// Bytes of a response that the transfer thread may read ahead of its handler: a few reads of libcurl.
constexpr std::size_t k_max_read_ahead = 128U << 10U;
// Limits of the design (section 11) for one head or the trailers, and for all of a call. A header of a few
// bytes takes many times its size in memory.
constexpr std::size_t k_max_head_bytes = 64U << 10U;
constexpr std::size_t k_max_bytes_of_heads = 1U << 20U;

struct easy_deleter {
  void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
};
struct slist_deleter {
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

// Tells the transfer thread which calls may go on. Handlers that are still queued on the io_context may use
// it after the client has been destroyed.
struct resume_queue {
  std::mutex mutex;
  CURLM* multi = nullptr;  // Null once the client is being destroyed.
  std::vector<call_id> ids;

  void add(call_id id) {
    const std::lock_guard lock(mutex);
    if (multi != nullptr) {
      ids.push_back(id);
      curl_multi_wakeup(multi);
    }
  }
};

// What the transfer thread and the io_context share of one call.
struct call_state {
  std::atomic<bool> cancelled = false;
  std::atomic<bool> paused = false;        // By client::pause().
  std::atomic<bool> waits = false;         // The transfer thread has stopped reading until it is resumed.
  std::atomic<std::size_t> unhandled = 0;  // Bytes of the body that have not reached the handler.

  [[nodiscard]] bool may_read() const { return !paused && unhandled < k_max_read_ahead; }
  // With some distance to the limit, because each resumption wakes the transfer thread.
  [[nodiscard]] bool may_resume() const { return !paused && unhandled <= k_max_read_ahead / 2; }
};

// State of one call. Owned by the transfer thread; the handler runs on the io_context.
struct transfer {
  call_id id = 0;
  std::string url;
  request value;
  call_options options;
  std::shared_ptr<stream_handler> handler;
  std::unique_ptr<CURL, easy_deleter> easy;
  std::unique_ptr<curl_slist, slist_deleter> headers;
  header_list response_headers;
  // What the next line of a head belongs to.
  enum class head_part : std::uint8_t { status_line, headers, trailers } next_line = head_part::status_line;
  int response_status = 0;                 // Of the last status line.
  bool malformed = false;                  // The response is not valid HTTP.
  bool head_complete = false;              // Of the response, other than an interim one.
  bool body_ends_with_connection = false;  // The response has no length.
  bool head_reported = false;
  std::size_t received = 0;                  // Bytes of the body, of heads and of trailers.
  std::size_t head_bytes = 0;                // Of the current head, or of the trailers.
  std::size_t bytes_of_heads = 0;            // Of all of them.
  bool connection_has_unread_bytes = false;  // The call has been stopped before its request was sent.
  std::unordered_set<curl_socket_t>* sockets = nullptr;  // Of all connections of the client.
  asio::io_context* context = nullptr;
  std::shared_ptr<call_state> shared;
  std::shared_ptr<resume_queue> resumed;

  template <class function>
  void post(function event) {
    asio::post(*context, [event = std::move(event), handler = handler, shared = shared]() mutable {
      if (!shared->cancelled) {
        event(*handler);
      }
    });
  }

  void post_data(std::string data) {
    shared->unhandled += data.size();
    asio::post(*context, [data = std::move(data), handler = handler, shared = shared, queue = resumed,
                          id = id]() mutable {
      const std::size_t size = data.size();
      if (!shared->cancelled) {
        handler->data(std::move(data));
      }
      shared->unhandled -= size;
      if (shared->waits && shared->may_resume()) {
        queue->add(id);
      }
    });
  }

  // Returns false if the heads of the response exceed their limits.
  bool count_head(std::string_view line) {
    head_bytes += line.size();
    bytes_of_heads += line.size();
    return head_bytes <= k_max_head_bytes && bytes_of_heads <= k_max_bytes_of_heads;
  }

  // Returns false if the response exceeds its limit.
  bool count_received(std::size_t bytes) {
    received += bytes;
    return received <= options.max_response_bytes;
  }

  // Takes the head of the response, other than an interim one, as complete.
  void complete_head() {
    head_complete = true;
    body_ends_with_connection = value.method != "HEAD" && may_have_body(response_status) &&
                                !find_header(response_headers, "Content-Length") &&
                                !find_header(response_headers, "Transfer-Encoding");
  }

  // Whether all of the request's body has been given to the connection.
  [[nodiscard]] bool request_written() const {
    curl_off_t written = 0;
    curl_easy_getinfo(easy.get(), CURLINFO_SIZE_UPLOAD_T, &written);
    return static_cast<std::size_t>(written) >= value.body.size();
  }

  void report_head() {
    if (head_reported) {
      return;
    }
    head_reported = true;
    post([status = response_status, headers = std::move(response_headers)](stream_handler& target) mutable {
      target.head(status, std::move(headers));
    });
  }
};

// Sets up the handle of the call, which must exist. libcurl calls back on the transfer thread.
void configure(transfer& target);

// Returns why a call that libcurl has ended with `result` failed; absent if its response is whole.
std::optional<call_failure> find_failure(const transfer& ended, CURLcode result);

}  // namespace cuminpath::http
