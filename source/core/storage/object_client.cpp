#include "core/storage/object_client.h"

#include "core/common/hash.h"
#include "core/storage/rest_responses.h"

namespace cuminpath::storage {
namespace {

result<std::string> to_content(http::client::call_result response, const std::string& digest) {
  if (response.failure || response.value.status != 200) {
    return to_error(response);
  }
  if (sha256_hex(response.value.body) != digest) {
    return make_error(error_code::invalid_input, "object does not match digest " + digest);
  }
  return std::move(response.value.body);
}

}  // namespace

object_client::object_client(http::client& client, std::string base_url, milliseconds timeout)
    : m_client(client), m_base_url(std::move(base_url)), m_timeout(timeout) {}

void object_client::put(std::string content, std::function<void(result<void>)> done) {
  auto target = "/v1/objects/" + sha256_hex(content);
  m_client.call(m_base_url, {.method = "PUT", .target = std::move(target), .body = std::move(content)},
                {.timeout = m_timeout}, [done = std::move(done)](const auto& response) {
                  const auto status = response.value.status;
                  if (!response.failure && status >= 200 && status < 300) {
                    done(BOOST_OUTCOME_V2_NAMESPACE::success());
                  } else {
                    done(to_error(response));
                  }
                });
}

void object_client::fetch(std::string_view digest, std::function<void(result<std::string>)> done) {
  m_client.call(m_base_url, {.target = "/v1/objects/" + encode_segment(digest)}, {.timeout = m_timeout},
                [done = std::move(done), expected = std::string(digest)](auto response) {
                  done(to_content(std::move(response), expected));
                });
}

}  // namespace cuminpath::storage
