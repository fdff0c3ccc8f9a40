// cuminpath-bench-parsing: cost of a byte that an upstream sends, for ordinary and for hostile input.
#include <benchmark/benchmark.h>

#include <string>
#include <string_view>
#include <vector>

#include "core/gateway/event_splitter.h"
#include "core/proxy/forwarded_headers.h"
#include "core/proxy/message_parser.h"

namespace {

using namespace cuminpath;

constexpr std::size_t k_stream_bytes = 1U << 20U;
constexpr std::size_t k_read_bytes = 32U << 10U;  // As large as the read buffer of a process.
constexpr std::size_t k_head_bytes = 60U << 10U;
constexpr std::size_t k_small_read_bytes = 16;

std::string repeat(std::string_view unit, std::size_t size) {
  std::string text;
  while (text.size() < size) {
    text += unit;
  }
  return text;
}

std::string make_head(std::string_view header) {
  return "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 0\r\n" + repeat(header, k_head_bytes) + "\r\n";
}

void set_bytes(benchmark::State& state, std::size_t size) {
  using benchmark::Counter;
  const auto bytes = static_cast<double>(size) * static_cast<double>(state.iterations());
  state.counters["s_per_byte"] = Counter(bytes, Counter::kIsRate | Counter::kInvert);
}

void split_events(benchmark::State& state, std::string_view unit, std::size_t read_size) {
  const std::string text = repeat(unit, k_stream_bytes);
  for (auto _ : state) {
    gateway::event_splitter splitter;
    std::size_t events = 0;
    for (std::size_t position = 0; position < text.size(); position += read_size) {
      splitter.feed(std::string_view(text).substr(position, read_size), [&](const auto&) { ++events; });
    }
    benchmark::DoNotOptimize(events);
  }
  set_bytes(state, text.size());
}

void parse_head(benchmark::State& state, std::string_view header) {
  const std::string text = make_head(header);
  proxy::message_parser parser(proxy::message_parser::message_type::responses);
  std::size_t headers = 0;
  parser.on_head = [&](proxy::message_head&& head) {
    headers += proxy::end_to_end_headers(head.headers).size();
  };
  for (auto _ : state) {
    parser.start({.max_head_bytes = 1U << 20U});
    if (parser.feed(text).status != proxy::parse_status::complete) {
      state.SkipWithError("head is not parsed");
    }
  }
  benchmark::DoNotOptimize(headers);
  set_bytes(state, text.size());
}

void parse_body(benchmark::State& state, std::string_view chunk) {
  const std::string head = "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string text = repeat(chunk, k_stream_bytes);
  proxy::message_parser parser(proxy::message_parser::message_type::responses);
  gateway::event_splitter splitter;
  std::size_t events = 0;
  parser.on_body = [&](std::string_view bytes) { splitter.feed(bytes, [&](const auto&) { ++events; }); };
  for (auto _ : state) {
    splitter.reset();
    parser.start({});
    parser.feed(head);
    for (std::size_t position = 0; position < text.size(); position += k_read_bytes) {
      parser.feed(std::string_view(text).substr(position, k_read_bytes));
    }
  }
  benchmark::DoNotOptimize(events);
  set_bytes(state, text.size());
}

constexpr std::string_view k_ordinary_event =
    "id: 1234\ndata: {\"tokens\":[\"some\",\"words\",\"of a text\"]}\n\n";

BENCHMARK_CAPTURE(split_events, ordinary, k_ordinary_event, k_read_bytes);
BENCHMARK_CAPTURE(split_events, ordinary_in_small_reads, k_ordinary_event, k_small_read_bytes);
BENCHMARK_CAPTURE(split_events, empty_lines, "\n", k_read_bytes);
BENCHMARK_CAPTURE(split_events, empty_lines_crlf, "\r\n", k_read_bytes);
BENCHMARK_CAPTURE(split_events, comments, ":\n\n", k_read_bytes);
BENCHMARK_CAPTURE(split_events, small_events, "data\n\n", k_read_bytes);
BENCHMARK_CAPTURE(split_events, one_line, "x", k_read_bytes);
BENCHMARK_CAPTURE(split_events, one_line_in_small_reads, "x", k_small_read_bytes);

BENCHMARK_CAPTURE(parse_head, ordinary, "X-Header-Name: a value of some words\r\n");
BENCHMARK_CAPTURE(parse_head, small_headers, "a:\r\n");
BENCHMARK_CAPTURE(parse_head, connection_options, "Connection: a,b\r\n");

BENCHMARK_CAPTURE(parse_body, ordinary,
                  "38\r\nid: 1234\ndata: {\"tokens\":[\"some\",\"words\",\"of a text\"]}\n\n\r\n");
BENCHMARK_CAPTURE(parse_body, small_chunks, "1\r\n\n\r\n");
BENCHMARK_CAPTURE(parse_body, chunk_extensions, "1;a=b\r\nx\r\n");

}  // namespace

BENCHMARK_MAIN();
