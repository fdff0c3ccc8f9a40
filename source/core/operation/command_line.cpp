#include "core/operation/command_line.h"

#include <boost/program_options.hpp>
#include <fstream>
#include <sstream>

namespace cuminpath::operation {
namespace {

namespace program_options = boost::program_options;

constexpr std::size_t k_max_key_bytes = 4096;

struct command_help {
  std::string_view command;
  std::string_view arguments;
  std::string_view text;
};

constexpr command_help k_commands[] = {
    {"status", "", "Show the state of every process in the host list."},
    {"drain", "HOST", "Make the process on HOST finish its work and exit. Requires the operator key."},
    {"timeline", "", "Show the recent events of all processes in causal order (--limit, default 200)."},
    {"settings check", "FILE",
     "Check the settings of a process of any role; report every error with file, line and key."},
    {"manifest check", "FILE", "Check a manifest; report every error with file, line and key."},
    {"manifest diff", "FILE [FILE]",
     "Compare the manifest in force with FILE, or the first FILE with the second."},
    {"manifest apply", "FILE",
     "Apply FILE as the next version. Fails with exit code 3 and changes nothing if the current version is\n"
     "not the one given by --based-on (default: the version that is current when the command starts)."},
    {"manifest status", "",
     "Show the current version; with --hosts also the number of processes on each version."},
    {"manifest history", "", "Show the most recent versions (--limit, default 10)."},
    {"explain", "",
     "Show where each gateway given by --at would place a request now, and why, without sending it.\n"
     "Requires --at, --host and --path; differences between gateways are marked with *."},
    {"expert-map show", "GROUP", "Show the expert map of a group."},
    {"expert-map plan", "GROUP", "Show the changes that the planner proposes and their expected gain."},
    {"expert-map apply", "GROUP",
     "Start the switch of the group to the planned map. Requires the operator key."},
};

program_options::options_description visible_options() {
  program_options::options_description options("Options");
  const auto text = [] { return program_options::value<std::string>(); };
  options.add_options()("table", text(), "URL of the table service (default: $CUMINPATH_TABLE)")(
      "objects", text(), "URL of the object store (default: $CUMINPATH_OBJECTS)")(
      "hosts", text(), "URL of the host list (default: $CUMINPATH_HOSTS)")(
      "operator-key-file", text(),
      "file with the operator key (default: the key in $CUMINPATH_OPERATOR_KEY)")(
      "operator", text(), "operator name recorded in the history (default: $USER)")(
      "based-on", program_options::value<std::uint64_t>(), "version that the change is based on")(
      "limit", program_options::value<std::uint32_t>(), "number of events or versions to show")(
      "at", program_options::value<std::vector<std::string>>(),
      "explain: IP:PORT of the metrics address of a gateway; may be repeated")(
      "method", text(), "explain: method of the request (default: GET)")(
      "host", text(), "explain: host of the request")("path", text(), "explain: path of the request")(
      "workspace", text(), "explain: name of the workspace of the caller")(
      "key-file", text(), "explain: file with the API key of the caller")(
      "header", program_options::value<std::vector<std::string>>(),
      "explain: header of the request, 'NAME: VALUE'; may be repeated")("json", "print JSON instead of text")(
      "help,h", "print this help");
  return options;
}

std::string trim_end(std::string text) {
  const std::size_t end = text.find_last_not_of(" \r\n\t");
  text.resize(end == std::string::npos ? 0 : end + 1);
  return text;
}

result<std::string> read_key(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  std::string text(k_max_key_bytes + 1, '\0');
  in.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(in.gcount()));
  text = trim_end(std::move(text));
  if (text.empty() || text.size() > k_max_key_bytes) {
    return make_error(error_code::invalid_input,
                      file + ": cannot be read, is empty or exceeds the size limit of a key");
  }
  return text;
}

std::string without_trailing_slashes(std::string url) {
  while (url.ends_with('/')) {
    url.pop_back();
  }
  return url;
}

result<explain_arguments> read_explain_arguments(const program_options::variables_map& values) {
  const auto text = [&values](const char* option) {
    return values.count(option) > 0 ? values[option].as<std::string>() : std::string();
  };
  const auto list = [&values](const char* option) {
    return values.count(option) > 0 ? values[option].as<std::vector<std::string>>()
                                    : std::vector<std::string>();
  };
  explain_arguments out{.gateways = list("at"),
                        .method = values.count("method") > 0 ? text("method") : "GET",
                        .host = text("host"),
                        .path = text("path"),
                        .workspace = text("workspace"),
                        .api_key = {},
                        .headers = list("header")};
  if (values.count("key-file") > 0) {
    auto key = read_key(text("key-file"));
    if (!key) {
      return key.error();
    }
    out.api_key = std::move(key.value());
  }
  return out;
}

}  // namespace

result<command_line> parse_command_line(std::span<const std::string> arguments,
                                        const environment& variables) {
  program_options::options_description all = visible_options();
  all.add_options()("word", program_options::value<std::vector<std::string>>());
  program_options::positional_options_description positional;
  positional.add("word", -1);
  program_options::variables_map values;
  try {
    const std::vector<std::string> list(arguments.begin(), arguments.end());
    // Abbreviated options are not accepted: an option that is added later could make an abbreviation in a
    // script ambiguous.
    const int style = program_options::command_line_style::unix_style &
                      ~program_options::command_line_style::allow_guessing;
    program_options::store(
        program_options::command_line_parser(list).options(all).positional(positional).style(style).run(),
        values);
  } catch (const program_options::error& failure) {
    return make_error(error_code::invalid_input, failure.what());
  }
  const auto text = [&](const char* option, const char* variable) {
    return values.count(option) > 0 ? values[option].as<std::string>() : variables(variable);
  };
  command_line line;
  if (values.count("word") > 0) {
    line.words = values["word"].as<std::vector<std::string>>();
  }
  line.urls = {without_trailing_slashes(text("table", "CUMINPATH_TABLE")),
               without_trailing_slashes(text("objects", "CUMINPATH_OBJECTS")),
               without_trailing_slashes(text("hosts", "CUMINPATH_HOSTS"))};
  line.operator_name = text("operator", "USER");
  if (line.operator_name.empty()) {
    line.operator_name = "unknown";
  }
  line.operator_key = trim_end(variables("CUMINPATH_OPERATOR_KEY"));
  if (values.count("operator-key-file") > 0) {
    auto key = read_key(values["operator-key-file"].as<std::string>());
    if (!key) {
      return key.error();
    }
    line.operator_key = std::move(key.value());
  }
  auto explain = read_explain_arguments(values);
  if (!explain) {
    return explain.error();
  }
  line.explain = std::move(explain.value());
  if (values.count("based-on") > 0) {
    line.based_on = values["based-on"].as<std::uint64_t>();
  }
  line.limit = values.count("limit") > 0 ? values["limit"].as<std::uint32_t>() : 0;
  line.json = values.count("json") > 0;
  line.help = values.count("help") > 0;
  return line;
}

std::string help_text(std::span<const std::string> words) {
  std::string prefix;
  for (std::size_t i = 0; i < std::min<std::size_t>(2, words.size()); ++i) {
    prefix += (i == 0 ? "" : " ") + words[i];
  }
  const auto matches = [](std::string_view command, std::string_view wanted) {
    return command == wanted || command.starts_with(std::string(wanted) + " ");
  };
  std::ostringstream out;
  std::ostringstream selected;
  out << "Usage: cuminpath COMMAND [OPTIONS]\n\nCommands:\n";
  for (const command_help& entry : k_commands) {
    std::ostringstream& to =
        !prefix.empty() && (matches(entry.command, prefix) || matches(prefix, entry.command)) ? selected
                                                                                              : out;
    to << "  cuminpath " << entry.command << (entry.arguments.empty() ? "" : " ") << entry.arguments
       << "\n      " << entry.text << "\n";
  }
  std::ostringstream options;
  options << "\n" << visible_options();
  options
      << "\nExit codes: 0 success, 1 failure, 2 bad manifest or usage, 3 conflict, 4 platform or process not "
         "reachable.\n";
  return selected.str().empty() ? out.str() + options.str() : "Usage:\n" + selected.str() + options.str();
}

}  // namespace cuminpath::operation
