#include "core/operation/commands.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <map>

#include "core/config/manifest_parser.h"
#include "core/config/settings_check.h"
#include "core/config/settings_reader.h"
#include "core/operation/apply.h"
#include "core/operation/explain.h"
#include "core/operation/fleet.h"

namespace cuminpath::operation {
namespace {

constexpr std::uint32_t k_default_max_events = 200;
constexpr std::uint32_t k_default_max_versions = 10;

std::string to_text(const json& value) {
  return value.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
}

// Formats the time of an event. A hybrid time has milliseconds since the epoch above its lower 16 bits.
std::string event_time(std::uint64_t hybrid_time) {
  const std::uint64_t ms = hybrid_time >> 16U;
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(static_cast<std::time_t>(ms / 1000)),
                     ms % 1000);
}

// Runs one parsed command.
class command {
public:
  command(const command_line& line, std::ostream& out, std::ostream& err)
      : m_line(line), m_out(out), m_err(err), m_session(line.urls) {}

  exit_code run() {
    const std::vector<std::string>& words = m_line.words;
    const std::string first = words.empty() ? "" : words[0];
    const std::string second = words.size() < 2 ? "" : words[1];
    if (first == "status" && words.size() == 1) {
      return show_status();
    }
    if (first == "drain" && words.size() == 2) {
      return drain(second);
    }
    if (first == "timeline" && words.size() == 1) {
      return show_timeline();
    }
    if (first == "settings" && second == "check" && words.size() == 3) {
      return check_settings_file();
    }
    if (first == "manifest") {
      return run_manifest(second);
    }
    if (first == "explain" && words.size() == 1) {
      return explain(m_session, m_line.explain, m_line.json, m_out, m_err);
    }
    if (first == "expert-map" && words.size() == 3) {
      return run_expert_map(second, words[2]);
    }
    return unknown_command();
  }

private:
  exit_code run_manifest(const std::string& verb) {
    const std::size_t count = m_line.words.size();
    if (verb == "check" && count == 3) {
      return check_manifest_file();
    }
    if (verb == "diff" && (count == 3 || count == 4)) {
      return show_diff();
    }
    if (verb == "apply" && count == 3) {
      return apply_manifest();
    }
    if (verb == "status" && count == 2) {
      return show_head();
    }
    if (verb == "history" && count == 2) {
      return show_history();
    }
    return unknown_command();
  }

  exit_code fail(exit_code code, const std::string& message) {
    m_err << "cuminpath: " << message << "\n";
    if (m_line.json) {
      m_out << to_text({{"error", message}, {"exit_code", static_cast<int>(code)}});
    }
    return code;
  }

  exit_code fail(const std::string& source, const error& cause) {
    exit_code code = exit_code::failure;
    switch (cause.code) {
      case error_code::unreachable:
      case error_code::timed_out:
        code = exit_code::unreachable;
        break;
      case error_code::conflict:
        code = exit_code::conflict;
        break;
      case error_code::invalid_input:
      case error_code::not_found:
      case error_code::refused:
      case error_code::internal:
        break;
    }
    return fail(code, source + ": " + cause.message);
  }

  exit_code unknown_command() {
    const exit_code code = fail(exit_code::usage, "unknown command or wrong number of arguments");
    m_err << help_text(m_line.words);
    return code;
  }

  // Prints the document with --json, otherwise the text.
  exit_code print(const json& document, const std::string& text) {
    m_out << (m_line.json ? to_text(document) : text);
    return exit_code::success;
  }

  // Returns true if all URLs that the command needs are given; reports the first missing one otherwise.
  bool require_urls(bool table, bool objects, bool hosts) {
    const auto missing = [this](bool needed, const std::string& url, const char* option) {
      if (needed && url.empty()) {
        fail(exit_code::usage, std::string("option --") + option + " is missing");
      }
      return needed && url.empty();
    };
    return !missing(table, m_line.urls.table, "table") && !missing(objects, m_line.urls.objects, "objects") &&
           !missing(hosts, m_line.urls.hosts, "hosts");
  }

  // Reads at most `max_bytes` + 1 bytes of a file, so that the caller notices a file that is too long.
  // Reports an error and returns nothing if the file cannot be read.
  std::optional<std::string> read_file(const std::string& file, std::size_t max_bytes) {
    std::ifstream in(file, std::ios::binary);
    std::string text(max_bytes + 1, '\0');
    in.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (!in.is_open() || in.bad()) {
      fail(exit_code::usage, file + ": cannot be read");
      return std::nullopt;
    }
    text.resize(static_cast<std::size_t>(in.gcount()));
    return text;
  }

  // Prints every error of a file and returns the exit code.
  exit_code report_errors(std::span<const config::diagnostic> diagnostics) {
    json errors = json::array();
    for (const config::diagnostic& diagnostic : diagnostics) {
      m_err << config::to_string(diagnostic) << "\n";
      errors.push_back({{"file", diagnostic.file},
                        {"line", diagnostic.line},
                        {"key", diagnostic.key},
                        {"message", diagnostic.message}});
    }
    if (m_line.json) {
      m_out << to_text({{"errors", errors}, {"exit_code", static_cast<int>(exit_code::usage)}});
    }
    return exit_code::usage;
  }

  // Reads and checks a manifest; reports every error and returns nothing if there is one.
  std::optional<config::manifest> load_manifest(const std::string& file) {
    const auto text = read_file(file, config::k_max_manifest_bytes);
    if (!text) {
      return std::nullopt;
    }
    config::parsed_manifest parsed = config::parse_manifest(*text, file);
    if (parsed.errors.empty()) {
      return std::move(parsed.value);
    }
    report_errors(parsed.errors);
    return std::nullopt;
  }

  exit_code check_settings_file() {
    const std::string& file = m_line.words[2];
    const auto text = read_file(file, config::k_max_settings_bytes);
    if (!text) {
      return exit_code::usage;
    }
    const auto errors = config::check_settings(*text, file);
    return errors.empty() ? print({{"errors", json::array()}}, file + ": no errors\n")
                          : report_errors(errors);
  }

  exit_code check_manifest_file() {
    const auto manifest = load_manifest(m_line.words[2]);
    if (!manifest) {
      return exit_code::usage;
    }
    return print({{"errors", json::array()}}, m_line.words[2] + ": no errors\n");
  }

  exit_code show_diff() {
    const auto to = load_manifest(m_line.words.back());
    if (!to) {
      return exit_code::usage;
    }
    config::manifest from;
    if (m_line.words.size() == 4) {
      auto loaded = load_manifest(m_line.words[2]);
      if (!loaded) {
        return exit_code::usage;
      }
      from = std::move(*loaded);
    } else {
      auto current = fetch_manifest_in_force();
      if (!current) {
        return m_code;
      }
      from = std::move(*current);
    }
    const std::vector<std::string> lines = config::diff(from, *to);
    std::string text;
    for (const std::string& one : lines) {
      text += one + "\n";
    }
    return print({{"differences", lines}}, text.empty() ? "no differences\n" : text);
  }

  // Fetches the manifest in force, which is empty before the first apply. Returns nothing after a failure,
  // with the exit code in m_code.
  std::optional<config::manifest> fetch_manifest_in_force() {
    if (!require_urls(true, true, false)) {
      m_code = exit_code::usage;
      return std::nullopt;
    }
    const auto head = read_head(m_session);
    if (!head) {
      m_code = fail("table service", head.error());
      return std::nullopt;
    }
    if (!head.value()) {
      return config::manifest{};
    }
    auto manifest = fetch_manifest(m_session, head.value()->entry.index_digest);
    if (!manifest) {
      m_code = fail("object store", manifest.error());
      return std::nullopt;
    }
    return std::move(manifest.value());
  }

  exit_code apply_manifest() {
    auto manifest = load_manifest(m_line.words[2]);
    if (!manifest || !require_urls(true, true, false)) {
      return exit_code::usage;
    }
    apply_request request{std::move(*manifest), std::nullopt, m_line.operator_name};
    if (m_line.based_on) {
      request.based_on = configuration_version{*m_line.based_on};
    }
    const apply_report report = apply(m_session, request);
    const std::string version = std::to_string(to_integer(report.entry.version));
    switch (report.outcome) {
      case apply_outcome::applied:
        return print({{"applied", true}, {"entry", to_json(report.entry)}},
                     "version " + version + " is accepted" +
                         (report.detail.empty() ? "" : " (" + report.detail + ")") + "\n");
      case apply_outcome::unchanged:
        return print({{"applied", false}, {"entry", to_json(report.entry)}},
                     "version " + version + " has the same content; nothing to apply\n");
      case apply_outcome::conflict:
        return fail(exit_code::conflict, "conflict: " + report.detail + "; nothing was changed");
      case apply_outcome::unreachable:
        return fail(exit_code::unreachable, report.detail + "; nothing was changed");
      case apply_outcome::unknown:
        return fail(exit_code::unreachable, report.detail + "; it is not known whether version " + version +
                                                " was accepted. Look for token " + report.entry.token +
                                                " with `cuminpath manifest history --json`");
      case apply_outcome::refused:
        return fail(exit_code::failure, report.detail + "; nothing was changed");
    }
    return exit_code::failure;
  }

  exit_code show_head() {
    if (!require_urls(true, false, false)) {
      return exit_code::usage;
    }
    const auto head = read_head(m_session);
    if (!head) {
      return fail("table service", head.error());
    }
    if (!head.value()) {
      return print({{"entry", nullptr}}, "no configuration has been applied yet\n");
    }
    const head_entry& entry = head.value()->entry;
    json document = {{"entry", to_json(entry)}};
    std::string text = describe(entry);
    if (!m_line.urls.hosts.empty()) {
      const auto hosts = fetch_host_list();
      if (!hosts) {
        return m_code;
      }
      std::map<std::string, std::size_t> counts;
      for (const host_response& response : query_all(m_session, *hosts, "/status")) {
        ++counts[response.body
                     ? "version " + response.body.value().value("configuration_version", json()).dump()
                     : "not reachable"];
      }
      for (const auto& [state, count] : counts) {
        text += fmt::format("{}: {} processes\n", state, count);
      }
      document["processes"] = counts;
    }
    return print(document, text);
  }

  static std::string describe(const head_entry& entry) {
    return fmt::format("version {} (based on {}) by {} at {}, index {}\n", to_integer(entry.version),
                       to_integer(entry.base), entry.operator_name, entry.time,
                       entry.index_digest.substr(0, 12));
  }

  exit_code show_history() {
    if (!require_urls(true, false, false)) {
      return exit_code::usage;
    }
    const auto head = read_head(m_session);
    if (!head) {
      return fail("table service", head.error());
    }
    std::vector<head_entry> entries;
    if (head.value()) {
      const std::size_t limit = m_line.limit == 0 ? k_default_max_versions : m_line.limit;
      entries.push_back(head.value()->entry);
      auto older = read_recent_history(
          m_session, configuration_version{to_integer(entries.front().version) - 1}, limit - 1);
      if (!older) {
        return fail("table service", older.error());
      }
      entries.insert(entries.end(), older.value().begin(), older.value().end());
    }
    json document = json::array();
    std::string text;
    for (const head_entry& entry : entries) {
      document.push_back(to_json(entry));
      text += describe(entry);
    }
    return print({{"entries", document}}, text.empty() ? "no configuration has been applied yet\n" : text);
  }

  // Fetches the host list. Returns nothing after a failure, with the exit code in m_code.
  std::optional<std::vector<storage::host_entry>> fetch_host_list() {
    if (!require_urls(false, false, true)) {
      m_code = exit_code::usage;
      return std::nullopt;
    }
    auto list =
        m_session.wait<storage::host_list>([this](auto done) { m_session.hosts.fetch(std::move(done)); });
    if (!list) {
      m_code = fail("host list", list.error());
      return std::nullopt;
    }
    return std::move(list.value().hosts);
  }

  // Queries all hosts. Returns nothing if the host list or every host is unreachable, with the exit code in
  // m_code.
  std::optional<std::vector<host_response>> query_all_hosts(const std::string& path) {
    const auto hosts = fetch_host_list();
    if (!hosts) {
      return std::nullopt;
    }
    auto responses = query_all(m_session, *hosts, path);
    const bool any =
        std::any_of(responses.begin(), responses.end(), [](const auto& a) { return a.body.has_value(); });
    if (!responses.empty() && !any) {
      m_code = fail(exit_code::unreachable, "no process responded");
      return std::nullopt;
    }
    for (const host_response& response : responses) {
      if (!response.body) {
        m_err << "cuminpath: " << response.host.name << ": " << response.body.error().message << "\n";
      }
    }
    return responses;
  }

  exit_code show_status() {
    const auto responses = query_all_hosts("/status");
    if (!responses) {
      return m_code;
    }
    json document = json::array();
    std::string text = fmt::format("{:<20} {:<6} {:<16} {:<8} {:<8} {}\n", "HOST", "ROLE", "ZONE", "LISTED",
                                   "VERSION", "STATE");
    for (const host_response& response : *responses) {
      const storage::host_entry& host = response.host;
      const char* role = host.role == storage::host_role::entry ? "entry" : "agent";
      const char* listed = host.leaving ? "leaving" : "live";
      const json body =
          response.body && response.body.value().is_object() ? response.body.value() : json::object();
      document.push_back({{"host", host.name},
                          {"role", role},
                          {"availability_zone", host.availability_zone},
                          {"listed", listed},
                          {"reachable", response.body.has_value()},
                          {"status", body}});
      text += fmt::format("{:<20} {:<6} {:<16} {:<8} {:<8} {}\n", host.name, role, host.availability_zone,
                          listed, body.value("configuration_version", json("-")).dump(),
                          describe_state(response.body.has_value(), body));
    }
    return print({{"processes", document}}, text);
  }

  static std::string describe_state(bool reachable, const json& body) {
    if (!reachable) {
      return "not reachable";
    }
    std::string text = body.value("draining", json(false)) == json(true) ? "draining" : "serving";
    for (const char* key : {"requests_in_flight", "running", "queued", "slots"}) {
      if (body.contains(key)) {
        text += fmt::format(", {} {}", key, body[key].dump());
      }
    }
    return text;
  }

  exit_code show_timeline() {
    const auto responses = query_all_hosts("/timeline");
    if (!responses) {
      return m_code;
    }
    std::vector<telemetry::event> events = merge_timelines(*responses);
    const std::size_t limit = m_line.limit == 0 ? k_default_max_events : m_line.limit;
    if (events.size() > limit) {
      events.erase(events.begin(), events.end() - static_cast<std::ptrdiff_t>(limit));
    }
    json document = json::array();
    std::string text;
    for (const telemetry::event& value : events) {
      document.push_back(
          {{"time", value.time}, {"process", value.process}, {"kind", value.kind}, {"detail", value.detail}});
      text += fmt::format("{} {:<20} {:<24} {}\n", event_time(value.time), value.process, value.kind,
                          value.detail);
    }
    return print({{"events", document}}, text);
  }

  // Returns the host with this name. Returns nothing if there is none, with the exit code in m_code.
  std::optional<storage::host_entry> find_host(const std::string& name) {
    const auto hosts = fetch_host_list();
    if (!hosts) {
      return std::nullopt;
    }
    const auto found = std::find_if(hosts->begin(), hosts->end(),
                                    [&name](const storage::host_entry& host) { return host.name == name; });
    if (found == hosts->end()) {
      m_code = fail(exit_code::failure, "host \"" + name + "\" is not in the host list");
      return std::nullopt;
    }
    return *found;
  }

  bool require_key() {
    if (m_line.operator_key.empty()) {
      fail(exit_code::usage, "the operator key is missing (--operator-key-file)");
    }
    return !m_line.operator_key.empty();
  }

  exit_code drain(const std::string& name) {
    if (!require_key()) {
      return exit_code::usage;
    }
    const auto host = find_host(name);
    if (!host) {
      return m_code;
    }
    const auto response = send_request(m_session, *host, "POST", "/drain", m_line.operator_key);
    if (!response) {
      return fail(name, response.error());
    }
    return print({{"host", name}, {"draining", true}},
                 name + " is draining: it takes no new work, finishes its requests and exits\n");
  }

  exit_code run_expert_map(const std::string& verb, const std::string& group) {
    const bool applies = verb == "apply";
    if (verb != "show" && verb != "plan" && !applies) {
      return unknown_command();
    }
    if (applies && !require_key()) {
      return exit_code::usage;
    }
    const auto manifest = fetch_manifest_in_force();
    if (!manifest) {
      return m_code;
    }
    const auto coordinator =
        std::find_if(manifest->upstreams.begin(), manifest->upstreams.end(),
                     [&group](const config::upstream& one) { return one.group == group && one.rank == 0; });
    if (group.empty() || coordinator == manifest->upstreams.end()) {
      return fail(exit_code::failure, "no group \"" + group + "\" in the manifest in force");
    }
    const auto host = find_host(coordinator->host);
    if (!host) {
      return m_code;
    }
    const auto response =
        send_request(m_session, *host, applies ? "POST" : "GET",
                     verb == "plan" ? "/expert-map/plan" : "/expert-map", m_line.operator_key);
    if (!response) {
      return fail(host->name, response.error());
    }
    return print(response.value(), to_text(response.value()));
  }

  const command_line& m_line;
  std::ostream& m_out;
  std::ostream& m_err;
  platform_session m_session;
  exit_code m_code = exit_code::failure;
};

}  // namespace

exit_code run(std::span<const std::string> arguments, const environment& variables, std::ostream& out,
              std::ostream& err) {
  const auto line = parse_command_line(arguments, variables);
  if (!line) {
    err << "cuminpath: " << line.error().message << "\n" << help_text({});
    return exit_code::usage;
  }
  if (line.value().help) {
    out << help_text(line.value().words);
    return exit_code::success;
  }
  return command(line.value(), out, err).run();
}

}  // namespace cuminpath::operation
