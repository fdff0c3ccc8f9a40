#include <gtest/gtest.h>

#include <asio/io_context.hpp>

#include "core/common/hash.h"
#include "core/storage/host_list_client.h"
#include "core/storage/object_client.h"
#include "core/storage/table_client.h"
#include "emulator/host_role.h"
#include "emulator/object_role.h"
#include "emulator/table_role.h"
#include "unit_tests/support/run_until.h"

namespace cuminpath::storage {
namespace {

template <class role_type>
class emulated_service {
public:
  template <class... argument_types>
  explicit emulated_service(asio::io_context& context, argument_types&... arguments)
      : m_role(arguments...),
        m_server(std::move(emulator::emulator_server::start(context, "127.0.0.1:0", m_role).value())) {}
  [[nodiscard]] std::string url() const { return "http://" + m_server->address(); }
  role_type& value() { return m_role; }

private:
  role_type m_role;
  std::unique_ptr<emulator::emulator_server> m_server;
};

class platform_clients : public ::testing::Test {
protected:
  // Runs an operation that reports to the given callback, and returns the reported result.
  template <class value_type, class operation_type>
  result<value_type> wait_for(operation_type operation) {
    std::optional<result<value_type>> outcome;
    operation([&outcome](result<value_type> value) { outcome.emplace(std::move(value)); });
    EXPECT_TRUE(support::run_until(m_context, [&outcome] { return outcome.has_value(); }));
    return outcome ? std::move(*outcome) : make_error(error_code::internal, "no result");
  }

  void send_control(const std::string& url, const json& settings) {
    bool done = false;
    m_http.call(url, {.method = "POST", .target = "/control", .body = settings.dump()}, {},
                [&done](const http::client::call_result& response) {
                  EXPECT_EQ(response.value.status, 200) << response.value.body;
                  done = true;
                });
    EXPECT_TRUE(support::run_until(m_context, [&done] { return done; }));
  }

  result<write_outcome> write(table_client& table, std::string_view key, const json& value,
                              std::uint64_t if_version) {
    return wait_for<write_outcome>([&](auto done) { table.write("claims", key, value, if_version, done); });
  }
  result<std::optional<row>> read(table_client& table, std::string_view key) {
    return wait_for<std::optional<row>>([&](auto done) { table.read("claims", key, done); });
  }

  asio::io_context m_context;
  http::client m_http{m_context};
};

// Guards against two conditional writes to the same key that both report success.
TEST_F(platform_clients, only_one_of_two_conditional_writes_succeeds) {
  emulated_service<emulator::table_role> service(m_context);
  table_client table(m_http, service.url());
  EXPECT_FALSE(read(table, "a/b ü").value().has_value());

  const auto first = write(table, "a/b ü", {{"token", 1}}, 0);
  ASSERT_TRUE(first);
  EXPECT_TRUE(first.value().applied);
  const auto second = write(table, "a/b ü", {{"token", 2}}, 0);
  ASSERT_TRUE(second);
  EXPECT_FALSE(second.value().applied);
  EXPECT_EQ(second.value().version, first.value().version);
  EXPECT_EQ(second.value().current, json({{"token", 1}}));
  EXPECT_TRUE(write(table, "a/b ü", {{"token", 3}}, first.value().version).value().applied);

  const auto stored = read(table, "a/b ü");
  ASSERT_TRUE(stored && stored.value());
  EXPECT_EQ(stored.value()->key, "a/b ü");
  EXPECT_EQ(stored.value()->value, json({{"token", 3}}));
}

// Guards against a failed condition on an absent row whose outcome does not show that there is no row.
TEST_F(platform_clients, a_failed_condition_on_an_absent_row_has_no_current_value) {
  emulated_service<emulator::table_role> service(m_context);
  table_client table(m_http, service.url());
  const auto outcome = write(table, "k", 1, 7);
  ASSERT_TRUE(outcome);
  EXPECT_FALSE(outcome.value().applied);
  EXPECT_EQ(outcome.value().version, 0U);
  EXPECT_TRUE(outcome.value().current.is_null());
}

// Guards against a write whose response was lost but that is reported as having had no effect, or as having
// failed its condition. The latter would happen if the client repeated the write automatically.
TEST_F(platform_clients, a_lost_response_is_an_error_and_the_write_takes_effect_once) {
  emulated_service<emulator::table_role> service(m_context);
  table_client table(m_http, service.url());
  ASSERT_TRUE(read(table, "k"));  // Leaves an idle connection that could be reused.
  send_control(service.url(), {{"lose_responses", 1}});
  const auto outcome = write(table, "k", {{"token", 1}}, 0);
  ASSERT_FALSE(outcome);
  EXPECT_EQ(outcome.error().code, error_code::unreachable);
  EXPECT_EQ(read(table, "k").value()->value, json({{"token", 1}}));
  EXPECT_EQ(service.value().stats()["writes"], 1);
  EXPECT_EQ(service.value().stats()["conflicts"], 0);
}

// Guards against reporting an outage as an absent row.
TEST_F(platform_clients, an_unavailable_or_slow_service_is_an_error) {
  emulated_service<emulator::table_role> service(m_context);
  table_client table(m_http, service.url(), milliseconds(100));
  send_control(service.url(), {{"down", true}});
  EXPECT_EQ(read(table, "k").error().code, error_code::unreachable);
  send_control(service.url(), {{"down", false}, {"slow_ms", 5000}});
  EXPECT_EQ(read(table, "k").error().code, error_code::timed_out);
  EXPECT_EQ(write(table, "k", 1, 0).error().code, error_code::timed_out);
}

// Guards against a list that contains rows with another prefix or more rows than the limit.
TEST_F(platform_clients, lists_rows_of_a_prefix_in_order) {
  emulated_service<emulator::table_role> service(m_context);
  table_client table(m_http, service.url());
  for (const auto* key : {"a&1", "b/2", "b/1", "b/3", "c"}) {
    ASSERT_TRUE(write(table, key, key, 0).value().applied);
  }
  const auto rows =
      wait_for<std::vector<row>>([&](auto done) { table.list("claims", "b/", 2, done); }).value();
  ASSERT_EQ(rows.size(), 2U);
  EXPECT_EQ(rows[0].key, "b/1");
  EXPECT_EQ(rows[1].key, "b/2");
  EXPECT_EQ(
      wait_for<std::vector<row>>([&](auto done) { table.list("claims", "a&", 9, done); }).value().size(), 1U);
}

// Guards against accepting an object whose content does not match its digest.
TEST_F(platform_clients, an_object_is_checked_against_its_digest) {
  emulated_service<emulator::object_role> service(m_context);
  object_client objects(m_http, service.url());
  const std::string content("\0binary\n", 8);
  ASSERT_TRUE(wait_for<void>([&](auto done) { objects.put(content, done); }));
  const auto fetch = [&](const std::string& digest) {
    return wait_for<std::string>([&](auto done) { objects.fetch(digest, done); });
  };
  EXPECT_EQ(fetch(sha256_hex(content)).value(), content);
  EXPECT_EQ(fetch(sha256_hex("other")).error().code, error_code::not_found);
  send_control(service.url(), {{"corrupt", true}});
  EXPECT_EQ(fetch(sha256_hex(content)).error().code, error_code::invalid_input);
}

// Guards against a malformed host that makes the whole list unreadable.
TEST_F(platform_clients, the_host_list_skips_malformed_hosts) {
  emulated_service<emulator::host_role> service(m_context, m_context);
  host_list_client hosts(m_http, service.url());
  send_control(service.url(), {{"hosts",
                                {{{"name", "entry-1"},
                                  {"role", "entry"},
                                  {"availability_zone", "talca"},
                                  {"region", "maule"},
                                  {"address", "127.0.0.1:1"},
                                  {"peer_address", "127.0.0.1:2"},
                                  {"admin_address", "127.0.0.1:3"},
                                  {"state", "leaving"}},
                                 {{"name", "agent-1"}, {"role", "agent"}, {"state", "live"}},
                                 {{"name", 7}},
                                 "text"}}});
  const auto list = wait_for<host_list>([&](auto done) { hosts.fetch(done); }).value();
  EXPECT_EQ(list.generation, 1U);
  ASSERT_EQ(list.hosts.size(), 2U);
  EXPECT_TRUE(list.hosts[0].leaving);
  EXPECT_EQ(list.hosts[0].availability_zone, "talca");
  EXPECT_EQ(list.hosts[1].role, host_role::agent);
  EXPECT_FALSE(list.hosts[1].leaving);
}

}  // namespace
}  // namespace cuminpath::storage
