// The manifest, in which operators declare models, services, workspaces and upstreams. This header holds
// plain data; manifest_parser.h parses and checks it.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/time.h"

namespace cuminpath::config {

struct priority_class {
  std::string name;
  std::uint32_t priority = 0;          // 0 is the most urgent.
  milliseconds first_token_target{0};  // From arrival to the first token or byte; 0 means none.
  milliseconds total_target{0};        // From arrival to the whole response; 0 means none.
  double worth = 1.0;                  // Value of one request served within its latency target.
  double floor = 0.0;  // Share of an upstream's slot time reserved for the class under overload.
};

struct model {
  std::string name;
  std::uint32_t layers = 1;
  std::uint32_t experts = 1;        // Number of experts in each layer.
  std::uint64_t expert_bytes = 0;   // Size of the weights of one expert of one layer.
  std::uint32_t max_tokens = 4096;  // Output limit of one request.
};

struct group {
  std::string name;
  std::string model;
  std::uint32_t ranks = 1;
};

enum class upstream_kind : std::uint8_t { engine, service };

struct upstream {
  std::string name;
  std::string host;  // Host of the upstream's agent, as named in the platform's host list.
  upstream_kind kind = upstream_kind::engine;
  std::string model_or_service;
  std::string group;  // Engines only; empty if the engine holds all experts.
  std::uint32_t rank = 0;
  std::uint32_t slots = 1;      // Concurrency limit: requests that run at the same time.
  bool checks_fencing = false;  // Whether the engine rejects orders with an outdated fencing token.
};

// Declares whether calls of a service may be repeated. The first rule whose method and path prefix match
// applies. Without a matching rule, GET and HEAD may be repeated and other methods may not.
struct service_rule {
  std::string method;  // "*" matches any.
  std::string path_prefix;
  bool repeatable = false;
};

struct service {
  std::string name;
  std::vector<service_rule> rules;
};

struct workspace {
  std::string name;
  std::vector<std::string> key_sha256;  // Hexadecimal SHA-256 of each valid key.
  double share = 1.0;                   // Weight relative to other workspaces in the same priority class.
  std::vector<std::string> classes;     // Priority classes that the workspace may use.
  std::string default_class;
};

struct manifest {
  std::vector<priority_class> classes;
  std::vector<model> models;
  std::vector<group> groups;
  std::vector<service> services;
  std::vector<workspace> workspaces;
  std::vector<upstream> upstreams;
};

// Whether a call with this method and path (without /services/NAME) may be repeated.
bool may_repeat(const service& value, std::string_view method, std::string_view path);

}  // namespace cuminpath::config
