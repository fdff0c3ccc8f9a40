// Runs emulators of the platform and fake processes on a thread of their own, as commands block their thread.
#pragma once

#include <gtest/gtest.h>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "core/operation/commands.h"
#include "emulator/host_role.h"
#include "emulator/object_role.h"
#include "emulator/table_role.h"

namespace cuminpath::operation {

// A table that can lose the response to a write that took effect. The two functions run on the thread of the
// emulators.
class faulty_table final : public emulator::role {
public:
  void handle(const http::request& request, const emulator::responder_ptr& to) override;
  [[nodiscard]] json stats() const override { return m_inner.stats(); }
  std::optional<std::string> control(const json& settings) override { return m_inner.control(settings); }

  std::function<bool(const http::request&)> loses_response;
  std::function<void()> after_loss;

private:
  emulator::table_role m_inner;
};

// Responds like a process on its admin address. The operator key is "secret".
class fake_process final : public emulator::role {
public:
  explicit fake_process(json status_document) : m_status(std::move(status_document)) {}
  void handle(const http::request& request, const emulator::responder_ptr& to) override;
  [[nodiscard]] json stats() const override { return json::object(); }
  std::optional<std::string> control(const json&) override { return std::nullopt; }

private:
  json m_status;
};

struct run_result {
  exit_code code;
  std::string out;
  std::string err;
  [[nodiscard]] json document() const { return parse_json(out).value(); }
};

class operation_fixture : public ::testing::Test {
protected:
  operation_fixture();
  ~operation_fixture() override;

  run_result run(std::vector<std::string> arguments, const std::string& key = "secret") const;
  // Writes a manifest file with one upstream that has `slots` slots, and returns its path.
  std::string write_manifest(int slots);
  // Writes a file in a temporary directory and returns its path.
  std::string write_file(const std::string& name, const std::string& text);
  void control(const std::string& url, const json& settings);
  json stats(const std::string& url);
  // Returns the current version of the configuration.
  std::uint64_t version() const {
    return run({"manifest", "status", "--json"}).document()["entry"]["version"];
  }

  asio::io_context m_context;
  faulty_table m_table;
  emulator::object_role m_objects;
  emulator::host_role m_hosts{m_context};
  fake_process m_entry;
  fake_process m_agent;
  std::vector<std::unique_ptr<emulator::emulator_server>> m_servers;  // Table, objects, hosts, entry, agent.
  std::string m_table_url;
  std::string m_objects_url;
  std::string m_hosts_url;

private:
  json call(const std::string& url, const http::request& request);

  std::string m_directory;
  asio::executor_work_guard<asio::io_context::executor_type> m_work{m_context.get_executor()};
  std::thread m_thread;
};

}  // namespace cuminpath::operation
