#include "unit_tests/operation/operation_fixture.h"

#include <filesystem>
#include <fstream>
#include <sstream>

#include "core/common/hash.h"
#include "core/operation/platform_session.h"

namespace cuminpath::operation {
namespace {

class discarding_responder final : public http::responder {
public:
  void respond(http::response) override {}
  void begin_stream(int, const http::header_list&) override {}
  void write(std::string_view) override {}
  void end_stream() override {}
  void abort_stream() override {}
  [[nodiscard]] std::size_t unsent_bytes() const override { return 0; }
  [[nodiscard]] bool closed() const override { return false; }
  void on_closed(std::function<void()>) override {}
};

}  // namespace

void faulty_table::handle(const http::request& request, const emulator::responder_ptr& to) {
  if (!loses_response || request.method != "PUT" || !loses_response(request)) {
    m_inner.handle(request, to);
    return;
  }
  m_inner.handle(request, std::make_shared<discarding_responder>());
  emulator::cut_off(to);
  if (after_loss) {
    after_loss();
  }
}

void fake_process::handle(const http::request& request, const emulator::responder_ptr& to) {
  const std::string target(request.path());
  if (request.method == "POST" && request.header("Authorization") != "Bearer secret") {
    emulator::respond_json(to, 401, {{"detail", "the operator key is missing or wrong"}});
  } else if (target == "/status") {
    emulator::respond_json(to, 200, m_status);
  } else if (target == "/timeline") {
    const std::uint64_t time = m_status["time"];
    json events = json::array();
    for (std::uint64_t i = 0; i < 3; ++i) {
      events.push_back(
          {{"time", time + i * 2}, {"process", m_status["name"]}, {"kind", "k"}, {"detail", "d"}});
    }
    events.push_back("malformed");
    emulator::respond_json(to, 200, {{"events", events}});
  } else if (target == "/drain" && request.method == "POST") {
    emulator::respond_json(to, 202, {{"draining", true}});
  } else if (target == "/expert-map" || target == "/expert-map/plan") {
    emulator::respond_json(to, request.method == "POST" ? 409 : 200, {{"target", target}});
  } else {
    emulator::respond_json(to, 404, {{"detail", "no such resource"}});
  }
}

operation_fixture::operation_fixture()
    : m_entry({{"name", "entry-1"}, {"configuration_version", 1}, {"draining", true}, {"time", 1001}}),
      m_agent({{"name", "agent-1"}, {"configuration_version", 1}, {"queued", 4}, {"time", 1000}}),
      m_directory(std::filesystem::temp_directory_path() / ("cuminpath-test-" + random_hex_id())) {
  for (emulator::role* role :
       std::initializer_list<emulator::role*>{&m_table, &m_objects, &m_hosts, &m_entry, &m_agent}) {
    m_servers.push_back(std::move(emulator::emulator_server::start(m_context, "127.0.0.1:0", *role).value()));
  }
  m_table_url = "http://" + m_servers[0]->address();
  m_objects_url = "http://" + m_servers[1]->address();
  m_hosts_url = "http://" + m_servers[2]->address();
  const auto host = [](const char* name, const char* role, const std::string& address) {
    return json{{"name", name},
                {"role", role},
                {"availability_zone", "bharuch"},
                {"admin_address", address},
                {"state", "live"}};
  };
  m_hosts.control({{"hosts",
                    {host("e1", "entry", m_servers[3]->address()),
                     host("h0", "agent", m_servers[4]->address()), host("gone", "agent", "127.0.0.1:1")}}});
  std::filesystem::create_directory(m_directory);
  m_thread = std::thread([this] { m_context.run(); });
}

operation_fixture::~operation_fixture() {
  m_work.reset();
  m_context.stop();
  m_thread.join();
  std::filesystem::remove_all(m_directory);
}

run_result operation_fixture::run(std::vector<std::string> arguments, const std::string& key) const {
  const std::map<std::string, std::string> variables{{"CUMINPATH_TABLE", m_table_url},
                                                     {"CUMINPATH_OBJECTS", m_objects_url + "/"},
                                                     {"CUMINPATH_HOSTS", m_hosts_url},
                                                     {"CUMINPATH_OPERATOR_KEY", key},
                                                     {"USER", "asha"}};
  std::ostringstream out;
  std::ostringstream err;
  const exit_code code = operation::run(
      arguments,
      [&variables](const std::string& name) {
        const auto found = variables.find(name);
        return found == variables.end() ? std::string() : found->second;
      },
      out, err);
  // No output may contain the operator key.
  EXPECT_EQ((out.str() + err.str()).find("secret"), std::string::npos);
  return {code, out.str(), err.str()};
}

std::string operation_fixture::write_file(const std::string& name, const std::string& text) {
  std::string path = m_directory + "/" + name;
  std::ofstream(path) << text;
  return path;
}

std::string operation_fixture::write_manifest(int slots) {
  return write_file(
      "m" + std::to_string(slots) + ".toml",
      "[[priority_class]]\nname = \"urgent\"\nrank = 0\n[[model]]\nname = \"m\"\n"
      "[[group]]\nname = \"g\"\nmodel = \"m\"\nranks = 1\n"
      "[[upstream]]\nname = \"u0\"\nhost = \"h0\"\nkind = \"engine\"\nmodel = \"m\"\ngroup = \"g\"\n"
      "slots = " +
          std::to_string(slots) + "\n");
}

json operation_fixture::call(const std::string& url, const http::request& request) {
  platform_session session({});
  return session
      .wait<json>([&](const std::function<void(result<json>)>& done) {
        session.client().call(url, request, {},
                              [done](const auto& response) { done(parse_json(response.value.body)); });
      })
      .value();
}

void operation_fixture::control(const std::string& url, const json& settings) {
  EXPECT_EQ(call(url, {.method = "POST", .target = "/control", .body = settings.dump()}),
            (json{{"ok", true}}));
}

json operation_fixture::stats(const std::string& url) {
  return call(url, {.target = "/stats"});
}

}  // namespace cuminpath::operation
