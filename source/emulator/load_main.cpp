// cuminpath-load: sends requests to entries at a configured rate and prints a summary as one line of JSON.
#include <asio/io_context.hpp>
#include <boost/program_options.hpp>
#include <iostream>
#include <sstream>

#include "emulator/load_generator.h"

namespace cuminpath::emulator {
namespace {

namespace options = boost::program_options;

options::options_description known_options() {
  options::options_description known(
      "cuminpath-load --entry URL --key KEY --model NAME [options]\n"
      "Prints the count of each outcome and latency quantiles for each share of the load");
  auto add = known.add_options();
  add("help", "print this text");
  add("entry", options::value<std::vector<std::string>>()->required(),
      "base URL of an entry; may be repeated");
  add("key", options::value<std::string>()->default_value(""), "key of the workspace, if a share names none");
  add("model", options::value<std::string>()->default_value(""), "model of completions");
  add("booking-path", options::value<std::string>()->default_value(""), "path of bookings");
  add("share", options::value<std::vector<std::string>>(),
      "NAME:WEIGHT:KIND[:CLASS[:KEY]] with kind completion, chat or booking; may be repeated; default is "
      "all:1:completion");
  add("rate", options::value<double>()->default_value(10), "requests per second");
  add("seconds", options::value<double>()->default_value(5), "time of sending, at most 600");
  add("max-tokens", options::value<std::uint32_t>()->default_value(16), "of each completion");
  add("whole", options::bool_switch(), "ask for whole responses instead of streams");
  add("timeout-ms", options::value<int>()->default_value(30000), "after which a request counts as broken");
  add("seed", options::value<std::uint64_t>()->default_value(1), "of the order of the shares");
  return known;
}

load_share parse_share(const std::string& text, const options::variables_map& arguments) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, ':');) {
    parts.push_back(part);
  }
  if (parts.size() < 3 || parts.size() > 5) {
    throw options::error("malformed share " + text);
  }
  load_share share;
  share.name = parts[0];
  share.weight = std::stod(parts[1]);
  share.request.key = parts.size() > 4 ? parts[4] : arguments["key"].as<std::string>();
  share.request.priority_class = parts.size() > 3 ? parts[3] : "";
  share.request.timeout = milliseconds(arguments["timeout-ms"].as<int>());
  if (parts[2] == "booking") {
    share.request.what = request_description::kind::service;
    share.request.path = arguments["booking-path"].as<std::string>();
    share.request.body = R"({"item":"filter"})";
  } else if (parts[2] == "chat" || parts[2] == "completion") {
    share.request.what = parts[2] == "chat" ? request_description::kind::chat_completion
                                            : request_description::kind::completion;
    share.request.model = arguments["model"].as<std::string>();
    share.request.prompt = "load " + share.name;
    share.request.max_tokens = arguments["max-tokens"].as<std::uint32_t>();
    share.request.stream = !arguments["whole"].as<bool>();
  } else {
    throw options::error("unknown kind in share " + text);
  }
  return share;
}

int run(const options::variables_map& arguments) {
  load_options settings;
  settings.entry_urls = arguments["entry"].as<std::vector<std::string>>();
  const auto shares = arguments.count("share") > 0 ? arguments["share"].as<std::vector<std::string>>()
                                                   : std::vector<std::string>{"all:1:completion"};
  for (const auto& text : shares) {
    settings.shares.push_back(parse_share(text, arguments));
  }
  settings.requests_per_second = arguments["rate"].as<double>();
  settings.time =
      milliseconds(static_cast<std::int64_t>(std::min(arguments["seconds"].as<double>(), 600.0) * 1000));
  settings.seed = arguments["seed"].as<std::uint64_t>();
  asio::io_context context(1);
  http::client client(context);
  load_generator load(context, client, std::move(settings));
  load.start();
  while (!load.done()) {
    context.restart();
    context.run_for(milliseconds(100));
  }
  std::cout << load.summary().dump() << std::endl;
  return 0;
}

int parse_and_run(int argc, char** argv) {
  const auto known = known_options();
  try {
    options::variables_map arguments;
    options::store(options::parse_command_line(argc, argv, known), arguments);
    if (arguments.count("help") > 0) {
      std::cout << known;
      return 0;
    }
    options::notify(arguments);
    return run(arguments);
  } catch (const std::exception& failure) {
    std::cerr << failure.what() << "\n";
    return 2;
  }
}

}  // namespace
}  // namespace cuminpath::emulator

int main(int argc, char** argv) {
  return cuminpath::emulator::parse_and_run(argc, argv);
}
