// cuminpath-emulator ROLE: emulates a component of the platform for tests. Never installed.
#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <cstdio>
#include <iostream>

#include "emulator/engine_role.h"
#include "emulator/host_role.h"
#include "emulator/object_role.h"
#include "emulator/service_role.h"
#include "emulator/table_role.h"
#include "emulator/weight_role.h"

namespace cuminpath::emulator {
namespace {

namespace options = boost::program_options;

options::options_description known_options() {
  options::options_description known(
      "cuminpath-emulator table|objects|weights|hosts|engine|service [options]");
  auto add = known.add_options();
  add("help", "print this text");
  add("role", options::value<std::string>(), "role (also the first argument)");
  add("address", options::value<std::string>()->default_value("127.0.0.1:0"),
      "IP:PORT; port 0 takes a free one");
  add("lag-ms", options::value<int>()->default_value(200),
      "hosts: of each change; engine: of load and events");
  add("delay-ms", options::value<int>()->default_value(0), "service: time of a run");
  add("expert-bytes", options::value<std::uint64_t>()->default_value(65536), "weights: of one expert");
  add("bytes-per-second", options::value<std::uint64_t>()->default_value(16U << 20U), "weights: rate");
  add("model", options::value<std::string>()->default_value("model"), "engine: name of its model");
  add("slots", options::value<std::uint32_t>()->default_value(8), "engine: streams at the same time");
  add("max-tokens", options::value<std::uint32_t>()->default_value(16),
      "engine: if a request has no max_tokens");
  add("token-interval-ms", options::value<int>()->default_value(20), "engine: between tokens of a stream");
  add("first-token-ms", options::value<int>()->default_value(40), "engine: prefill of a new prompt");
  add("cache-prefixes", options::value<std::size_t>()->default_value(64), "engine: prompt prefixes held");
  add("cache-gap-every", options::value<std::uint32_t>()->default_value(7), "engine: one event in N is lost");
  add("layers", options::value<std::uint32_t>()->default_value(2), "engine: layers with experts");
  add("experts", options::value<std::uint32_t>()->default_value(8), "engine: experts of each layer");
  add("ranks", options::value<std::uint32_t>()->default_value(1), "engine: ranks of its group");
  add("rank", options::value<std::uint32_t>()->default_value(0), "engine: own rank");
  add("drift-steps", options::value<std::uint32_t>()->default_value(2000),
      "engine: steps per drift of popularity");
  add("ignore-fencing", options::bool_switch(), "engine: takes orders with a stale fencing token");
  add("weights", options::value<std::string>()->default_value(""), "engine: base URL of the weight store");
  add("group-peers", options::value<std::string>()->default_value(""),
      "engine: base URLs of the other ranks, comma-separated");
  return known;
}

std::vector<std::string> split_at_commas(const std::string& text) {
  std::vector<std::string> parts;
  for (std::size_t begin = 0; begin < text.size();) {
    const auto end = std::min(text.find(',', begin), text.size());
    if (end > begin) {
      parts.push_back(text.substr(begin, end - begin));
    }
    begin = end + 1;
  }
  return parts;
}

engine_options engine_options_from(const options::variables_map& arguments) {
  engine_options value;
  value.model = arguments["model"].as<std::string>();
  value.slots = arguments["slots"].as<std::uint32_t>();
  value.default_max_tokens = arguments["max-tokens"].as<std::uint32_t>();
  value.token_interval = milliseconds(arguments["token-interval-ms"].as<int>());
  value.prefill_time = milliseconds(arguments["first-token-ms"].as<int>());
  value.load_lag = milliseconds(arguments["lag-ms"].as<int>());
  value.cache = {arguments["cache-prefixes"].as<std::size_t>(), value.load_lag,
                 arguments["cache-gap-every"].as<std::uint32_t>()};
  value.experts = {.layers = arguments["layers"].as<std::uint32_t>(),
                   .experts = arguments["experts"].as<std::uint32_t>(),
                   .ranks = arguments["ranks"].as<std::uint32_t>(),
                   .rank = arguments["rank"].as<std::uint32_t>(),
                   .drift_steps = arguments["drift-steps"].as<std::uint32_t>(),
                   .ignore_fencing = arguments["ignore-fencing"].as<bool>()};
  value.weights_url = arguments["weights"].as<std::string>();
  value.group_peers = split_at_commas(arguments["group-peers"].as<std::string>());
  return value;
}

std::unique_ptr<role> make_role(const options::variables_map& arguments, asio::io_context& context,
                                http::client& client) {
  const auto name = arguments["role"].as<std::string>();
  if (name == "table") {
    return std::make_unique<table_role>();
  }
  if (name == "objects") {
    return std::make_unique<object_role>();
  }
  if (name == "weights") {
    return std::make_unique<weight_role>(
        context, weight_options{.expert_bytes = arguments["expert-bytes"].as<std::uint64_t>(),
                                .bytes_per_second = arguments["bytes-per-second"].as<std::uint64_t>()});
  }
  if (name == "hosts") {
    return std::make_unique<host_role>(context, milliseconds(arguments["lag-ms"].as<int>()));
  }
  if (name == "engine") {
    return std::make_unique<engine_role>(context, client, engine_options_from(arguments));
  }
  if (name == "service") {
    return std::make_unique<service_role>(context, milliseconds(arguments["delay-ms"].as<int>()));
  }
  return nullptr;
}

int run(const options::variables_map& arguments) {
  asio::io_context context(1);
  http::client client(context);
  const auto served_role = make_role(arguments, context, client);
  if (!served_role) {
    std::cerr << "unknown role " << arguments["role"].as<std::string>() << "\n";
    return 2;
  }
  const auto server = emulator_server::start(context, arguments["address"].as<std::string>(), *served_role);
  if (!server) {
    std::cerr << server.error().message << "\n";
    return 1;
  }
  std::cout << json({{"address", server.value()->address()}}).dump() << std::endl;
  asio::signal_set signals(context, SIGTERM, SIGINT);
  // Exits immediately: an emulator has no graceful shutdown, and pending timers would keep the context
  // running.
  signals.async_wait([](const std::error_code&, int) { std::_Exit(0); });
  context.run();
  return 0;
}

int parse_and_run(int argc, char** argv) {
  const auto known = known_options();
  options::positional_options_description positional;
  positional.add("role", 1);
  options::variables_map arguments;
  try {
    options::store(options::command_line_parser(argc, argv).options(known).positional(positional).run(),
                   arguments);
    options::notify(arguments);
  } catch (const options::error& failure) {
    std::cerr << failure.what() << "\n";
    return 2;
  }
  if (arguments.count("help") > 0 || arguments.count("role") == 0) {
    std::cout << known;
    return arguments.count("help") > 0 ? 0 : 2;
  }
  return run(arguments);
}

}  // namespace
}  // namespace cuminpath::emulator

int main(int argc, char** argv) {
  return cuminpath::emulator::parse_and_run(argc, argv);
}
