#include "core/gateway/mirror_client.h"

namespace cuminpath::gateway {
namespace {

constexpr milliseconds k_call_timeout{600};
// Seeds that start together with their callers answer within a second.
constexpr milliseconds k_seed_patience{3000};

}  // namespace

void mirror_client::ask(const std::string& address, std::function<void(result<bool>)> done) {
  if (m_asking) {
    return;
  }
  m_asking = true;
  m_client.call(
      "http://" + address,
      {.method = "POST",
       .target = std::string(k_mirror_path),
       .headers = {{"Content-Type", "application/msgpack"}},
       .body = encode_versions(m_target.known_versions())},
      {.timeout = k_call_timeout, .connect_timeout = k_call_timeout, .never_reuse_connection = true},
      [this, done = std::move(done)](const http::client::whole_response& answer) {
        m_asking = false;
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
  if (m_seeds.empty() || m_client.asking() || (m_answered && now - m_asked < interval)) {
    return;
  }
  m_answered = m_answered.value_or(now);
  m_asked = now;
  m_client.ask(m_seeds[random_index(random, m_seeds.size())],
               [this, now, changed = std::move(changed)](const result<bool>& merged) {
                 if (merged) {
                   m_answered = now;
                   if (merged.value()) {
                     changed();
                   }
                 }
               });
}

bool seed_reader::answered_lately(time_point now, milliseconds interval) const {
  return !m_seeds.empty() && (!m_answered || now - *m_answered <= interval + k_seed_patience);
}

}  // namespace cuminpath::gateway
