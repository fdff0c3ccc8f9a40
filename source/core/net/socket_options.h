// Options and helpers shared by all connections of the proxy.
#pragma once

#include <asio/ip/tcp.hpp>
#include <optional>
#include <span>
#include <string_view>

namespace cuminpath::net {

// Parses IP:PORT; absent for anything else.
std::optional<asio::ip::tcp::endpoint> parse_endpoint(std::string_view text);

// No delay, and limits after which a silent peer counts as gone. Errors are ignored: the options only shorten
// the time until a dead connection is noticed.
void set_connection_options(asio::ip::tcp::socket& socket);
// The same for a socket that another library owns.
void set_connection_options(int handle);

// Closing the socket drops what has not been delivered and resets the connection. An error is ignored: the
// connection then ends in good order.
void reset_on_close(asio::ip::tcp::socket& socket);

// Scratch space for reads of the calling thread. One buffer for all connections keeps idle ones
// small.
std::span<char> read_buffer();

}  // namespace cuminpath::net
