#include "core/gateway/mirror_client.h"

namespace cuminpath::gateway {
namespace {

constexpr milliseconds k_call_timeout{600};
// Seeds that start at the same time as their callers respond within a second.
constexpr milliseconds k_seed_timeout{3000};

}  // namespace

void mirror_client::fetch(const std::string& address, std::function<void(result<bool>)> done) {
  if (m_call_in_progress) {
    return;
  }
  m_call_in_progress = true;
  m_client.call(
      "http://" + address,
      {.method = "POST",
       .target = std::string(k_mirror_path),
       .headers = {{"Content-Type", "application/msgpack"}},
       .body = encode_versions(m_target.known_versions())},
      {.timeout = k_call_timeout, .connect_timeout = k_call_timeout, .never_reuse_connection = true},
      [this, done = std::move(done)](const http::client::call_result& answer) {
        m_call_in_progress = false;
        if (answer.failure) {
          done(make_error(answer.failure->code, answer.failure->message));
        } else if (answer.value.status != 200) {
          done(make_error(error_code::unreachable, "status " + std::to_string(answer.value.status)));
        } else {
          done(m_target.merge(answer.value.body));
        }
      });
}

void seed_reader::tick(time_point now, milliseconds interval, random_source& random,
                       std::function<void()> changed) {
  if (m_seeds.empty() || m_client.fetching() || (m_last_response_at && now - m_last_request_at < interval)) {
    return;
  }
  m_last_response_at = m_last_response_at.value_or(now);
  m_last_request_at = now;
  m_client.fetch(m_seeds[random_index(random, m_seeds.size())],
                 [this, now, changed = std::move(changed)](const result<bool>& merged) {
                   if (merged) {
                     m_last_response_at = now;
                     if (merged.value()) {
                       changed();
                     }
                   }
                 });
}

bool seed_reader::responded_recently(time_point now, milliseconds interval) const {
  return !m_seeds.empty() && (!m_last_response_at || now - *m_last_response_at <= interval + k_seed_timeout);
}

}  // namespace cuminpath::gateway
